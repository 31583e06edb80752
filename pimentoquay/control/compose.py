"""Composition root of the control process, which connects kernel, channels, ports and parts.

The same function is used by the daemon, with WebSocket channels and HTTP clients, and by tests,
with in-memory channels and simulated services.
"""

import asyncio

from pimentoquay.control.settings import ControlSettings
from pimentoquay.kernel import Node, Part, find_plugin
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["PART_NAMES", "ControlProcess", "compose_control"]

PART_NAMES = (
    "membership",
    "configuration",
    "scheduler",
    "orders",
    "once-only",
    "operator",
    "usage",
)
"""Names of the parts of a control process, in the order in which they are created."""


class ControlProcess:
    """Control process, ready to run.

    Parameters
    ----------
    node
        Kernel of the process.
    peers
        Channels to other processes.
    parts
        Parts that the process runs.
    address
        ``IP:PORT`` that peers, entries and operators connect to.
    """

    def __init__(self, node: Node, peers: PeerSet, parts: tuple[Part, ...], address: str) -> None:
        self.node = node
        self.peers = peers
        self.parts = parts
        self._address = address

    async def run(self) -> None:
        """Listen and run all parts until cancelled; raise ``OSError`` if the address is in use."""
        await self.node.transport.listen(self._address, self.peers.serve)
        try:
            await self.node.run(self.parts)
        finally:
            await self.peers.close()

    def start(self) -> "asyncio.Task[None]":
        """Start the process in a new task and return the task."""
        return asyncio.create_task(self.run(), name=f"control {self.node.identity.vm}")


def compose_control(
    node: Node, ports: Ports, settings: ControlSettings, part_names: tuple[str, ...] = PART_NAMES
) -> ControlProcess:
    """Create a control process.

    Parameters
    ----------
    node
        Kernel of the process.
    ports
        Clients of the engines and of the platform's services.
    settings
        Checked settings.
    part_names
        Names of the parts to create.
    """
    peers = PeerSet(node)
    parts = []
    for name in part_names:
        section = getattr(settings, name.replace("-", "_"))
        parts.append(find_plugin("control-part", name)(node, peers, ports, section))
    return ControlProcess(node, peers, tuple(parts), settings.control.listen)
