"""Channels of one process to its peers: accepted ones, and outgoing ones that it reconnects.

Received messages are published on the node's bus, as are ``ChannelOpened`` and ``ChannelClosed``
when a channel opens or closes.
"""

import asyncio
from collections.abc import Callable, Mapping
from typing import Any

from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Node, PimentoquayError
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.kernel.turns import TurnQueue

__all__ = ["PeerSet"]

RECONNECT_SECONDS = 0.5
"""Time before a lost or refused connection is attempted again, in seconds."""


class PeerSet:
    """Maintains channels to a set of target VMs and serves accepted channels.

    Parameters
    ----------
    node
        The process that the channels belong to.
    turns
        Lets others go on between the pieces of a long message; a queue of its own if omitted.
    pieces_of
        Divides a received message into pieces that are published one after the other, in turns.
    """

    def __init__(
        self,
        node: Node,
        turns: TurnQueue | None = None,
        pieces_of: Callable[[Any], tuple[Any, ...]] = lambda message: (message,),
    ) -> None:
        self._node = node
        self._turns = turns if turns is not None else TurnQueue()
        self._pieces_of = pieces_of
        self._connect_task_by_vm: dict[str, asyncio.Task[None]] = {}
        self._address_by_vm: dict[str, str] = {}
        self._channels: list[Channel] = []

    def channel_to(self, vm: str, process: str = "control") -> Channel | None:
        """Return the newest open channel to a process of a VM, or ``None``."""
        for channel in reversed(self._channels):
            if channel.peer.vm == vm and channel.peer.process == process:
                return channel
        return None

    def channels(self, process: str) -> tuple[Channel, ...]:
        """Return every open channel to processes of one kind."""
        return tuple(channel for channel in self._channels if channel.peer.process == process)

    def send(self, vm: str, message: Any) -> bool:
        """Send a message to a VM's control process; return whether a channel to it is open."""
        channel = self.channel_to(vm)
        if channel is not None:
            channel.send(message)
        return channel is not None

    def set_targets(self, address_by_vm: Mapping[str, str]) -> None:
        """Connect and reconnect to exactly these VMs, by control address, and to no others."""
        for vm in list(self._connect_task_by_vm):
            if address_by_vm.get(vm) != self._address_by_vm[vm]:
                self._connect_task_by_vm.pop(vm).cancel()
                del self._address_by_vm[vm]
        for vm, address in address_by_vm.items():
            if vm not in self._connect_task_by_vm:
                self._address_by_vm[vm] = address
                self._connect_task_by_vm[vm] = asyncio.create_task(self._keep_connected(address))

    async def serve(self, channel: Channel) -> None:
        """Publish the messages received on a channel on the node's bus until it closes."""
        self._channels.append(channel)
        self._node.bus.publish(ChannelOpened(channel))
        try:
            while True:
                pieces = self._pieces_of(await channel.receive())
                for piece in pieces:
                    self._node.bus.publish(piece, channel)
                    if len(pieces) > 1:
                        await self._turns.wait(channel)
        except ConnectionError:
            pass
        except PimentoquayError as error:
            refused_messages["received"] += 1
            logger.bind(peer=channel.peer.vm, error=str(error)).warning(
                "message cannot be read; closing the channel"
            )
        finally:
            self._channels.remove(channel)
            self._node.bus.publish(ChannelClosed(channel))
            await channel.close()

    async def close(self) -> None:
        """Stop connecting and close every channel."""
        self.set_targets({})
        for channel in tuple(self._channels):
            await channel.close()

    async def _keep_connected(self, address: str) -> None:
        while True:
            try:
                channel = await self._node.transport.connect(address)
            except (ConnectionError, OSError, PimentoquayError):
                await self._node.timers.sleep(RECONNECT_SECONDS)
                continue
            await self.serve(channel)
            await self._node.timers.sleep(RECONNECT_SECONDS)
