"""``publish FILE``: publish a document and wait until it is in force."""

import argparse
from pathlib import Path

from pimentoquay.configuration.documents import load_document
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.publishing import add_publish_arguments, publish_change
from pimentoquay.kernel import plugin

__all__ = ["PublishCommand"]


@plugin("ctl-command", "publish")
class PublishCommand:
    """Publish a workspace's document and wait until it is in force everywhere."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("file", type=Path, help="the document")
        add_publish_arguments(parser)

    async def run(self, context: Context) -> int:
        """Publish the document; the exit status depends on the outcome."""
        workspace = load_document(context.arguments.file)
        async with context.link() as link:
            return await publish_change(context, link, workspace.name, workspace)
