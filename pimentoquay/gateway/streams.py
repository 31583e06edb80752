"""Forward streams: reserve decode memory, prefill at one engine, then decode at another.

If a stream breaks and its route allows it, another engine resumes it after the last event that the
caller has received, within the same response. Only complete events are forwarded, so a caller
never receives part of one. A run is one execution of a request at a decode engine.
"""

import asyncio

from pimentoquay.gateway.engine_start import version_at
from pimentoquay.gateway.event_reader import EventReader
from pimentoquay.gateway.job import MAX_CRASHES_PER_REQUEST, Job, record_end, send_response
from pimentoquay.gateway.prefills import Prefill, PrefillRunner
from pimentoquay.gateway.reservations import Reservation, Reservations
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import (
    ErrorResponse,
    RunEndedError,
    StreamProgress,
    output_tokens,
)
from pimentoquay.http1 import Exchange, ExchangeWatch, ServerState, end_to_end_headers
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError, UnsendableError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.requests import SendOptions
from pimentoquay.platform.responses import parse_response
from pimentoquay.policy.fleet import ModelRequest, TokenMemory
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.output_estimate import OutputLengthEstimator
from pimentoquay.policy.stream_admission import StreamTimes, first_request_at, stream_times
from pimentoquay.policy.stream_end import is_end_confirmed
from pimentoquay.policy.stream_queue import WaitingStream

__all__ = ["StreamForwarder"]

MAX_SENDS = 4
"""Maximum sends of one request to decode engines, including rejected ones."""

RERUN_SENDS = 2
"""Sends that another run takes from the retry budget: one to a prefill engine and one to a decode
engine."""

SILENCE_TIMEOUT_SECONDS = 1.5
"""Time without data after which a resumable stream is moved to another engine; five times the
longest acceptable pause between events, and well below the time after which callers leave."""

CUT_SILENCE_SECONDS = 0.7
"""Time without data after which a resumable stream is moved if the path to its engine is cut."""

MAX_ERROR_BYTES = 64 * 1024
"""Maximum size of the body of an engine's error response to a stream, in bytes."""

MIN_RETRY_SECONDS = 0.3
"""Minimum remaining time for sending a request again."""

RESERVED_STANDARD_DEVIATIONS = 0.3
"""Standard deviations above the expected output length for which memory is reserved. Four outputs
in ten become longer than that."""

RETRY_AFTER_SECONDS = 0.3
"""Retry-After value if engines rejected a request or it did not run in time."""


