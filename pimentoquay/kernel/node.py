"""Kernel of a process: clock, timers, message bus, time line, and the parts that use them.

A part is a task that owns its state and its sockets. It subscribes an inbox to the message types
that it handles, and replies on the channel given in the envelope.

Example
-------
::

    @plugin("control-part", "echo")
    class Echo:
        def __init__(self, node: Node, settings: object) -> None:
            self.inbox = node.bus.subscribe(Ping)

        async def run(self) -> None:
            while True:
                envelope = await self.inbox.get()
                envelope.channel.send(envelope.message)
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from pimentoquay.kernel.clock import Clock, LoopClock
from pimentoquay.kernel.timeline import HybridClock, TimeLine
from pimentoquay.kernel.timers import TimerService

__all__ = [
    "Bus",
    "Channel",
    "ChannelClosed",
    "ChannelOpened",
    "Envelope",
    "Identity",
    "Node",
    "Part",
    "Transport",
]


@dataclass(frozen=True)
class Identity:
    """Identity of a process; ``incarnation`` changes each time the process is started."""

    vm: str
    process: str
    region: str
    data_centre: str
    incarnation: int


class Channel(Protocol):
    """Ordered bidirectional stream of messages to a peer process."""

    peer: Identity

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait to be sent because the peer, or the way to it, is slower."""

    def send(self, message: Any) -> None:
        """Queue a message for sending; it is dropped if the channel is closed."""

    async def receive(self) -> Any:
        """Return the next message; raise ``ConnectionError`` once the channel is closed."""

    async def close(self) -> None:
        """Close the channel, which ends ``receive`` on both sides."""


class Transport(Protocol):
    """Opens and accepts the channels of a process."""

    def stamp_with(self, clock: HybridClock) -> None:
        """Stamp every sent message with ``clock`` and advance it past every received stamp."""

    async def listen(self, address: str, accept: Callable[[Channel], Any]) -> None:
        """Listen on ``address`` and run ``accept(channel)`` in a new task for each connection."""

    async def connect(self, address: str) -> Channel:
        """Return a channel to the process at ``address``; raise ``ConnectionError`` on failure."""

    async def close(self) -> None:
        """Stop listening and close every channel."""


@dataclass(frozen=True)
class Envelope:
    """Message with the channel it was received on; ``channel`` is ``None`` for local events."""

    message: Any
    channel: Channel | None = None


@dataclass(frozen=True)
class ChannelOpened:
    """Local event: a channel to a peer process was opened, by either side."""

    channel: Channel


@dataclass(frozen=True)
class ChannelClosed:
    """Local event: a channel to a peer process was closed."""

    channel: Channel


class Bus:
    """Message bus that delivers each message to the inboxes subscribed to its type."""

    def __init__(self) -> None:
        self._inboxes_by_type: dict[type, list[asyncio.Queue[Envelope]]] = {}

    def subscribe(
        self, *types: type, inbox: asyncio.Queue[Envelope] | None = None
    ) -> asyncio.Queue[Envelope]:
        """Subscribe an inbox to message types and return it; a new inbox is created if omitted."""
        inbox = inbox if inbox is not None else asyncio.Queue()
        for cls in types:
            self._inboxes_by_type.setdefault(cls, []).append(inbox)
        return inbox

    def publish(self, message: Any, channel: Channel | None = None) -> bool:
        """Deliver a message; return whether any inbox is subscribed to its type."""
        inboxes = self._inboxes_by_type.get(type(message), ())
        for inbox in inboxes:
            inbox.put_nowait(Envelope(message, channel))
        return bool(inboxes)


class Part(Protocol):
    """Component of a process: a task with its own state."""

    async def run(self) -> None:
        """Run until cancelled."""


@dataclass
class Node:
    """Services shared by all parts of a process."""

    identity: Identity
    transport: Transport
    clock: Clock = field(default_factory=LoopClock)
    bus: Bus = field(default_factory=Bus)
    timers: TimerService = field(init=False)
    timeline: TimeLine = field(init=False)

    def __post_init__(self) -> None:
        self.timers = TimerService(self.clock)
        self.timeline = TimeLine(self.clock, self.identity.vm, self.identity.process)
        self.transport.stamp_with(self.timeline.hybrid_clock)

    async def run(self, parts: tuple[Part, ...]) -> None:
        """Run all parts; the first failure cancels the rest and is raised in an exception group."""
        try:
            async with asyncio.TaskGroup() as group:
                for part in parts:
                    group.create_task(part.run(), name=type(part).__name__)
        finally:
            self.timers.close()
            await self.transport.close()
