"""Choose the route and service of each request and pass it to the right forwarder."""

import asyncio
from dataclasses import dataclass

from pimentoquay.gateway.allowance_client import Allowances, AllowanceTicket
from pimentoquay.gateway.job import Job, record_cut, record_end, send_error
from pimentoquay.gateway.plain import PlainForwarder
from pimentoquay.gateway.plain_streams import PlainStreamForwarder
from pimentoquay.gateway.planned_stop import PlannedStop
from pimentoquay.gateway.request_access import RequestAccess
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.streams import StreamForwarder
from pimentoquay.http1 import HeaderList, HeadRefusal, HttpRequest, Reply, retry_after_header
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, info_of
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import CallerRequest, parse_request
from pimentoquay.policy.fleet import Route
from pimentoquay.policy.forwarding import Forwarding, forwarding_of
from pimentoquay.policy.planned_stop import StopTimes
from pimentoquay.policy.route_choice import RouteTable, choose_service

__all__ = ["Dispatcher"]

NOT_READY_RETRY_SECONDS = 0.5
"""Retry-After value sent while the gateway has no configuration."""


@dataclass(frozen=True)
class _Decision:
    """What the head of a request leads to: a route, or the code of a refusal and its reason.

    ``table`` holds the configuration by which it was decided.
    """

    caller: CallerRequest
    table: RouteTable | None = None
    route: Route | None = None
    access: RequestAccess | None = None
    code: ResultCode | None = None
    reason: str = ""


class Dispatcher:
    """Dispatches requests to the forwarder for plain calls, plain streams or model streams.

    Parameters
    ----------
    shared
        Configuration, retry budgets and metrics.
    plain, plain_streams, streams
        Forwarders of plain calls, of plain streams and of model streams.
    stop
        The planned stop of this gateway.
    allowances
        Allowances of workspaces, from which each request takes its units.
    """

    def __init__(
        self,
        shared: SharedState,
        plain: PlainForwarder,
        plain_streams: PlainStreamForwarder,
        streams: StreamForwarder,
        stop: PlannedStop,
        allowances: Allowances,
    ) -> None:
        self._shared = shared
        self._plain = plain
        self._plain_streams = plain_streams
        self._streams = streams
        self._stop = stop
        self._allowances = allowances
        self.is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether the platform may send new requests to this gateway."""
        return self._shared.fleet.is_loaded and not self.is_draining

    def drain(self, times: StopTimes) -> None:
        """Be not ready, and let all requests end before the gateway stops."""
        self.is_draining = True
        self._stop.begin(times)

    def refuse_head(self, request: HttpRequest) -> HeadRefusal | None:
        """Return the refusal of a request by its head, or None; the body may be missing.

        It depends on nothing but the head and the configuration in force. The refusal is counted
        and logged, so the caller of this method has to send it.
        """
        decision = self._decide(request)
        return None if decision.code is None else HeadRefusal(*self._record_refusal(decision))

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Handle one request and send its response."""
        decision = self._decide(request)
        caller, route, access = decision.caller, decision.route, decision.access
        if caller.timeout_seconds is not None:
            reply.expires_at = request.received_at + caller.timeout_seconds
        if route is None or access is None:
            reply.send(*self._record_refusal(decision), b"")
            return
        service = choose_service(route.shares, caller.id)
        job = Job(
            request,
            caller,
            route,
            service,
            reply,
            self._shared.metrics,
            self._stop,
            workspace=access.current().workspace,
            access=access,
        )
        self._shared.retry_budgets.count_request(job.service)
        try:
            await self._forward(job)
        except PimentoquayError as error:
            send_error(job, error)
        except asyncio.CancelledError:
            has_left = reply.is_connection_lost
            detail = "the caller left" if has_left else "the gateway ended"
            record_cut(job, "caller_left" if has_left else "gateway_ended", detail)
            record_end(job, ResultCode.CANCELLED, detail)
            raise
        except Exception as error:
            if reply.started:
                record_cut(job, "handler_failed", repr(error))
            record_end(job, ResultCode.INTERNAL, "the handler failed")
            raise

    async def _forward(self, job: Job) -> None:
        job.refuse_if_late(is_new=True)
        self._shared.guard.check(job)
        ticket = await self._allowances.take(job)
        try:
            await self._run(job)
        except BaseException as error:
            _give_back_unused(job, ticket, error)
            raise

    async def _run(self, job: Job) -> None:
        configuration = self._shared.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        match forwarding_of(job.route, service, job.caller.model is not None):
            case Forwarding.CALL:
                await self._plain.forward(job)
            case Forwarding.PLAIN_STREAM:
                await self._plain_streams.forward(job)
            case Forwarding.MODEL_STREAM:
                await self._streams.forward(job)

    def _decide(self, request: HttpRequest) -> _Decision:
        """Decide by the configuration in force; what was decided by it before is reused."""
        known, table = request.note.value, self._shared.fleet.route_table
        if not isinstance(known, _Decision):
            known = _Decision(parse_request(request.headers))
        elif known.table is not None and known.table is table:
            return known
        decision = self._decide_anew(request, known.caller, table)
        request.note.value = decision
        return decision

    def _decide_anew(
        self, request: HttpRequest, caller: CallerRequest, table: RouteTable | None
    ) -> _Decision:
        fleet = self._shared.fleet
        if not fleet.is_loaded or table is None:
            return _Decision(caller, code=ResultCode.NOT_READY)
        route = table.find(caller.host, request.target.decode("latin-1"))
        if route is None:
            return _Decision(caller, table, code=ResultCode.NOT_FOUND)
        access = RequestAccess(fleet, caller, request.target, route, table)
        refusal = access.current().refusal
        if refusal is not None:
            return _Decision(caller, table, code=ResultCode.UNAUTHENTICATED, reason=refusal.value)
        return _Decision(caller, table, route, access)

    def _record_refusal(self, decision: _Decision) -> tuple[int, HeaderList]:
        code = decision.code or ResultCode.INTERNAL
        headers: HeaderList = ()
        if code is ResultCode.NOT_READY:
            headers = (retry_after_header(NOT_READY_RETRY_SECONDS),)
        self._shared.metrics.record_request_end(code, 0.0)
        fields = {}
        if decision.reason:
            self._shared.metrics.unauthenticated_by_reason[decision.reason] += 1
            fields = {"detail": decision.reason}
        logger.bind(
            request=decision.caller.id, host=decision.caller.host, code=int(code), **fields
        ).info("request ended")
        return info_of(code).http_status, headers


def _give_back_unused(job: Job, ticket: AllowanceTicket, error: BaseException) -> None:
    """Return the units of a request that ran at no engine.

    A refusal says so, also after engines have rejected the request or read its prompt. A request
    that ended otherwise may have run if it was sent to an engine.
    """
    if isinstance(error, RefusedError) or not job.sent_to:
        ticket.give_back()
