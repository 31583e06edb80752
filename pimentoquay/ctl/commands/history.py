"""``history NAME``: list the changes of a workspace."""

import argparse

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.kernel import ResultCode, plugin
from pimentoquay.messages.operator import HistoryAnswer, HistoryRequest

__all__ = ["HistoryCommand"]


@plugin("ctl-command", "history")
class HistoryCommand:
    """List the remembered changes of a workspace, accepted and rejected."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("name", help="the workspace")

    async def run(self, context: Context) -> int:
        """Print the changes, oldest first."""
        async with context.link() as link:
            answer = await link.call(HistoryRequest(context.arguments.name), HistoryAnswer)
        kept = {record.version for record in answer.records}
        rows = []
        for outcome in answer.outcomes:
            accepted = outcome.code is ResultCode.CONFIG_ACCEPTED
            outcome_text = "accepted" if accepted else f"conflict with version {outcome.version}"
            version = str(outcome.version) if accepted else "-"
            can_roll_back = "yes" if accepted and outcome.version in kept else "no"
            rows.append((version, outcome_text, outcome.author, outcome.change_id, can_roll_back))
        context.output.table(("VERSION", "OUTCOME", "AUTHOR", "CHANGE", "KEPT"), rows)
        context.output.json({"outcomes": answer.outcomes, "kept_versions": sorted(kept)})
        return ExitStatus.OK
