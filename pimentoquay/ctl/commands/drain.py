"""``drain VM``: shut down a VM gracefully."""

import argparse

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import CtlError, ExitStatus
from pimentoquay.kernel import plugin
from pimentoquay.messages.operator import DrainAnswer, DrainRequest, Scope

__all__ = ["DrainCommand"]


@plugin("ctl-command", "drain")
class DrainCommand:
    """Ask a VM to take no new work, to hand its shards over and to end its programs."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("vm", help="the VM's name")

    async def run(self, context: Context) -> int:
        """Send a drain request, which the connected VM forwards to the VM to be drained."""
        vm = context.arguments.vm
        async with context.link() as link:
            request = DrainRequest(link.next_query_number(), Scope.ALL, vm)
            answer = await link.call(request, DrainAnswer)
        context.output.json(answer)
        if not answer.was_told:
            raise CtlError(ExitStatus.UNREACHABLE, f"VM {vm!r} is unknown or cannot be reached")
        context.output.text(f"{vm} is leaving; its programs end when its requests have ended")
        return ExitStatus.OK
