"""ASGI applications of the stand-ins for the log, the membership list and the weight store."""

from dataclasses import dataclass

from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.middleware.gzip import GZipMiddleware
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pimentoquay.kernel.json_data import to_json
from pimentoquay.messages.cluster import Member
from pimentoquay.services.base import LogOutcomeUnknownError, LogUnavailableError
from pimentoquay.services.log_http import Appended
from pimentoquay.services.weight_store_http import WeightSize
from pimentoquay.standin.log import StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.serve_common import AbortedResponse, data_response, read_body
from pimentoquay.standin.weight_store import StandinWeights

__all__ = ["LogFaultOrder", "MembershipChange", "log_app", "membership_app", "weights_app"]


@dataclass(frozen=True)
class LogFaultOrder:
    """Body of a request for a fault of the log: outage, slow or lose_next_answers."""

    fault: str
    seconds: float = 0.0
    delay: float = 0.0
    count: int = 0


@dataclass(frozen=True)
class MembershipChange:
    """Body of a request for a change of the list.

    ``change`` is put (with members), leave or remove (with a name) or outage (with seconds).
    """

    change: str
    name: str = ""
    seconds: float = 0.0
    members: tuple[Member, ...] = ()


def log_app(log: StandinLog) -> Starlette:
    """Return the ASGI application of the log."""

    async def append(request: Request) -> Response:
        try:
            offset = await log.append(request.query_params["stream"], await request.body())
        except LogUnavailableError as error:
            return Response(str(error), 503)
        except LogOutcomeUnknownError:
            return AbortedResponse()
        return data_response(Appended(offset))

    async def read(request: Request) -> Response:
        query = request.query_params
        try:
            page = await log.read(query["stream"], int(query["from"]), float(query["wait"]))
        except LogUnavailableError as error:
            return Response(str(error), 503)
        return data_response(page)

    async def fault(request: Request) -> Response:
        order = await read_body(LogFaultOrder, request)
        if order.fault == "outage":
            log.outage(order.seconds)
        elif order.fault == "slow":
            log.slow(order.delay, order.seconds)
        elif order.fault == "lose_next_answers":
            log.lose_next_answers(order.count)
        else:
            return Response(f"unknown fault {order.fault!r}", 400)
        return Response(b"{}")

    return Starlette(
        routes=[
            Route("/append", append, methods=["POST"]),
            Route("/read", read, methods=["GET"]),
            Route("/fault", fault, methods=["POST"]),
        ]
    )


def membership_app(listing: StandinMembership) -> Starlette:
    """Return the ASGI application of the membership list."""

    async def members(request: Request) -> Response:
        try:
            update = await listing.members()
        except ConnectionError as error:
            return Response(str(error), 503)
        tag = f'"{update.version}"'
        if request.headers.get("if-none-match") == tag:
            return Response(status_code=304, headers={"etag": tag})
        response = data_response(update)
        response.headers["etag"] = tag
        return response

    async def change(request: Request) -> Response:
        order = await read_body(MembershipChange, request)
        if order.change == "put":
            listing.put(*order.members)
        elif order.change == "leave":
            listing.leave(order.name)
        elif order.change == "remove":
            listing.remove(order.name)
        elif order.change == "outage":
            listing.outage(order.seconds)
        else:
            return Response(f"unknown change {order.change!r}", 400)
        return Response(b"{}")

    return Starlette(
        routes=[
            Route("/members", members, methods=["GET"]),
            Route("/fault", change, methods=["POST"]),
        ],
        middleware=[Middleware(GZipMiddleware)],
    )


def weights_app(weights: StandinWeights) -> Starlette:
    """Return the ASGI application of the weight store."""

    async def size(request: Request) -> Response:
        query = request.query_params
        found = await weights.size_of(query["model"], query["version"])
        return Response(to_json(WeightSize(found)))

    async def fetch(request: Request) -> Response:
        query = request.query_params
        await weights.fetch(query["model"], query["version"])
        return Response(b"{}")

    return Starlette(
        routes=[Route("/size", size, methods=["GET"]), Route("/fetch", fetch, methods=["GET"])]
    )
