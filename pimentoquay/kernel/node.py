"""The kernel of one process: clock, timers, bus, time line, and the parts that run on them.

A part is a task that owns its state and its sockets. It subscribes an inbox to the types of
message it handles and replies on the channel that an envelope names.

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
    """Who a process is. ``incarnation`` differs between runs of the same VM."""

    vm: str
    process: str
    region: str
    data_centre: str
    incarnation: int


class Channel(Protocol):
    """An ordered two-way stream of messages to one peer process."""

    peer: Identity

    def send(self, message: Any) -> None:
        """Queue a message; it is dropped if the channel has closed."""

    async def receive(self) -> Any:
        """Return the next message; ``ConnectionError`` once the channel has closed."""

    async def close(self) -> None:
        """Close the channel; both sides' ``receive`` ends."""


class Transport(Protocol):
    """Opens and accepts channels for one process."""

    def stamp_with(self, clock: HybridClock) -> None:
        """Stamp every message sent, and follow the stamps received."""

    async def listen(self, address: str, accept: Callable[[Channel], Any]) -> None:
        """Await ``accept(channel)`` in a task of its own for each peer that connects."""

    async def connect(self, address: str) -> Channel:
        """Return a channel to the process at ``address``; ``ConnectionError`` if none."""

    async def close(self) -> None:
        """Stop listening and close every channel."""


@dataclass(frozen=True)
class Envelope:
    """A message with the channel it came by; ``channel`` is ``None`` for local events."""

    message: Any
    channel: Channel | None = None


@dataclass(frozen=True)
class ChannelOpened:
    """A local event: a channel to a peer process is up, dialled or accepted."""

    channel: Channel


@dataclass(frozen=True)
class ChannelClosed:
    """A local event: a channel to a peer process has ended."""

    channel: Channel


class Bus:
    """Hands messages to the inboxes subscribed to their type."""

    def __init__(self) -> None:
        self._inboxes_by_type: dict[type, list[asyncio.Queue[Envelope]]] = {}

    def subscribe(
        self, *types: type, inbox: asyncio.Queue[Envelope] | None = None
    ) -> asyncio.Queue[Envelope]:
        """Return an inbox, a new one unless given, that receives the given types."""
        inbox = inbox if inbox is not None else asyncio.Queue()
        for cls in types:
            self._inboxes_by_type.setdefault(cls, []).append(inbox)
        return inbox

    def publish(self, message: Any, channel: Channel | None = None) -> bool:
        """Deliver a message; return whether anybody subscribes to its type."""
        inboxes = self._inboxes_by_type.get(type(message), ())
        for inbox in inboxes:
            inbox.put_nowait(Envelope(message, channel))
        return bool(inboxes)


class Part(Protocol):
    """A task with its own state."""

    async def run(self) -> None:
        """Run until cancelled."""


@dataclass
class Node:
    """What every part of one process shares."""

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
        """Run all parts; the first failure ends the rest and is raised in a group."""
        try:
            async with asyncio.TaskGroup() as group:
                for part in parts:
                    group.create_task(part.run(), name=type(part).__name__)
        finally:
            self.timers.close()
            await self.transport.close()
