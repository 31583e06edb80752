"""Forward calls to plain services, which are backend servers that run no model.

A call that is not idempotent is sent again only if the previous server provably did not run it:
no byte was written, or the server said so. An idempotent call is also sent to another server after
a failure, within the limit of its route and the retry budget.
"""

import asyncio
from dataclasses import dataclass, field

from pimentoquay.gateway.job import (
    MAX_CRASHES_PER_REQUEST,
    Job,
    record_end,
    send_response,
)
from pimentoquay.gateway.server_choice import (
    UNREACHED_RETRY_AFTER_SECONDS,
    choose_server,
    max_idle_of,
    send_timeout,
    using_server,
)
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.http1 import (
    Exchange,
    ExchangeWatch,
    HeaderList,
    ServerState,
    end_to_end_headers,
)
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.errors import (
    HttpError,
    ResponseTooLargeError,
    UnsendableError,
    WithheldError,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import SendOptions
from pimentoquay.platform.responses import ResponseInfo, parse_response
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["PlainForwarder"]

MAX_SENDS = 4
"""Maximum sends of one request, including those that wrote nothing or were rejected."""

MAX_BUFFERED_BYTES = 32 * 1024
"""Size of a response body in bytes up to which it is read completely before it is forwarded, so
that the call can be repeated. A longer one is forwarded as it arrives."""

QUIET_SECONDS = 0.15
"""Silence after which it is found out whether a server is still reached; most calls take less."""

REPEATABLE_WATCH = ExchangeWatch(QUIET_SECONDS, abandon_seconds=0.0)
UNREPEATABLE_WATCH = ExchangeWatch(QUIET_SECONDS)


@dataclass(frozen=True)
class _Response:
    """Response of a server; ``is_forwarded`` if the caller has it already."""

    status: int
    headers: HeaderList
    body: bytes
    info: ResponseInfo
    is_forwarded: bool = False


@dataclass
class _Attempts:
    """Counts and results of the sends of one request.

    ``arrivals`` counts the sends that may have reached a server, ``runs`` those that it may have
    run, ``crashes`` those under which it crashed. ``response`` is the last valid response, which
    may be an error of the server.
    """

    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    crashes: int = 0
    engines: set[str] = field(default_factory=set)
    response: _Response | None = None


class PlainForwarder:
    """Forwards plain calls, each to one server at a time.

    Parameters
    ----------
    shared
        Engines, links and retry budgets of this gateway.
    """

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    async def forward(self, job: Job) -> None:
        """Send a job's response; raise ``PimentoquayError`` if there is none."""
        attempts = _Attempts()
        while attempts.sends < MAX_SENDS and job.seconds_left() > 0:
            engine = choose_server(self._shared, job.service, attempts.engines)
            if engine is None and not attempts.sends:
                self._shared.refuse_over_limit(job.service)
                # A place within the limits may have become free since the first choice.
                engine = choose_server(self._shared, job.service, attempts.engines)
            if engine is None or not self._may_send(job, attempts):
                break
            attempts.sends += 1
            attempts.engines.add(engine.id)
            job.sent_to.append(engine.id)
            response = await self._send(job, engine, attempts)
            if response is not None and response.is_forwarded:
                record_end(job, ResultCode.OK, f"status {response.status}")
                return
            if job.reply.started:
                raise PimentoquayError(ResultCode.STREAM_BROKEN, f"{engine.id} broke off")
            if response is not None and not self._should_try_another(job, attempts, response):
                send_response(job, response.status, response.headers, response.body)
                return
        self._give_up(job, attempts)

    def _may_send(self, job: Job, attempts: _Attempts) -> bool:
        """Return whether to send a call again; raise ``RefusedError`` if it may not even run."""
        if attempts.runs == 0:
            job.check_access()
        elif not job.is_granted:
            return False
        if attempts.crashes >= MAX_CRASHES_PER_REQUEST:
            return False
        if attempts.sends and self._shared.guard.quarantine_of(job) is not None:
            return False
        if attempts.runs and (
            not job.route.may_run_again or attempts.runs >= job.route.max_engines
        ):
            return False
        return attempts.arrivals == 0 or self._shared.retry_budgets.try_spend(job.service)

    def _should_try_another(self, job: Job, attempts: _Attempts, response: _Response) -> bool:
        """Store the response, and return whether the call should be sent to another engine."""
        attempts.response = response
        return response.status >= 500 and job.route.may_run_again

    async def _send(self, job: Job, engine: EngineEntry, attempts: _Attempts) -> _Response | None:
        written = asyncio.Event()
        with using_server(self._shared, engine) as use:
            try:
                async with job.stop.time_limit(send_timeout(job, attempts.runs)) as timeout:
                    response = await self._exchange(job, engine, timeout, written)
                attempts.arrivals += 1
                use.has_failed = response.status >= 500
                return self._accept_response(job, engine, attempts, response)
            except UnsendableError as error:
                use.has_failed = False
                raise job.refusal_of(error) from None
            except HttpError as error:
                use.has_failed = not isinstance(error, WithheldError)
                self._record_lost(job, engine, attempts, error.written, str(error))
                if error.connection_lost:
                    await self._handle_lost_run(job, engine, attempts)
            except TimeoutError:
                self._record_lost(job, engine, attempts, written.is_set(), "no answer in time")
            except asyncio.CancelledError:
                use.has_failed = False
                raise
        return None

    async def _handle_lost_run(self, job: Job, engine: EngineEntry, attempts: _Attempts) -> None:
        link = self._shared.links.link_to(engine)
        state = await self._shared.guard.handle_lost_run(job, link, job.reply.started)
        attempts.crashes += state is ServerState.REFUSING
        logger.bind(
            request=job.caller.id, engine=engine.id, digest=job.digest, engine_state=state.value
        ).info("run lost")

    async def _exchange(
        self, job: Job, engine: EngineEntry, timeout: asyncio.Timeout, written: asyncio.Event
    ) -> _Response:
        link = self._shared.links.link_to(engine)
        options = SendOptions(engine=engine.id, timeout_seconds=job.seconds_left())
        request = job.request
        async with link.send(
            request.method,
            request.target,
            job.caller,
            request.body,
            options,
            max_idle_seconds=max_idle_of(job.route),
            access=job.check_send,
            watch=REPEATABLE_WATCH if job.route.may_run_again else UNREPEATABLE_WATCH,
            on_sent=written.set,
        ) as exchange:
            response_info = parse_response(exchange.status, exchange.headers)
            parts: list[bytes] = []
            size = 0
            while (part := await exchange.read_chunk()) is not None:
                parts.append(part)
                size += len(part)
                if size > MAX_BUFFERED_BYTES:
                    if not response_info.is_success:
                        raise ResponseTooLargeError(f"body of status {exchange.status}", True)
                    timeout.reschedule(min(job.deadline, job.stop.ends_at))
                    return await self._forward_long(job, exchange, response_info, parts)
            body = b"".join(parts)
            return _Response(exchange.status, exchange.headers, body, response_info)

    async def _forward_long(
        self, job: Job, exchange: Exchange, response_info: ResponseInfo, parts: list[bytes]
    ) -> _Response:
        """Forward a long response as it arrives; the call can no longer be repeated."""
        reply = job.reply
        exchange.keep_if_path_is_lost()
        reply.start(exchange.status, end_to_end_headers(exchange.headers))
        part: bytes | None = b"".join(parts)
        while part is not None:
            reply.write(part)
            await reply.drain()
            part = await exchange.read_chunk()
        reply.end()
        return _Response(exchange.status, exchange.headers, b"", response_info, is_forwarded=True)

    def _accept_response(
        self, job: Job, engine: EngineEntry, attempts: _Attempts, response: _Response
    ) -> _Response | None:
        """Return the response if the engine ran the request and its response arrived unaltered."""
        if response.info.has_not_run:
            if response.info.is_misdirected:
                self._shared.mark_misdirected(engine)
            self._log(job, engine, f"not run: status {response.status}")
            return None
        attempts.runs += 1
        self._shared.guard.record_begun(job)
        is_invalid = response.info.is_encoded or not response.info.is_signed
        if is_invalid:
            self._log(job, engine, "the answer is not the engine's own")
            return None
        if response.status < 500:
            self._shared.guard.record_answered(job)
        return response

    def _record_lost(
        self, job: Job, engine: EngineEntry, attempts: _Attempts, written: bool, detail: str
    ) -> None:
        if written:
            attempts.arrivals += 1
            attempts.runs += 1
        self._log(job, engine, detail)

    def _give_up(self, job: Job, attempts: _Attempts) -> None:
        if attempts.response is not None:
            response = attempts.response
            send_response(job, response.status, response.headers, response.body)
        elif attempts.runs == 0:
            job.check_access()
            detail = f"{attempts.sends} engines tried"
            self._shared.refuse_over_limit(job.service)
            pause = self._shared.pause_seconds(job.service)
            raise RefusedError(
                ResultCode.NO_BACKEND, detail, pause or UNREACHED_RETRY_AFTER_SECONDS
            )
        elif job.seconds_left() <= 0:
            raise PimentoquayError(ResultCode.DEADLINE_MISSED, f"{attempts.runs} engines tried")
        else:
            raise PimentoquayError(ResultCode.OUTCOME_UNKNOWN, f"{attempts.runs} engines tried")

    def _log(self, job: Job, engine: EngineEntry, detail: str) -> None:
        logger.bind(request=job.caller.id, engine=engine.id, detail=detail).info("send failed")
