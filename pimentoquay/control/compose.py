"""The composition root of the control process: it wires kernel, channels, ports and parts.

The same function serves the daemon, with WebSocket channels and HTTP clients, and tests, with
channels in memory and stand-ins.
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
"""The parts of a control process, in the order in which they are made."""


class ControlProcess:
    """One control process, ready to run.

    Parameters
    ----------
    node
        The kernel of the process.
    peers
        Its channels.
    parts
        The tasks that it runs.
    address
        ``IP:PORT`` that peers, entries and operators connect to.
    """

    def __init__(self, node: Node, peers: PeerSet, parts: tuple[Part, ...], address: str) -> None:
        self.node = node
        self.peers = peers
        self.parts = parts
        self._address = address

    async def run(self) -> None:
        """Listen and run every part until cancelled; ``OSError`` if the address is in use."""
        await self.node.transport.listen(self._address, self.peers.serve)
        try:
            await self.node.run(self.parts)
        finally:
            await self.peers.close()

    def start(self) -> "asyncio.Task[None]":
        """Run in a task of its own."""
        return asyncio.create_task(self.run(), name=f"control {self.node.identity.vm}")


def compose_control(
    node: Node, ports: Ports, settings: ControlSettings, part_names: tuple[str, ...] = PART_NAMES
) -> ControlProcess:
    """Wire a control process from its kernel, its ports and its checked settings."""
    peers = PeerSet(node)
    parts = []
    for name in part_names:
        section = getattr(settings, name.replace("-", "_"))
        parts.append(find_plugin("control-part", name)(node, peers, ports, section))
    return ControlProcess(node, peers, tuple(parts), settings.control.listen)
