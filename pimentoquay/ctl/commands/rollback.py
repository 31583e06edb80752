"""``rollback NAME --to VERSION``: publish an earlier version anew."""

import argparse

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.ctl.publishing import add_publish_arguments, publish_change
from pimentoquay.kernel import plugin
from pimentoquay.messages.operator import HistoryAnswer, HistoryRequest

__all__ = ["RollbackCommand"]


@plugin("ctl-command", "rollback")
class RollbackCommand:
    """Publish an earlier version of a workspace as a new change."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Declare the command's arguments."""
        parser.add_argument("name", help="the workspace")
        parser.add_argument("--to", type=int, required=True, help="the version to return to")
        add_publish_arguments(parser)

    async def run(self, context: Context) -> int:
        """Publish the old content; the log is never reverted."""
        arguments = context.arguments
        async with context.link() as link:
            answer = await link.ask(HistoryRequest(arguments.name), HistoryAnswer)
            found = {record.version: record for record in answer.records}
            if arguments.to not in found:
                kept = ", ".join(str(version) for version in sorted(found)) or "none"
                detail = f"version {arguments.to} of {arguments.name} is not kept; kept: {kept}"
                raise CtlError(ExitStatus.REFUSED, detail)
            workspace = found[arguments.to].workspace
            return await publish_change(context, link, arguments.name, workspace)
