"""Graceful shutdown of a control process.

The VM announces that it is leaving, so that its shards immediately get other owners. The process
keeps running until the entry process of its VM has finished its requests and the new owners have
had time to take over.
"""

from pimentoquay.control.compose import ControlProcess
from pimentoquay.kernel.logs import logger
from pimentoquay.membership.events import DrainRequested

__all__ = ["HANDOVER_SECONDS", "drain_control"]

HANDOVER_SECONDS = 2.5
"""Time in seconds for which a leaving owner still serves entries that switch to the new one."""

_CHECK_INTERVAL_SECONDS = 0.1
"""Interval between checks whether the entry process has finished, in seconds."""


async def drain_control(control: ControlProcess) -> None:
    """Announce that this VM is leaving; return once it can exit without aborting a request."""
    node = control.node
    node.timeline.record("drain")
    node.bus.publish(DrainRequested())
    logger.info("leaving")
    handover_ends_at = node.timers.now() + HANDOVER_SECONDS
    while node.timers.now() < handover_ends_at or _has_local_entry(control):
        await node.timers.sleep(_CHECK_INTERVAL_SECONDS)


def _has_local_entry(control: ControlProcess) -> bool:
    vm = control.node.identity.vm
    return any(channel.peer.vm == vm for channel in control.peers.channels("entry"))
