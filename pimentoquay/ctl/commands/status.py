"""``status``: show the status of all VMs by data centre."""

import argparse
from collections import Counter

from pimentoquay.ctl.command import Context
from pimentoquay.ctl.outcomes import ExitStatus
from pimentoquay.kernel import plugin
from pimentoquay.messages.operator import StatusAnswer, StatusLine, VmStatus

__all__ = ["StatusCommand"]

MAX_NAMED_VMS = 3
"""Maximum number of VMs that are named if several report the same line."""


@plugin("ctl-command", "status")
class StatusCommand:
    """Show the configuration, shards and troubles of each VM by data centre."""

    is_local = False

    def add_arguments(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to a parser."""
        parser.add_argument("--lines", action="store_true", help="show everything parts report")

    async def run(self, context: Context) -> int:
        """Print a table of VMs, followed by the status lines that are not ``ok``."""
        async with context.link() as link:
            answer = await link.status()
        output = context.output
        output.json(answer)
        rows = [_row(status, context) for status in answer.vms]
        rows += [("?", vm, output.state("stuck"), "-", "-", "no answer") for vm in answer.silent]
        output.table(("DATA CENTRE", "VM", "STATE", "CONFIGURATION", "SHARDS", "NOTE"), rows)
        for line, vms in _vms_by_line(answer).items():
            if line.state != "ok" or context.arguments.lines:
                state = output.state(line.state)
                source = f"{_format_vm_names(vms)} {line.part} {line.subject}"
                output.text(f"{state}: {source}: {line.detail}")
        return ExitStatus.OK


def _vms_by_line(answer: StatusAnswer) -> dict[StatusLine, list[str]]:
    """Return the names of the VMs that report each status line."""
    vms_by_line: dict[StatusLine, list[str]] = {}
    for status in answer.vms:
        for line in status.lines:
            vms_by_line.setdefault(line, []).append(status.vm)
    return vms_by_line


def _format_vm_names(vms: list[str]) -> str:
    if len(vms) <= MAX_NAMED_VMS:
        return ", ".join(vms)
    return f"{', '.join(vms[:MAX_NAMED_VMS])} and {len(vms) - MAX_NAMED_VMS} more"


def _row(status: VmStatus, context: Context) -> tuple[str, ...]:
    counts = Counter(line.state for line in status.lines)
    state = "stuck" if counts["stuck"] else "waiting" if counts["waiting"] else "ok"
    shards = [line for line in status.lines if line.part == "scheduler" and "owned" in line.detail]
    offset = str(status.configuration_offset) if status.configuration_offset >= 0 else "not ready"
    note = "leaving" if status.is_leaving else ""
    return (
        status.data_centre,
        status.vm,
        context.output.state(state),
        offset,
        str(len(shards)),
        note,
    )
