"""The wire between one process and everything outside it, which can be cut or paused."""

import asyncio
from collections.abc import AsyncGenerator, Coroutine
from contextlib import aclosing
from typing import Any, TypeVar

from pimentoquay.backends.base import (
    CacheEvent,
    DecodeOrder,
    EngineLostError,
    EngineOrder,
    EngineStatus,
    ImportOrder,
    PlainAnswer,
    PlainCall,
    PlainLostError,
    PrefillOrder,
    PrefillResult,
)
from pimentoquay.bench.faults.records import OrderTaken
from pimentoquay.kernel import Identity
from pimentoquay.messages.cluster import MembershipUpdate
from pimentoquay.services.base import (
    LogOutcomeUnknownError,
    LogPage,
    LogUnavailableError,
)
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.log import StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import StandinPlain

__all__ = [
    "PLATFORM",
    "Wire",
    "WiredEngine",
    "WiredLog",
    "WiredMembership",
    "WiredPlain",
    "Wires",
]

PLATFORM = "platform"
"""Stands for the platform among the data centres that can be cut off from each other."""

_ORDER_SECONDS = 0.3
"""The time between the look at a lease and the arrival of the order."""

Result = TypeVar("Result")


class Wires:
    """Which data centres are cut off from each other, and which VMs are paused."""

    def __init__(self) -> None:
        self.cuts: set[frozenset[str]] = set()
        self.orders: list[OrderTaken] = []
        self._resumed_by_name: dict[str, asyncio.Event] = {}

    def pause(self, name: str) -> None:
        """Hold back everything that a process, given as ``vm/process``, sends and receives."""
        self._resumed_by_name[name] = asyncio.Event()

    def resume(self, name: str) -> None:
        """Let a process go on."""
        if name in self._resumed_by_name:
            self._resumed_by_name.pop(name).set()

    async def wait_for(self, name: str) -> None:
        """Return when a process is not paused."""
        while name in self._resumed_by_name:
            await self._resumed_by_name[name].wait()


class Wire:
    """The wire of one process.

    ``ended`` is set when the process was killed, ``idle`` while it has no caller.
    """

    def __init__(self, wires: Wires, process: Identity) -> None:
        self._wires = wires
        self._process = process
        self._name = f"{process.vm}/{process.process}"
        self.data_centre = process.data_centre
        self.is_dead = False
        self.ended = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._exchanges = 0

    def enter(self) -> None:
        """Note that an exchange with a caller begins."""
        self._exchanges += 1
        self.idle.clear()

    def leave(self) -> None:
        """Note that an exchange with a caller has ended."""
        self._exchanges -= 1
        if not self._exchanges:
            self.idle.set()

    def kill(self) -> None:
        """Cut the process off for good."""
        self.is_dead = True
        self.ended.set()

    async def cross(self, data_centre: str) -> None:
        """Wait while the VM is paused; ``ConnectionResetError`` if nothing can pass."""
        await self._wires.wait_for(self._name)
        if self.is_dead:
            raise ConnectionResetError(f"{self._name} was killed")
        if frozenset((self.data_centre, data_centre)) in self._wires.cuts:
            raise ConnectionResetError(f"{self.data_centre} is cut off from {data_centre}")

    def note_order(self, engine: str, order: EngineOrder) -> None:
        """Note that an order of this process took effect."""
        process = self._process
        holder = f"{process.vm} {process.incarnation}"
        at = asyncio.get_running_loop().time()
        self._wires.orders.append(OrderTaken(engine, holder, order.fencing_number, at))

    async def call(self, data_centre: str, work: Coroutine[Any, Any, Result]) -> Result:
        """Send a call and bring back its answer."""
        try:
            await self.cross(data_centre)
        except BaseException:
            work.close()
            raise
        result = await work
        await self.cross(data_centre)
        return result


class WiredEngine:
    """An engine as one process reaches it."""

    def __init__(self, engine: StandinEngine, wire: Wire, data_centre: str) -> None:
        self._engine = engine
        self._wire = wire
        self._data_centre = data_centre

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute a prompt's KV cache."""
        return await self._call(self._engine.prefill(order))

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache."""
        await self._call(self._engine.import_kv(order))

    def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer."""
        return self._stream(self._engine.decode(order))

    def resume(self, request_id: str, attempt: int, offset: int) -> AsyncGenerator[bytes, None]:
        """Stream a running answer again."""
        return self._stream(self._engine.resume(request_id, attempt, offset))

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Free all that is held for an attempt."""
        await self._call(self._engine.cancel(request_id, attempt))

    async def status(self) -> EngineStatus:
        """Return the engine's report."""
        return await self._call(self._engine.status())

    async def order(self, order: EngineOrder) -> None:
        """Move towards a wanted state."""
        # An order that has been written arrives, though its sender no longer waits for it.
        sent = asyncio.ensure_future(self._call(self._apply(order)))
        sent.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.shield(sent)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        return await self._call(self._engine.cache_events(after))

    async def _apply(self, order: EngineOrder) -> None:
        await asyncio.sleep(_ORDER_SECONDS)
        await self._wire.cross(self._data_centre)
        await self._engine.order(order)
        self._wire.note_order(self._engine.name, order)

    async def _call(self, work: Coroutine[Any, Any, Result]) -> Result:
        try:
            return await self._wire.call(self._data_centre, work)
        except ConnectionResetError as error:
            raise EngineLostError(str(error)) from None

    async def _stream(self, frames: AsyncGenerator[bytes, None]) -> AsyncGenerator[bytes, None]:
        try:
            await self._wire.cross(self._data_centre)
            async with aclosing(frames):
                async for frame in frames:
                    await self._wire.cross(self._data_centre)
                    yield frame
        except ConnectionResetError as error:
            raise EngineLostError(str(error)) from None


class WiredPlain:
    """A plain service as one process reaches it."""

    def __init__(self, service: StandinPlain, wire: Wire, data_centre: str) -> None:
        self._service = service
        self._wire = wire
        self._data_centre = data_centre

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Send one call."""
        is_written = False
        try:
            await self._wire.cross(self._data_centre)
            is_written = True
            return await self._wire.call(self._data_centre, self._service.call(call, timeout))
        except ConnectionResetError as error:
            raise PlainLostError(str(error), is_written) from None


class WiredLog:
    """The log as one process reaches it."""

    def __init__(self, log: StandinLog, wire: Wire) -> None:
        self._log = log
        self._wire = wire

    async def append(self, stream: str, data: bytes) -> int:
        """Append and return the offset."""
        is_sent = False
        try:
            await self._wire.cross(PLATFORM)
            is_sent = True
            return await self._wire.call(PLATFORM, self._log.append(stream, data))
        except ConnectionResetError as error:
            kind = LogOutcomeUnknownError if is_sent else LogUnavailableError
            raise kind(str(error)) from None

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on."""
        try:
            return await self._wire.call(PLATFORM, self._log.read(stream, from_offset, wait))
        except ConnectionResetError as error:
            raise LogUnavailableError(str(error)) from None


class WiredMembership:
    """The membership list as one process reaches it."""

    def __init__(self, listing: StandinMembership, wire: Wire) -> None:
        self._listing = listing
        self._wire = wire

    async def members(self) -> MembershipUpdate:
        """Return the list as it stands."""
        return await self._wire.call(PLATFORM, self._listing.members())
