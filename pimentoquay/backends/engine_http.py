"""The client of a model engine over HTTP.

Orders travel as JSON. An answer streams as server-sent events, whose bytes are passed on
unread. A refusal has status 503 and says that nothing ran; everything else that is not an
answer counts as lost.
"""

from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from typing import Any, TypeVar

from pimentoquay.backends.base import (
    CacheEvent,
    DecodeOrder,
    EngineLostError,
    EngineOrder,
    EngineRefusedError,
    EngineStatus,
    ImportOrder,
    KvGoneError,
    PrefillOrder,
    PrefillResult,
)
from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.http_peer import BufferedResponse, HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json, to_json
from pimentoquay.kernel.registry import plugin

__all__ = ["CacheEvents", "CancelOrder", "EngineFault", "HttpEngineClient", "ResumeOrder"]

STAGE_SECONDS = 60.0
"""The longest wait for a prefill, a transfer or the first token; callers set shorter ones."""

CALL_SECONDS = 5.0
"""The longest wait for any other call."""

Result = TypeVar("Result")


@dataclass(frozen=True)
class ResumeOrder:
    """Stream a running answer again from token ``offset``."""

    request_id: str
    attempt: int
    offset: int


@dataclass(frozen=True)
class CancelOrder:
    """Free what is held for an attempt; ``attempt`` -1 frees every attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True)
class CacheEvents:
    """The cache events after a sequence number."""

    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class EngineFault:
    """The body of an engine's answer that is not a success; ``retry_after`` is in seconds."""

    code: int
    detail: str
    retry_after: float = 0.0


@plugin("backend", "engine-http")
class HttpEngineClient:
    """One model engine; it implements ``EngineClient``.

    Parameters
    ----------
    address
        The engine's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    @property
    def connections_in_use(self) -> int:
        """The connections that carry a call or a stream now."""
        return self._peer.connections_in_use

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute a prompt's KV cache and hold it."""
        return await self._ask("/v1/prefill", order, STAGE_SECONDS, PrefillResult)

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache and hold it in a decode slot."""
        await self._tell("/v1/import", order, STAGE_SECONDS)

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer."""
        async with aclosing(self._stream("/v1/decode", order)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def resume(
        self, request_id: str, attempt: int, offset: int
    ) -> AsyncGenerator[bytes, None]:
        """Stream a running answer again from token ``offset``."""
        order = ResumeOrder(request_id, attempt, offset)
        async with aclosing(self._stream("/v1/resume", order)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Free all that is held for an attempt; ``attempt`` -1 frees every attempt."""
        await self._tell("/v1/cancel", CancelOrder(request_id, attempt), CALL_SECONDS)

    async def status(self) -> EngineStatus:
        """Return the engine's own report."""
        answer = await self._send("GET", "/status", CALL_SECONDS)
        return self._read(EngineStatus, answer)

    async def order(self, order: EngineOrder) -> None:
        """Move towards a wanted state; ``PimentoquayError`` with ``FENCED`` if refused as old."""
        await self._tell("/order", order, CALL_SECONDS)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        answer = await self._send("GET", f"/cache-events?after={after}", CALL_SECONDS)
        return self._read(CacheEvents, answer).events

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()

    async def _tell(self, path: str, order: Any, timeout: float) -> None:
        self._check(await self._send("POST", path, timeout, to_json(order)))

    async def _ask(self, path: str, order: Any, timeout: float, cls: type[Result]) -> Result:
        return self._read(cls, await self._send("POST", path, timeout, to_json(order)))

    async def _send(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> BufferedResponse:
        try:
            return await self._peer.request(method, path, timeout, body)
        except HttpError as failure:
            raise EngineLostError(str(failure)) from None

    async def _stream(self, path: str, order: Any) -> AsyncGenerator[bytes, None]:
        try:
            stream = await self._peer.open_stream(path, STAGE_SECONDS, to_json(order))
            if isinstance(stream, BufferedResponse):
                raise self._error(stream)
            async with aclosing(stream.chunks()) as chunks:
                async for chunk in chunks:
                    yield chunk
        except HttpError as failure:
            raise EngineLostError(str(failure)) from None

    def _read(self, cls: type[Result], answer: BufferedResponse) -> Result:
        self._check(answer)
        try:
            return from_json(cls, answer.body)
        except ValueError as error:
            raise EngineLostError(f"{self._peer.address}: {error}") from None

    def _check(self, answer: BufferedResponse) -> None:
        if answer.status != 200:
            raise self._error(answer)

    def _error(self, answer: BufferedResponse) -> PimentoquayError:
        try:
            fault = from_json(EngineFault, answer.body)
        except ValueError:
            return EngineLostError(f"{self._peer.address}: status {answer.status}")
        detail = f"{self._peer.address}: {fault.detail}"
        if fault.code == ResultCode.CIRCUIT_OPEN:
            return EngineRefusedError(detail, fault.retry_after)
        if fault.code == ResultCode.KV_GONE:
            return KvGoneError(detail)
        if fault.code == ResultCode.FENCED:
            return PimentoquayError(ResultCode.FENCED, detail)
        return EngineLostError(detail)
