"""``check FILE``: check a document without connecting to a VM."""

import argparse
from pathlib import Path

from pimentoquay.configuration.documents import load_document
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.kernel import plugin

__all__ = ["CheckCommand"]


@plugin("ctl-command", "check")
class CheckCommand:
    """Check a workspace's document and name every fault."""

    is_local = True

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("file", type=Path, help="the document")

    async def run(self, context: Context) -> int:
        """Check the document; ``SettingsError`` is raised with its faults, which ctl prints."""
        workspace = load_document(context.arguments.file)
        context.output.text(f"{context.arguments.file}: workspace {workspace.name} is valid")
        context.output.json({"faults": []})
        return ExitStatus.OK
