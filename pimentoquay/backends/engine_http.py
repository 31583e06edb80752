"""HTTP client of a model engine.

Orders are sent as JSON. An answer is streamed as server-sent events, whose bytes are forwarded
without parsing. A rejection (status 503) means that nothing ran. After any other error, except the
result codes ``KV_GONE`` and ``FENCED``, the call counts as lost: it may have run.
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
"""Timeout of a prefill, a transfer or the first token, in seconds; callers set shorter ones."""

CALL_SECONDS = 5.0
"""Timeout of any other call, in seconds."""

Result = TypeVar("Result")


@dataclass(frozen=True)
class ResumeOrder:
    """Body of a request to stream a running answer again from token ``offset``."""

    request_id: str
    attempt: int
    offset: int


@dataclass(frozen=True)
class CancelOrder:
    """Body of a request to cancel an attempt; ``attempt`` -1 cancels every attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True)
class CacheEvents:
    """Body of a response with the cache events after a sequence number."""

    events: tuple[CacheEvent, ...]


@dataclass(frozen=True)
class EngineFault:
    """Body of an error response of an engine; ``retry_after`` is in seconds."""

    code: int
    detail: str
    retry_after: float = 0.0


@plugin("backend", "engine-http")
class HttpEngineClient:
    """HTTP client of one model engine; implements ``EngineClient``.

    Parameters
    ----------
    address
        The engine's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    @property
    def connections_in_use(self) -> int:
        """Number of connections that currently carry a call or a stream."""
        return self._peer.connections_in_use

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute the KV cache of a prompt and keep it on the engine."""
        return await self._post_for_result("/v1/prefill", order, STAGE_SECONDS, PrefillResult)

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache from another engine into a decode slot."""
        await self._post("/v1/import", order, STAGE_SECONDS)

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode a request and stream the answer."""
        async with aclosing(self._stream_response("/v1/decode", order)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def resume(
        self, request_id: str, attempt: int, offset: int
    ) -> AsyncGenerator[bytes, None]:
        """Stream a running or recently finished answer again from token ``offset``."""
        order = ResumeOrder(request_id, attempt, offset)
        async with aclosing(self._stream_response("/v1/resume", order)) as chunks:
            async for chunk in chunks:
                yield chunk

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt and release its resources; -1 cancels all attempts of the request."""
        await self._post("/v1/cancel", CancelOrder(request_id, attempt), CALL_SECONDS)

    async def status(self) -> EngineStatus:
        """Return the engine's status report."""
        answer = await self._send_request("GET", "/status", CALL_SECONDS)
        return self._parse_result(EngineStatus, answer)

    async def order(self, order: EngineOrder) -> None:
        """Set the desired state; ``PimentoquayError`` with ``FENCED`` for an old fencing token."""
        await self._post("/order", order, CALL_SECONDS)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after sequence number ``after``."""
        answer = await self._send_request("GET", f"/cache-events?after={after}", CALL_SECONDS)
        return self._parse_result(CacheEvents, answer).events

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()

    async def _post(self, path: str, order: Any, timeout: float) -> None:
        self._raise_for_status(await self._send_request("POST", path, timeout, to_json(order)))

    async def _post_for_result(
        self, path: str, order: Any, timeout: float, cls: type[Result]
    ) -> Result:
        return self._parse_result(
            cls, await self._send_request("POST", path, timeout, to_json(order))
        )

    async def _send_request(
        self, method: str, path: str, timeout: float, body: bytes = b""
    ) -> BufferedResponse:
        try:
            return await self._peer.request(method, path, timeout, body)
        except HttpError as failure:
            raise EngineLostError(str(failure)) from None

    async def _stream_response(self, path: str, order: Any) -> AsyncGenerator[bytes, None]:
        try:
            stream = await self._peer.open_stream(path, STAGE_SECONDS, to_json(order))
            if isinstance(stream, BufferedResponse):
                raise self._to_error(stream)
            async with aclosing(stream.chunks()) as chunks:
                async for chunk in chunks:
                    yield chunk
        except HttpError as failure:
            raise EngineLostError(str(failure)) from None

    def _parse_result(self, cls: type[Result], answer: BufferedResponse) -> Result:
        self._raise_for_status(answer)
        try:
            return from_json(cls, answer.body)
        except ValueError as error:
            raise EngineLostError(f"{self._peer.address}: {error}") from None

    def _raise_for_status(self, answer: BufferedResponse) -> None:
        if answer.status != 200:
            raise self._to_error(answer)

    def _to_error(self, answer: BufferedResponse) -> PimentoquayError:
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
