"""Connections from one process to the stand-ins and to callers, which can be cut or paused."""

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
    "ConnectionFaults",
    "InterruptibleEngine",
    "InterruptibleLog",
    "InterruptibleMembership",
    "InterruptiblePlainService",
    "ProcessConnection",
]

PLATFORM = "platform"
"""Name of the platform, to which the log and the membership list belong, in pairs that are cut."""

_ORDER_DELAY_SECONDS = 0.3
"""Time between the check of the lease and the arrival of an order at its engine, in seconds."""

Result = TypeVar("Result")


class ConnectionFaults:
    """Current faults of all connections: cuts and paused processes.

    ``cuts`` holds the pairs of data centres, or of a data centre and the platform, that are cut off
    from each other. ``orders`` lists the orders that took effect on engines, in order of arrival.
    """

    def __init__(self) -> None:
        self.cuts: set[frozenset[str]] = set()
        self.orders: list[OrderTaken] = []
        self._resumed_by_name: dict[str, asyncio.Event] = {}

    def pause(self, name: str) -> None:
        """Delay all traffic of a process, given as ``vm/process``, until it is resumed."""
        self._resumed_by_name[name] = asyncio.Event()

    def resume(self, name: str) -> None:
        """Deliver the delayed traffic of a process; do nothing if it is not paused."""
        if name in self._resumed_by_name:
            self._resumed_by_name.pop(name).set()

    async def wait_until_resumed(self, name: str) -> None:
        """Wait until a process is not paused."""
        while name in self._resumed_by_name:
            await self._resumed_by_name[name].wait()


class ProcessConnection:
    """Connection of one process to the stand-ins and to its callers.

    ``ended`` is set when the process is killed, ``idle`` while it serves no caller.
    """

    def __init__(self, faults: ConnectionFaults, process: Identity) -> None:
        self._faults = faults
        self._process = process
        self._name = f"{process.vm}/{process.process}"
        self.data_centre = process.data_centre
        self.is_dead = False
        self.ended = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._exchanges = 0

    def begin_exchange(self) -> None:
        """Count an exchange with a caller as begun."""
        self._exchanges += 1
        self.idle.clear()

    def end_exchange(self) -> None:
        """Count an exchange with a caller as ended."""
        self._exchanges -= 1
        if not self._exchanges:
            self.idle.set()

    def kill(self) -> None:
        """Cut the process off permanently."""
        self.is_dead = True
        self.ended.set()

    async def pass_through(self, data_centre: str) -> None:
        """Wait while the process is paused, then check that it can reach a data centre.

        Raises ``ConnectionResetError`` if the process was killed or the data centre is cut off.
        """
        await self._faults.wait_until_resumed(self._name)
        if self.is_dead:
            raise ConnectionResetError(f"{self._name} was killed")
        if frozenset((self.data_centre, data_centre)) in self._faults.cuts:
            raise ConnectionResetError(f"{self.data_centre} is cut off from {data_centre}")

    def record_order(self, engine: str, order: EngineOrder) -> None:
        """Record that an order of this process took effect on an engine."""
        process = self._process
        holder = f"{process.vm} {process.incarnation}"
        at = asyncio.get_running_loop().time()
        self._faults.orders.append(OrderTaken(engine, holder, order.fencing_number, at))

    async def call(self, data_centre: str, request: Coroutine[Any, Any, Result]) -> Result:
        """Send a call to a data centre and return its result; a fault can stop either direction."""
        try:
            await self.pass_through(data_centre)
        except BaseException:
            request.close()
            raise
        result = await request
        await self.pass_through(data_centre)
        return result


class InterruptibleEngine:
    """Client of a stand-in engine over the interruptible connection of one process."""

    def __init__(
        self, engine: StandinEngine, connection: ProcessConnection, data_centre: str
    ) -> None:
        self._engine = engine
        self._connection = connection
        self._data_centre = data_centre

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Prefill a prompt and return the result."""
        return await self._call(self._engine.prefill(order))

    async def import_kv(self, order: ImportOrder) -> None:
        """Let the engine fetch the KV cache of a prompt."""
        await self._call(self._engine.import_kv(order))

    def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer."""
        return self._stream(self._engine.decode(order))

    def resume(self, request_id: str, attempt: int, offset: int) -> AsyncGenerator[bytes, None]:
        """Stream an answer in progress again, from an offset in tokens."""
        return self._stream(self._engine.resume(request_id, attempt, offset))

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt of a request and free its memory."""
        await self._call(self._engine.cancel(request_id, attempt))

    async def status(self) -> EngineStatus:
        """Return the engine's status report."""
        return await self._call(self._engine.status())

    async def order(self, order: EngineOrder) -> None:
        """Order a role or model version; the order takes effect after a delay."""
        # An order that was sent still arrives if its sender stops waiting for it.
        sent = asyncio.ensure_future(self._call(self._apply(order)))
        sent.add_done_callback(lambda task: task.cancelled() or task.exception())
        await asyncio.shield(sent)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        return await self._call(self._engine.cache_events(after))

    async def _apply(self, order: EngineOrder) -> None:
        await asyncio.sleep(_ORDER_DELAY_SECONDS)
        await self._connection.pass_through(self._data_centre)
        await self._engine.order(order)
        self._connection.record_order(self._engine.name, order)

    async def _call(self, request: Coroutine[Any, Any, Result]) -> Result:
        try:
            return await self._connection.call(self._data_centre, request)
        except ConnectionResetError as error:
            raise EngineLostError(str(error)) from None

    async def _stream(self, frames: AsyncGenerator[bytes, None]) -> AsyncGenerator[bytes, None]:
        try:
            await self._connection.pass_through(self._data_centre)
            async with aclosing(frames):
                async for frame in frames:
                    await self._connection.pass_through(self._data_centre)
                    yield frame
        except ConnectionResetError as error:
            raise EngineLostError(str(error)) from None


class InterruptiblePlainService:
    """Client of a plain service over the interruptible connection of one process."""

    def __init__(
        self, service: StandinPlain, connection: ProcessConnection, data_centre: str
    ) -> None:
        self._service = service
        self._connection = connection
        self._data_centre = data_centre

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Send a call and return its answer; ``timeout`` is in seconds."""
        is_written = False
        try:
            await self._connection.pass_through(self._data_centre)
            is_written = True
            return await self._connection.call(self._data_centre, self._service.call(call, timeout))
        except ConnectionResetError as error:
            raise PlainLostError(str(error), is_written) from None


class InterruptibleLog:
    """Client of the log over the interruptible connection of one process."""

    def __init__(self, log: StandinLog, connection: ProcessConnection) -> None:
        self._log = log
        self._connection = connection

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        is_sent = False
        try:
            await self._connection.pass_through(PLATFORM)
            is_sent = True
            return await self._connection.call(PLATFORM, self._log.append(stream, data))
        except ConnectionResetError as error:
            kind = LogOutcomeUnknownError if is_sent else LogUnavailableError
            raise kind(str(error)) from None

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return the records from an offset on, waiting up to ``wait`` seconds for the first."""
        try:
            return await self._connection.call(PLATFORM, self._log.read(stream, from_offset, wait))
        except ConnectionResetError as error:
            raise LogUnavailableError(str(error)) from None


class InterruptibleMembership:
    """Client of the membership list over the interruptible connection of one process."""

    def __init__(self, membership: StandinMembership, connection: ProcessConnection) -> None:
        self._membership = membership
        self._connection = connection

    async def members(self) -> MembershipUpdate:
        """Return the current membership list."""
        return await self._connection.call(PLATFORM, self._membership.members())
