"""``diff FILE``: compare a document with the version of its workspace that is in force."""

import argparse
import difflib
from pathlib import Path

from pimentoquay.configuration.documents import format_document, load_document
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.kernel import plugin

__all__ = ["DiffCommand"]


@plugin("ctl-command", "diff")
class DiffCommand:
    """Show how a document differs from the workspace in force."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("file", type=Path, help="the document")

    async def run(self, context: Context) -> int:
        """Print a unified diff; the exit status is 0 even if there are differences."""
        workspace = load_document(context.arguments.file)
        async with context.link() as link:
            record = await link.find_record(workspace.name)
        current = record.workspace if record is not None else None
        before = format_document(current) if current is not None else ""
        version = record.version if record is not None else 0
        lines = list(
            difflib.unified_diff(
                before.splitlines(),
                format_document(workspace).splitlines(),
                f"{workspace.name} at version {version}" if version else "not in force",
                str(context.arguments.file),
                lineterm="",
            )
        )
        for line in lines or [f"{workspace.name} is in force as it is, at version {version}"]:
            context.output.text(line)
        context.output.json({"name": workspace.name, "version": version, "diff": lines})
        return ExitStatus.OK
