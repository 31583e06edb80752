"""Callers' requests: from their head to the forwarder of their route."""

import asyncio

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.job import Job, answer_error, note_ended
from pimentoquay.gateway.plain import PlainForwarder
from pimentoquay.gateway.streams import StreamForwarder
from pimentoquay.http1 import HeaderList, HttpRequest, Reply
from pimentoquay.kernel import PimentoquayError, ResultCode, info_of
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import CallerRequest, read_request, retry_after_header
from pimentoquay.policy.fleet import RepeatRule, Route
from pimentoquay.policy.route_choice import choose_service

__all__ = ["Front"]

NOT_READY_SECONDS = 0.5
"""When a caller is told to return to a gateway that knows no configuration yet."""


class Front:
    """Takes whole requests and has them answered.

    Parameters
    ----------
    sharing
        Configuration and allowances.
    plain, streams
        The forwarders of calls and of streams.
    """

    def __init__(self, sharing: Sharing, plain: PlainForwarder, streams: StreamForwarder) -> None:
        self._sharing = sharing
        self._plain = plain
        self._streams = streams
        self.is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether new callers may be sent here."""
        return self._sharing.fleet.is_known and not self.is_draining

    async def handle(self, request: HttpRequest, reply: Reply) -> None:
        """Answer one request."""
        caller = read_request(request.headers)
        fleet = self._sharing.fleet
        if not fleet.is_known or fleet.table is None:
            self._refuse(caller, reply, ResultCode.NOT_READY)
            return
        route = fleet.table.find(caller.host, request.target.decode("latin-1"))
        if route is None:
            self._refuse(caller, reply, ResultCode.NOT_FOUND)
            return
        service = choose_service(route.shares, caller.id)
        job = Job(request, caller, route, service, reply, self._sharing.metrics)
        self._sharing.repeats.count_request(job.service)
        try:
            await self._forward(job)
        except PimentoquayError as error:
            answer_error(job, error)
        except asyncio.CancelledError:
            note_ended(job, ResultCode.CANCELLED, "the caller left")
            raise

    async def _forward(self, job: Job) -> None:
        if self._is_for_model(job.route, job):
            await self._streams.forward(job)
        else:
            await self._plain.forward(job)

    def _is_for_model(self, route: Route, job: Job) -> bool:
        configuration = self._sharing.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        has_memory = service is not None and service.memory is not None
        return has_memory and route.repeat is RepeatRule.STREAM and job.caller.model is not None

    def _refuse(self, caller: CallerRequest, reply: Reply, code: ResultCode) -> None:
        headers: HeaderList = ()
        if code is ResultCode.NOT_READY:
            headers = (retry_after_header(NOT_READY_SECONDS),)
        reply.send(info_of(code).http_status, headers, b"")
        self._sharing.metrics.count(code, 0.0)
        logger.bind(request=caller.id, host=caller.host, code=int(code)).info("request ended")
