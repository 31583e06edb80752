"""Graceful shutdown of a control process.

The VM announces that it is leaving, so that its shards move to other owners at once; it stays
up until its own entry has finished its requests and the new owners had time to take over.
"""

from pimentoquay.control.compose import ControlProcess
from pimentoquay.kernel.logs import logger
from pimentoquay.membership.events import DrainRequested

__all__ = ["HANDOVER_SECONDS", "drain_control"]

HANDOVER_SECONDS = 2.5
"""How long a leaving owner still answers while entries move to the new one."""

_CHECK_SECONDS = 0.1


async def drain_control(control: ControlProcess) -> None:
    """Return once this VM may exit without cutting off a request."""
    node = control.node
    node.timeline.record("drain")
    node.bus.publish(DrainRequested())
    logger.info("leaving")
    handed_over_at = node.timers.now() + HANDOVER_SECONDS
    while node.timers.now() < handed_over_at or _own_entries(control):
        await node.timers.sleep(_CHECK_SECONDS)


def _own_entries(control: ControlProcess) -> bool:
    vm = control.node.identity.vm
    return any(channel.peer.vm == vm for channel in control.peers.channels("entry"))
