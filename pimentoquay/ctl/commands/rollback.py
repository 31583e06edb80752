"""``rollback NAME --to VERSION``: publish an earlier version again, as a new change."""

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
        """Add the command's arguments to a parser."""
        parser.add_argument("name", help="the workspace")
        parser.add_argument("--to", type=int, required=True, help="the version to return to")
        add_publish_arguments(parser)

    async def run(self, context: Context) -> int:
        """Publish the earlier content as a new change; the log itself is never reverted."""
        arguments = context.arguments
        async with context.link() as link:
            answer = await link.call(HistoryRequest(arguments.name), HistoryAnswer)
            record_by_version = {record.version: record for record in answer.records}
            if arguments.to not in record_by_version:
                kept_versions = (
                    ", ".join(str(version) for version in sorted(record_by_version)) or "none"
                )
                detail = (
                    f"version {arguments.to} of {arguments.name} is not kept; kept: {kept_versions}"
                )
                raise CtlError(ExitStatus.REFUSED, detail)
            workspace = record_by_version[arguments.to].workspace
            return await publish_change(context, link, arguments.name, workspace)
