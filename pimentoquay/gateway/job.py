"""One request at the gateway, and the ways in which it can end."""

import asyncio
from dataclasses import dataclass

from pimentoquay.gateway.metrics import GatewayMetrics
from pimentoquay.http1 import HeaderList, HttpRequest, Reply, end_to_end_headers
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, info_of
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import CallerRequest, retry_after_header
from pimentoquay.policy.fleet import Route

__all__ = ["Job", "answer_error", "answer_whole", "note_ended"]

ANSWER_SECONDS = 0.02
"""Kept from a request's time for the way back to its caller."""


@dataclass(frozen=True)
class Job:
    """A request with its route; times are the loop's, in seconds."""

    request: HttpRequest
    caller: CallerRequest
    route: Route
    service: str
    reply: Reply
    metrics: GatewayMetrics

    @property
    def arrived_at(self) -> float:
        """When its first byte arrived."""
        return self.request.received_at

    @property
    def ends_at(self) -> float:
        """When its caller or its route stops waiting."""
        waits = self.route.timeout_seconds
        if self.caller.wait_seconds is not None:
            waits = min(waits, self.caller.wait_seconds)
        return self.arrived_at + waits

    def seconds_left(self) -> float:
        """Return how long an engine may still work on it."""
        return self.ends_at - asyncio.get_running_loop().time() - ANSWER_SECONDS

    def age(self) -> float:
        """Return the seconds since it arrived."""
        return asyncio.get_running_loop().time() - self.arrived_at


def answer_whole(job: Job, status: int, headers: HeaderList, body: bytes) -> None:
    """Pass on an engine's whole answer unchanged."""
    job.reply.send(status, end_to_end_headers(headers), body)
    note_ended(job, ResultCode.OK if status < 400 else ResultCode.ENGINE_FAILED, f"status {status}")


def answer_error(job: Job, error: PimentoquayError) -> None:
    """Tell the caller that there is no answer, and whether the request may have run."""
    headers: HeaderList = ()
    if isinstance(error, RefusedError) and error.retry_after > 0:
        headers = (retry_after_header(error.retry_after),)
    if job.reply.started:
        job.reply.abort()
    else:
        job.reply.send(info_of(error.code).http_status, headers, b"")
    note_ended(job, error.code, error.detail)


def note_ended(job: Job, code: ResultCode, detail: str, **facts: object) -> None:
    """Count a request's end and write the line that tells of it."""
    job.metrics.count(code, job.age())
    logger.bind(
        request=job.caller.id,
        route=job.route.name,
        code=int(code),
        detail=detail,
        seconds=f"{job.age():.3f}",
        **facts,
    ).info("request ended")