class StreamForwarder:
    """Forwards model streams to prefill and decode engines.

    Parameters
    ----------
    shared
        Engines, links and retry budgets.
    reservations
        Reserves memory at decode engines.
    prefill_runner
        Runs prefills at prefill engines.
    """

    def __init__(
        self, shared: SharedState, reservations: Reservations, prefill_runner: PrefillRunner
    ) -> None:
        self._shared = shared
        self._reservations = reservations
        self._prefill_runner = prefill_runner
        self._estimate_by_service: dict[str, OutputLengthEstimator] = {}
        self._longest_wait_by_route: dict[str, float] = {}

    async def forward(self, job: Job) -> None:
        """Send a job's response; raise ``PimentoquayError`` if there is none."""
        progress = StreamProgress(last_event=job.caller.last_event)
        if progress.last_event is not None:
            progress.software = await self._shared.origins.software_of(job)
        try:
            async with job.stop.time_limit(job.seconds_left()):
                await self._forward(job, progress)
        except TimeoutError:
            if progress.runs == 0 and not job.reply.started:
                code = ResultCode.DEADLINE_UNREACHABLE
                raise RefusedError(code, "not run in time", RETRY_AFTER_SECONDS) from None
            raise PimentoquayError(ResultCode.DEADLINE_MISSED, "deadline passed") from None
        except RefusedError as error:
            # Another run was refused, but the one before may have reached an engine.
            if progress.runs == 0 and not job.reply.started:
                raise
            self._give_up(job, progress, error.detail)

    async def _forward(self, job: Job, progress: StreamProgress) -> None:
        while True:
            try:
                await self._run(job, progress)
                return
            except RunEndedError as error:
                self._record_ended_run(job, progress, error)
                if not self._may_run_again(job, progress):
                    self._give_up(job, progress, str(error))
                    return

    def _record_ended_run(self, job: Job, progress: StreamProgress, error: RunEndedError) -> None:
        progress.arrivals += error.has_arrived
        progress.crashes += error.engine_state is ServerState.REFUSING
        if not error.has_run:
            progress.runs -= 1
        logger.bind(
            request=job.caller.id,
            engine=progress.engine,
            has_run=error.has_run,
            last_event=progress.last_event,
            sends=progress.sends,
            parts=",".join(job.caller.model.shared_parts) if job.caller.model else "",
            digest=job.digest,
            engine_state=error.engine_state.value if error.engine_state is not None else "",
            detail=str(error),
        ).info("run ended early")

    def _may_run_again(self, job: Job, progress: StreamProgress) -> bool:
        if progress.sends >= MAX_SENDS or job.seconds_left() < MIN_RETRY_SECONDS:
            return False
        if progress.crashes >= MAX_CRASHES_PER_REQUEST:
            return False
        if self._shared.guard.quarantine_of(job) is not None:
            return False
        has_run_left = job.route.is_resumable and progress.runs < job.route.max_engines
        if progress.runs and not (has_run_left and progress.can_go_on):
            return False
        return progress.arrivals == 0 or self._shared.retry_budgets.try_spend(
            job.service, RERUN_SENDS
        )

    def _give_up(self, job: Job, progress: StreamProgress, detail: str) -> None:
        error_response = progress.error_response
        if job.reply.started:
            raise PimentoquayError(ResultCode.STREAM_BROKEN, detail)
        if error_response is not None:
            send_response(job, error_response.status, error_response.headers, error_response.body)
        elif progress.runs == 0:
            job.check_access()
            raise RefusedError(ResultCode.NO_BACKEND, detail, RETRY_AFTER_SECONDS)
        else:
            raise PimentoquayError(ResultCode.ENGINE_FAILED, detail)

    async def _run(self, job: Job, progress: StreamProgress) -> None:
        job.check_access()
        memory = self._token_memory(job)
        model = job.caller.model
        assert model is not None and memory is not None
        need = self._memory_need(job.service, model, memory, progress)
        times = self._stream_times(job)
        progress.software = self._shared.origins.version_now(progress.software)
        avoided = frozenset(progress.engines_without_events)
        waiter = WaitingStream(
            need, times, progress.software, avoided, job.priority, job.workspace_name
        )
        reservation = await self._reservations.reserve(job, memory, waiter)
        job.metrics.record_memory_wait(job.age())
        loop = asyncio.get_running_loop()
        reserved_at = loop.time()
        try:
            job.refuse_if_late()
            self._shared.guard.check(job)
            prefill = await self._prefill_runner.run(
                job, model, reservation, progress.last_event, progress.software
            )
            progress.engine = reservation.engine.id
            try:
                self._shared.guard.check(job)
                progress.sends += 1
                progress.runs += 1
                job.sent_to.append(progress.engine)
                progress.run_software = await version_at(
                    self._shared, job, reservation, progress.software
                )
                with self._shared.prompt_waste.watch(model.prompt_tokens):
                    await self._decode(job, progress, reservation, prefill)
            finally:
                self._prefill_runner.release_unused(prefill)
        finally:
            self._reservations.release(reservation)
        job.stop.record_run(job.route.name, loop.time() - reserved_at)
        if progress.last_event is not None:
            generated = output_tokens(progress, memory)
            estimate = self._estimate(job.service)
            estimate.record(model.expected_output, model.max_output_tokens, generated)
            self._shared.run_ledger.record_generation_rate(
                generated - need.begun, progress.streamed_seconds
            )

    def _stream_times(self, job: Job) -> StreamTimes:
        """Return when a stream becomes late and when its caller stops waiting for it.

        A caller that retries after a refusal states a shorter timeout than the longest one seen on
        its route; the difference is the time since it first sent the request.
        """
        route, timeout = job.route, job.caller.timeout_seconds
        longest = max(self._longest_wait_by_route.get(route.name, 0.0), timeout or 0.0)
        self._longest_wait_by_route[route.name] = longest
        first_sent_at = first_request_at(job.arrived_at, timeout, longest)
        is_going_on = job.reply.started
        return stream_times(
            asyncio.get_running_loop().time() if is_going_on else job.arrived_at,
            first_sent_at,
            is_going_on or job.caller.last_event is not None,
            route.target_seconds,
            route.gap_seconds,
            min(job.deadline, job.stop.ends_at),
        )

    def _estimate(self, service: str) -> OutputLengthEstimator:
        return self._estimate_by_service.setdefault(service, OutputLengthEstimator())

    def _memory_need(
        self, service: str, model: ModelRequest, memory: TokenMemory, progress: StreamProgress
    ) -> MemoryNeed:
        max_output = model.max_output_tokens
        expected = self._estimate(service).tokens(
            model.expected_output, max_output, RESERVED_STANDARD_DEVIATIONS
        )
        generated = output_tokens(progress, memory)
        return MemoryNeed(model.prompt_tokens, expected, max_output, generated)

    def _token_memory(self, job: Job) -> TokenMemory | None:
        configuration = self._shared.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        return service.memory if service is not None else None

    async def _decode(
        self, job: Job, progress: StreamProgress, reservation: Reservation, prefill: Prefill | None
    ) -> None:
        options = SendOptions(
            engine=reservation.engine.id,
            timeout_seconds=job.seconds_left(),
            kv_source=prefill.source if prefill is not None else "",
            hold=reservation.hold,
            after_event=progress.last_event,
            urgency=self._shared.urgency_of(job.priority, progress.last_event is not None),
        )
        silence_timeout = SILENCE_TIMEOUT_SECONDS if job.route.is_resumable else None
        reservation.is_hold_used = True
        try:
            async with reservation.link.send(
                job.request.method,
                job.request.target,
                job.caller,
                job.request.body,
                options,
                access=job.check_send,
                head_seconds=silence_timeout,
                has_permit=True,
                watch=ExchangeWatch(
                    job.route.gap_seconds,
                    CUT_SILENCE_SECONDS if job.route.is_resumable else None,
                ),
            ) as exchange:
                if exchange.status != 200:
                    await self._handle_failure(progress, exchange, reservation, prefill)
                await self._relay_events(
                    job, progress, exchange, reservation, prefill, silence_timeout
                )
        except UnsendableError as error:
            progress.runs -= 1
            reservation.is_hold_used = False
            raise job.refusal_of(error) from None
        except HttpError as error:
            state = None
            if error.connection_lost:
                has_begun = progress.last_event is not None
                state = await self._shared.guard.handle_lost_run(job, reservation.link, has_begun)
            raise RunEndedError(str(error), error.written, error.written, state) from None
        except ValueError as error:
            raise RunEndedError(f"invalid event stream: {error}", True) from None

    async def _handle_failure(
        self,
        progress: StreamProgress,
        exchange: Exchange,
        reservation: Reservation,
        prefill: Prefill | None,
    ) -> None:
        body = await exchange.read_body(MAX_ERROR_BYTES, SILENCE_TIMEOUT_SECONDS)
        response_info = parse_response(exchange.status, exchange.headers)
        if response_info.is_misdirected:
            self._shared.mark_misdirected(reservation.engine)
        if response_info.has_not_run:
            raise RunEndedError(f"rejected without being run: status {exchange.status}", False)
        if prefill is not None:
            prefill.is_fetched = True
        if response_info.is_signed and not response_info.is_encoded and exchange.status >= 300:
            progress.error_response = ErrorResponse(exchange.status, exchange.headers, body)
        raise RunEndedError(f"failed: status {exchange.status}", True)

    async def _relay_events(
        self,
        job: Job,
        progress: StreamProgress,
        exchange: Exchange,
        reservation: Reservation,
        prefill: Prefill | None,
        silence_timeout: float | None,
    ) -> None:
        response_info = parse_response(exchange.status, exchange.headers)
        if not response_info.is_success:
            raise RunEndedError("response was not sent by the engine itself", True)
        if prefill is not None:
            prefill.is_fetched = True
        reader = EventReader(exchange, progress.last_event, silence_timeout, job.route.is_resumable)
        reply, memory = job.reply, self._token_memory(job)
        record_pause = self._shared.record_pause
        loop = asyncio.get_running_loop()
        first_at = last_at = drained = 0.0
        while events := await reader.next_events():
            now = loop.time()
            if not first_at:
                self._record_begun(job, progress)
            first_at, pause, last_at = first_at or now, now - (last_at or now), now
            progress.streamed_seconds = now - first_at
            # A slow caller does not make an engine slow.
            record_pause(reservation.engine, max(0.0, pause - drained), job.route.gap_seconds)
            if pause > job.route.gap_seconds:
                self._log_pause(job, reservation, pause)
            if not reply.started:
                reply.start(exchange.status, end_to_end_headers(exchange.headers))
                job.metrics.record_first_event(job.age())
            reply.write(b"".join(event.data for event in events))
            progress.record_sent(events)
            if memory is not None:
                self._reservations.update_progress(reservation, output_tokens(progress, memory))
            await reply.drain()
            drained = loop.time() - now
        if not reader.has_read_events:
            self._check_end(job, progress, memory)
        if not reply.started:
            reply.start(exchange.status, end_to_end_headers(exchange.headers))
        reply.end()
        self._shared.guard.record_answered(job)
        _record_success(job, progress, reservation.engine.id)

    def _check_end(self, job: Job, progress: StreamProgress, memory: TokenMemory | None) -> None:
        """Raise ``RunEndedError`` unless a run without events shows that the stream has ended."""
        progress.engines_without_events.add(progress.engine)
        tokens = output_tokens(progress, memory) if memory is not None else 0
        max_tokens = job.caller.model.max_output_tokens if job.caller.model is not None else 0
        if not is_end_confirmed(tokens, max_tokens, progress.engines_without_events):
            raise RunEndedError("the run ended without an event", True)

    def _record_begun(self, job: Job, progress: StreamProgress) -> None:
        self._shared.guard.record_begun(job)
        self._shared.origins.record_begun(job, progress.run_software)
        began_at, progress.software = progress.software, progress.run_software
        if progress.runs > 1 or job.caller.last_event is not None:
            logger.bind(
                request=job.caller.id,
                resumes=job.caller.resumes,
                engine=progress.engine,
                software=progress.software,
                began_at=began_at,
            ).info("stream resumed")

    def _log_pause(self, job: Job, reservation: Reservation, pause: float) -> None:
        engine = reservation.engine.id
        now = asyncio.get_running_loop().time()
        logger.bind(
            request=job.caller.id,
            engine=engine,
            pause=f"{pause:.3f}",
            used=self._shared.run_ledger.held(engine, now),
            runs=len(self._shared.run_ledger.runs_at(engine, now)),
        ).info("stream paused")


def _record_success(job: Job, progress: StreamProgress, engine: str) -> None:
    model = job.caller.model
    record_end(
        job,
        ResultCode.OK,
        "whole stream",
        engine=engine,
        prompt_tokens=model.prompt_tokens if model else None,
        expected_output=model.expected_output if model else None,
        last_event=progress.last_event,
        runs=progress.runs,
    )
