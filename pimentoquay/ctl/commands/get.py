"""``get [NAME]``: show the configuration in force."""

import argparse

from pimentoquay.configuration.documents import format_document
from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel import plugin
from pimentoquay.messages.workspaces import ConfigurationRecord

__all__ = ["GetCommand"]


@plugin("ctl-command", "get")
class GetCommand:
    """Show the document of a workspace in force, or list all workspaces."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("name", nargs="?", default="", help="the workspace; all if omitted")

    async def run(self, context: Context) -> int:
        """Print the published document of one workspace, or a list of all workspaces."""
        name = context.arguments.name
        async with context.link() as link:
            records = await link.records() if not name else [await link.find_record(name)]
        found = [record for record in records if record is not None]
        if name and not found:
            raise CtlError(ExitStatus.REFUSED, f"no workspace {name!r} is in force")
        context.output.json(found)
        if name:
            _print_document(context, found[0])
            return ExitStatus.OK
        rows = [
            (record.name, str(record.version), record.workspace.template, record.author)
            for record in found
            if record.workspace is not None
        ]
        context.output.table(("WORKSPACE", "VERSION", "TEMPLATE", "AUTHOR"), rows)
        return ExitStatus.OK


def _print_document(context: Context, record: ConfigurationRecord) -> None:
    if record.workspace is not None:
        context.output.text(f"; version {record.version}, by {record.author}")
        context.output.text(format_document(record.workspace).rstrip("\n"))
