"""``recover``: start with an empty configuration after the configuration was lost."""

import argparse

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus, exit_status_of
from pimentoquay.kernel import ResultCode, plugin
from pimentoquay.messages.operator import BeginAnewAnswer, BeginAnewRequest

__all__ = ["RecoverCommand"]


@plugin("ctl-command", "recover")
class RecoverCommand:
    """Begin with an empty configuration after log and VMs have lost the last one."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument(
            "--confirm",
            action="store_true",
            required=True,
            help="confirm that the configuration is lost",
        )

    async def run(self, context: Context) -> int:
        """Request an empty configuration from the connected VM.

        The VM refuses if the log or any VM that it can reach still has a configuration, or if it
        has not read the log to its end.
        """
        async with context.link() as link:
            answer = await link.call(BeginAnewRequest(link.next_query_number()), BeginAnewAnswer)
        context.output.json(answer)
        if answer.code is not ResultCode.CONFIG_ACCEPTED:
            raise CtlError(exit_status_of(answer.code), f"{int(answer.code)} {answer.detail}")
        context.output.text("begun anew; publish every workspace")
        return ExitStatus.OK
