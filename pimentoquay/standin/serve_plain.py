"""ASGI application of a stand-in plain service.

All paths except ``/observed`` and ``/fault`` are calls of the service.
"""

from collections.abc import Callable
from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pimentoquay.backends.base import PlainCall, PlainLostError
from pimentoquay.backends.plain_http import NOT_RUN_HEADER, REQUEST_ID_HEADER
from pimentoquay.standin.plain_service import StandinPlain
from pimentoquay.standin.serve_common import AbortedResponse, data_response, read_body

__all__ = ["PlainFaultOrder", "plain_app"]

_CALL_TIMEOUT_SECONDS = 600.0
_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]


@dataclass(frozen=True)
class PlainFaultOrder:
    """Body of a request for a fault.

    ``fault`` is refuse_next, crash_before_next, crash_after_next, slow, crash or restart.
    """

    fault: str
    count: int = 0
    seconds: float = 0.0


def plain_app(service: StandinPlain) -> Starlette:
    """Return the ASGI application of a stand-in plain service."""

    async def call(request: Request) -> Response:
        order = PlainCall(
            request.headers.get(REQUEST_ID_HEADER, ""),
            request.method,
            request.url.path,
            await request.body(),
            request.headers.get("content-type", ""),
        )
        try:
            answer = await service.call(order, _CALL_TIMEOUT_SECONDS)
        except PlainLostError:
            return AbortedResponse()
        headers = {NOT_RUN_HEADER: "1"} if answer.not_run else {}
        return Response(answer.body, answer.status, headers, answer.content_type)

    async def observed(request: Request) -> Response:
        return data_response(service.observed())

    async def fault(request: Request) -> Response:
        order = await read_body(PlainFaultOrder, request)
        call_by_fault: dict[str, Callable[[], None]] = {
            "refuse_next": lambda: service.refuse_next(order.count),
            "crash_before_next": lambda: service.crash_before_next(order.count),
            "crash_after_next": lambda: service.crash_after_next(order.count),
            "slow": lambda: service.slow(order.seconds),
            "crash": service.crash,
            "restart": service.restart,
        }
        if order.fault not in call_by_fault:
            return Response(f"unknown fault {order.fault!r}", 400)
        call_by_fault[order.fault]()
        return Response(b"{}")

    return Starlette(
        routes=[
            Route("/observed", observed, methods=["GET"]),
            Route("/fault", fault, methods=["POST"]),
            Route("/{path:path}", call, methods=_METHODS),
        ]
    )
