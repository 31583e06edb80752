"""ASGI application of a stand-in engine, and the HTTP client for KV transfers from its peers."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response, StreamingResponse
from starlette.routing import Route

from pimentoquay.backends.base import (
    DecodeOrder,
    EngineLostError,
    EngineOrder,
    EngineRefusedError,
    ImportOrder,
    KvGoneError,
    PrefillOrder,
)
from pimentoquay.backends.engine_http import CacheEvents, CancelOrder, EngineFault, ResumeOrder
from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.kernel.http_peer import BufferedResponse, HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json, to_json
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import KvExport
from pimentoquay.standin.serve_common import data_response, fault_response, read_body

__all__ = ["EngineFaultOrder", "ExportOrder", "HttpKvSource", "engine_app"]

TRANSFER_TIMEOUT_SECONDS = 60.0
"""Timeout of a request to the sending engine of a KV transfer, in seconds."""


@dataclass(frozen=True)
class EmptyResponse:
    """Response body without fields."""


@dataclass(frozen=True)
class ExportOrder:
    """Body of a request for a step of a KV export; ``moved`` is used only by the last step."""

    request_id: str
    attempt: int
    moved: bool = False


@dataclass(frozen=True)
class EngineFaultOrder:
    """Body of a request for a fault: crash, restart, speed, refuse or stall_link."""

    fault: str
    factor: float = 1.0
    count: int = 0
    seconds: float = 0.0


class HttpKvSource:
    """Client of the sending engine of a KV transfer over HTTP; it implements ``KvSource``."""

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    async def export_begin(self, request_id: str, attempt: int) -> KvExport:
        """Keep the KV cache for the transfer and return its description."""
        answer = await self._send("/kv/begin", ExportOrder(request_id, attempt))
        return from_json(KvExport, answer.body)

    async def export_move(self, request_id: str, attempt: int) -> None:
        """Wait until the source's link has sent the KV cache."""
        await self._send("/kv/move", ExportOrder(request_id, attempt))

    async def export_end(self, request_id: str, attempt: int, moved: bool) -> None:
        """Free the KV cache if it was moved; otherwise keep it until it expires."""
        await self._send("/kv/end", ExportOrder(request_id, attempt, moved))

    async def _send(self, path: str, order: ExportOrder) -> BufferedResponse:
        try:
            answer = await self._peer.request(
                "POST", path, TRANSFER_TIMEOUT_SECONDS, to_json(order)
            )
        except HttpError as failure:
            raise EngineLostError(str(failure)) from None
        if answer.status != 200:
            fault = from_json(EngineFault, answer.body)
            if fault.code == ResultCode.CIRCUIT_OPEN:
                raise EngineRefusedError(fault.detail)
            if fault.code == ResultCode.KV_GONE:
                raise KvGoneError(fault.detail)
            raise EngineLostError(fault.detail)
        return answer


def engine_app(engine: StandinEngine) -> Starlette:
    """Return the ASGI application of a stand-in engine."""
    routes = _Routes(engine)
    posts = {
        "/v1/prefill": routes.prefill,
        "/v1/import": routes.import_kv,
        "/v1/decode": routes.decode,
        "/v1/resume": routes.resume,
        "/v1/cancel": routes.cancel,
        "/order": routes.order,
        "/kv/begin": routes.export_begin,
        "/kv/move": routes.export_move,
        "/kv/end": routes.export_end,
        "/fault": routes.fault,
    }
    gets = {
        "/status": routes.status,
        "/cache-events": routes.cache_events,
        "/observed": routes.observed,
    }
    return Starlette(
        routes=[
            Route(path, _with_error_responses(call), methods=["POST"])
            for path, call in posts.items()
        ]
        + [Route(path, _with_error_responses(call), methods=["GET"]) for path, call in gets.items()]
    )


def _with_error_responses(
    call: Callable[[Request], Awaitable[Response]],
) -> Callable[[Request], Awaitable[Response]]:
    async def endpoint(request: Request) -> Response:
        try:
            return await call(request)
        except (PimentoquayError, ValueError) as error:
            return fault_response(error)

    return endpoint


class _Routes:
    def __init__(self, engine: StandinEngine) -> None:
        self._engine = engine

    async def prefill(self, request: Request) -> Response:
        order = await read_body(PrefillOrder, request)
        return data_response(await self._engine.prefill(order))

    async def import_kv(self, request: Request) -> Response:
        await self._engine.import_kv(await read_body(ImportOrder, request))
        return data_response(EmptyResponse())

    async def decode(self, request: Request) -> Response:
        order = await read_body(DecodeOrder, request)
        return await _stream_response(self._engine.decode(order))

    async def resume(self, request: Request) -> Response:
        order = await read_body(ResumeOrder, request)
        frames = self._engine.resume(order.request_id, order.attempt, order.offset)
        return await _stream_response(frames)

    async def cancel(self, request: Request) -> Response:
        order = await read_body(CancelOrder, request)
        await self._engine.cancel(order.request_id, order.attempt)
        return data_response(EmptyResponse())

    async def order(self, request: Request) -> Response:
        await self._engine.order(await read_body(EngineOrder, request))
        return data_response(EmptyResponse())

    async def status(self, request: Request) -> Response:
        return data_response(await self._engine.status())

    async def cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", "0"))
        return data_response(CacheEvents(await self._engine.cache_events(after)))

    async def observed(self, request: Request) -> Response:
        return data_response(self._engine.observed())

    async def export_begin(self, request: Request) -> Response:
        order = await read_body(ExportOrder, request)
        return data_response(await self._engine.export_begin(order.request_id, order.attempt))

    async def export_move(self, request: Request) -> Response:
        order = await read_body(ExportOrder, request)
        await self._engine.export_move(order.request_id, order.attempt)
        return data_response(EmptyResponse())

    async def export_end(self, request: Request) -> Response:
        order = await read_body(ExportOrder, request)
        await self._engine.export_end(order.request_id, order.attempt, order.moved)
        return data_response(EmptyResponse())

    async def fault(self, request: Request) -> Response:
        order = await read_body(EngineFaultOrder, request)
        call_by_fault: dict[str, Callable[[], None]] = {
            "crash": self._engine.crash,
            "restart": self._engine.restart,
            "speed": lambda: self._engine.set_speed(order.factor),
            "refuse": lambda: self._engine.refuse(order.count, order.seconds),
            "stall_link": lambda: self._engine.stall_link(order.seconds),
        }
        if order.fault not in call_by_fault:
            raise ValueError(f"fault {order.fault!r}: one of {', '.join(call_by_fault)}")
        call_by_fault[order.fault]()
        return data_response(EmptyResponse())


async def _stream_response(frames: AsyncGenerator[bytes, None]) -> Response:
    """Wait for the first frame, so that a refusal becomes an error response, then stream."""
    first = await anext(frames)

    async def body() -> AsyncGenerator[bytes, None]:
        async with aclosing(frames):
            yield first
            async for frame in frames:
                yield frame

    return StreamingResponse(body(), media_type="text/event-stream")
