"""A caller's request in progress at the gateway, and functions that end it."""

import asyncio
import math
from dataclasses import dataclass, field
from functools import cached_property

from pimentoquay.gateway.metrics import GatewayMetrics
from pimentoquay.gateway.planned_stop import PlannedStop
from pimentoquay.gateway.request_access import RequestAccess
from pimentoquay.http1 import (
    HeaderList,
    HttpRequest,
    Reply,
    end_to_end_headers,
    is_sendable,
    retry_after_header,
)
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, info_of
from pimentoquay.kernel.errors import UnsendableError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import CallerRequest
from pimentoquay.policy.fleet import Route
from pimentoquay.policy.request_digest import request_digest
from pimentoquay.policy.workspaces import UNCHECKED, Access, Workspace

__all__ = [
    "MAX_CRASHES_PER_REQUEST",
    "Job",
    "record_cut",
    "record_end",
    "send_error",
    "send_response",
]

MAX_CRASHES_PER_REQUEST = 2
"""Engines that may crash under one request of a caller before it is not sent to another."""

RESPONSE_MARGIN_SECONDS = 0.02
"""Part of a request's timeout that is reserved for returning the response to the caller."""


@dataclass(frozen=True)
class Job:
    """A caller's request with its route and chosen service.

    ``sent_to`` holds the engines that the request itself was sent to, in order. ``workspace`` is
    that of the caller's key on arrival, or None if the configuration has no workspaces or the route
    is public. ``access`` decides again before each send.
    Times are in seconds on the clock of the event loop.
    """

    request: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    reply: Reply
    metrics: GatewayMetrics
    stop: PlannedStop
    sent_to: list[str] = field(default_factory=list)
    workspace: Workspace | None = None
    access: RequestAccess | None = None

    @property
    def arrived_at(self) -> float:
        """Time at which the first byte of the request arrived."""
        return self.request.received_at

    @property
    def priority(self) -> int:
        """Priority of the workspace if it has one, else of the route; 0 is the highest."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.rank

    @property
    def workspace_name(self) -> str:
        """Name of the workspace, or empty if there is none."""
        return self.workspace.name if self.workspace is not None else ""

    @cached_property
    def digest(self) -> str:
        """Digest of the request, which is the same each time that its caller sends it."""
        return request_digest(self.caller.host, self.request.target, self.request.body)

    @property
    def deadline(self) -> float:
        """Time at which the caller's or the route's timeout ends, whichever is first."""
        timeout = self.route.timeout_seconds
        if self.caller.timeout_seconds is not None:
            timeout = min(timeout, self.caller.timeout_seconds)
        return self.arrived_at + timeout

    def seconds_left(self) -> float:
        """Return the seconds that an engine may still spend on the request."""
        ends_at = min(self.deadline, self.stop.ends_at)
        return ends_at - asyncio.get_running_loop().time() - RESPONSE_MARGIN_SECONDS

    def refuse_if_late(self, is_new: bool = False) -> None:
        """Raise ``RefusedError`` if the gateway stops before the request would end."""
        self.stop.refuse_if_late(self.route.name, self.deadline, is_new)

    @property
    def is_granted(self) -> bool:
        """Whether the caller's key is accepted now, or none is needed."""
        return self.access is None or self.access.current().refusal is None

    def check_access(self) -> Access:
        """Return the present decision on the caller's key; raise ``RefusedError`` if it may not."""
        return self.access.check() if self.access is not None else UNCHECKED

    def check_send(self) -> Access:
        """Return the decision for a send; raise ``WithheldError`` if nothing may be written."""
        return self.access.check_send() if self.access is not None else UNCHECKED

    def refusal_of(self, error: UnsendableError) -> RefusedError:
        """Return the refusal of a request that cannot be written to any engine.

        It is the caller's error if the request cannot be sent as the caller wrote it, else ours.
        """
        request = self.request
        is_ours = is_sendable(request.method, request.target, end_to_end_headers(request.headers))
        code = ResultCode.INTERNAL if is_ours else ResultCode.BAD_REQUEST
        return RefusedError(code, str(error))

    def age(self) -> float:
        """Return the seconds since the request arrived."""
        return asyncio.get_running_loop().time() - self.arrived_at


def send_response(job: Job, status: int, headers: HeaderList, body: bytes) -> None:
    """Send an engine's complete response to the caller, without its hop-by-hop headers."""
    job.reply.send(status, end_to_end_headers(headers), body)
    record_end(job, ResultCode.OK if status < 400 else ResultCode.ENGINE_FAILED, f"status {status}")


def send_error(job: Job, error: PimentoquayError) -> None:
    """Send the caller the error status of a request that has no response.

    The status shows whether the request may have run. A response that has already been started is
    aborted instead.
    """
    headers: HeaderList = ()
    if isinstance(error, RefusedError) and error.retry_after > 0:
        headers = (retry_after_header(error.retry_after),)
    if job.reply.started:
        job.reply.abort()
        record_cut(job, error.code.name.lower(), error.detail)
    else:
        job.reply.send(info_of(error.code).http_status, headers, b"")
    record_end(job, error.code, error.detail)


def record_end(job: Job, code: ResultCode, detail: str, **fields: object) -> None:
    """Count a request that ended and write its log line, with ``fields`` added."""
    job.metrics.record_request_end(code, job.age())
    if job.workspace is not None:
        job.metrics.requests_by_workspace.count(job.workspace.name)
        fields["workspace"] = job.workspace.name
    if code is ResultCode.UNAUTHENTICATED:
        job.metrics.unauthenticated_by_reason[detail] += 1
    logger.bind(
        request=job.caller.id,
        route=job.route.name,
        code=int(code),
        detail=detail,
        seconds=f"{job.age():.3f}",
        **fields,
    ).info("request ended")


def record_cut(job: Job, reason: str, detail: str) -> None:
    """Count a request that an engine was sent and that ends without a complete answer.

    Its log line has a message of its own, so that the many lines of other requests that end in the
    same second do not displace it.
    """
    if not job.sent_to:
        return
    job.metrics.cut_by_reason[reason] += 1
    logger.bind(
        request=job.caller.id,
        route=job.route.name,
        engines=",".join(job.sent_to),
        reason=reason,
        detail=detail,
        has_begun=job.reply.started,
        is_draining=math.isfinite(job.stop.ends_at),
        seconds=f"{job.age():.3f}",
    ).info("answer cut")
