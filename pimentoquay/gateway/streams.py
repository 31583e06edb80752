"""Forwarding of streams: memory first, then the prompt at one engine, then tokens at another.

A stream that breaks goes on at another engine after the last event that its caller has, where its
route allows that, within the same answer. Only whole events are passed on, so a caller never sees
half of one.
"""

import asyncio
from dataclasses import dataclass

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.events import EventSplitter, StreamEvent
from pimentoquay.gateway.job import Job, answer_whole, note_ended
from pimentoquay.gateway.prefills import Prefill, Prefills
from pimentoquay.gateway.reservations import Reservation, Reservations
from pimentoquay.http1 import Exchange, HeaderList, end_to_end_headers
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.answers import read_answer
from pimentoquay.platform.requests import SendOptions
from pimentoquay.policy.fleet import ModelRequest, TokenMemory
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.output_estimate import OutputLengthEstimator
from pimentoquay.policy.stream_admission import StreamTimes, first_request_at, patience_seconds

__all__ = ["StreamForwarder"]

MAX_SENDS = 4
"""Sends of one request to decode engines, those that were turned away included."""

RUN_SENDS = 2
"""What another run is charged to the allowance for repeats: its prompt arrives at a prefill engine,
and its stream at a decode engine."""

SILENCE_SECONDS = 1.5
"""The silence after which a stream that may go on elsewhere is taken from its engine; five times
the longest pause that is on time, and well below the wait after which callers leave."""

LEAST_SECONDS = 0.3
"""With less time left than this a request is not sent again."""

RESERVED_SPREADS = 0.3
"""How far above the middle of the expected length memory is reserved, in spreads; four answers in
ten grow longer."""

RETURN_SECONDS = 0.3
"""When a caller is told to return if engines turned its request away."""


class _RunEndedError(Exception):
    """A run ended before its answer was whole; ``has_run`` is false on proof only."""

    def __init__(self, detail: str, has_run: bool, has_arrived: bool = True) -> None:
        super().__init__(detail)
        self.has_run = has_run
        self.has_arrived = has_arrived


@dataclass(frozen=True)
class _Failure:
    """An engine's own whole answer that is no success."""

    status: int
    headers: HeaderList
    body: bytes


@dataclass
class _Progress:
    """What has been done for one request, and what its caller has."""

    last_event: int | None
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    streamed_seconds: float = 0.0
    engine: str = ""
    failure: _Failure | None = None


class StreamForwarder:
    """Forwards streams of one gateway.

    Parameters
    ----------
    sharing
        Engines, links and allowances.
    reservations
        Memory of the decode engines.
    prefills
        Prompts at the prefill engines.
    """

    def __init__(self, sharing: Sharing, reservations: Reservations, prefills: Prefills) -> None:
        self._sharing = sharing
        self._reservations = reservations
        self._prefills = prefills
        self._estimate_by_service: dict[str, OutputLengthEstimator] = {}
        self._longest_wait_by_route: dict[str, float] = {}

    async def forward(self, job: Job) -> None:
        """Answer a job; ``PimentoquayError`` where there is no answer to give."""
        progress = _Progress(last_event=job.caller.last_event)
        try:
            async with asyncio.timeout(job.seconds_left()):
                await self._forward(job, progress)
        except TimeoutError:
            if progress.runs == 0 and not job.reply.started:
                code = ResultCode.DEADLINE_UNREACHABLE
                raise RefusedError(code, "not run in time", RETURN_SECONDS) from None
            raise PimentoquayError(ResultCode.DEADLINE_MISSED, "the time was over") from None

    async def _forward(self, job: Job, progress: _Progress) -> None:
        while True:
            try:
                await self._run(job, progress)
                return
            except _RunEndedError as error:
                self._note(job, progress, error)
                if not self._may_go_on(job, progress):
                    self._give_up(job, progress, str(error))
                    return

    def _note(self, job: Job, progress: _Progress, error: _RunEndedError) -> None:
        progress.arrivals += error.has_arrived
        if not error.has_run:
            progress.runs -= 1
        logger.bind(
            request=job.caller.id,
            engine=progress.engine,
            has_run=error.has_run,
            last_event=progress.last_event,
            sends=progress.sends,
            detail=str(error),
        ).info("run ended early")

    def _may_go_on(self, job: Job, progress: _Progress) -> bool:
        if progress.sends >= MAX_SENDS or job.seconds_left() < LEAST_SECONDS:
            return False
        may_run_again = job.route.is_resumable and progress.runs < job.route.max_engines
        if progress.runs and not may_run_again:
            return False
        return progress.arrivals == 0 or self._sharing.repeats.take(job.service, RUN_SENDS)

    def _give_up(self, job: Job, progress: _Progress, detail: str) -> None:
        failure = progress.failure
        if job.reply.started:
            raise PimentoquayError(ResultCode.STREAM_BROKEN, detail)
        if failure is not None:
            answer_whole(job, failure.status, failure.headers, failure.body)
        elif progress.runs == 0:
            raise RefusedError(ResultCode.NO_BACKEND, detail, RETURN_SECONDS)
        else:
            raise PimentoquayError(ResultCode.ENGINE_FAILED, detail)

    async def _run(self, job: Job, progress: _Progress) -> None:
        memory = self._memory(job)
        model = job.caller.model
        assert model is not None and memory is not None
        need = self._need(job.service, model, memory, progress)
        times = self._times(job)
        reservation = await self._reservations.take(job, memory, need, times)
        job.metrics.note_memory_wait(job.age())
        try:
            prefill = await self._prefills.run(job, model, reservation.engine, progress.last_event)
            progress.sends += 1
            progress.runs += 1
            progress.engine = reservation.engine.id
            try:
                await self._decode(job, progress, reservation, prefill)
            finally:
                self._prefills.end(prefill)
        finally:
            self._reservations.release(reservation)
        if progress.last_event is not None:
            length = _tokens_made(progress, memory)
            estimate = self._estimate(job.service)
            estimate.record(model.expected_output, model.max_output_tokens, length)
            self._sharing.running.record_generation_rate(
                length - need.begun, progress.streamed_seconds
            )

    def _times(self, job: Job) -> StreamTimes:
        """Return when a stream is of use; once it has begun, as soon as may be."""
        route, waits = job.route, job.caller.wait_seconds
        longest = max(self._longest_wait_by_route.get(route.name, 0.0), waits or 0.0)
        self._longest_wait_by_route[route.name] = longest
        asked_at = first_request_at(job.arrived_at, waits, longest)
        patience = patience_seconds(route.target_seconds, route.gap_seconds)
        late_at = asked_at + route.target_seconds
        if job.reply.started:
            late_at = asyncio.get_running_loop().time() + route.target_seconds
        leaves_at = min(job.arrived_at + patience, job.ends_at)
        return StreamTimes(job.arrived_at, late_at, max(leaves_at, late_at))

    def _estimate(self, service: str) -> OutputLengthEstimator:
        return self._estimate_by_service.setdefault(service, OutputLengthEstimator())

    def _need(
        self, service: str, model: ModelRequest, memory: TokenMemory, progress: _Progress
    ) -> MemoryNeed:
        most = model.max_output_tokens
        expected = self._estimate(service).tokens(model.expected_output, most, RESERVED_SPREADS)
        begun = _tokens_made(progress, memory)
        return MemoryNeed(model.prompt_tokens, expected, most, begun)

    def _memory(self, job: Job) -> TokenMemory | None:
        configuration = self._sharing.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        return service.memory if service is not None else None

    async def _decode(
        self, job: Job, progress: _Progress, reservation: Reservation, prefill: Prefill | None
    ) -> None:
        options = SendOptions(
            engine=reservation.engine.id,
            wait_seconds=job.seconds_left(),
            kv_source=prefill.source if prefill is not None else "",
            hold=reservation.hold,
            after_event=progress.last_event,
        )
        request = job.request
        silence = SILENCE_SECONDS if job.route.is_resumable else None
        reservation.is_hold_spent = True
        try:
            async with reservation.link.send(
                request.method,
                request.target,
                job.caller,
                request.body,
                options,
                head_seconds=silence,
            ) as exchange:
                if exchange.status != 200:
                    await self._take_failure(progress, exchange, reservation, prefill)
                await self._relay(job, progress, exchange, reservation, prefill, silence)
        except HttpError as error:
            raise _RunEndedError(str(error), error.written, error.written) from None
        except ValueError as error:
            raise _RunEndedError(f"not a stream of events: {error}", True) from None

    async def _take_failure(
        self,
        progress: _Progress,
        exchange: Exchange,
        reservation: Reservation,
        prefill: Prefill | None,
    ) -> None:
        body = await exchange.read_body(SILENCE_SECONDS)
        facts = read_answer(exchange.status, exchange.headers)
        if facts.is_misdirected:
            self._sharing.note_misdirected(reservation.engine)
        if facts.has_not_run:
            raise _RunEndedError(f"turned away: status {exchange.status}", False)
        if prefill is not None:
            prefill.is_taken = True
        if facts.is_signed and not facts.is_encoded and exchange.status >= 300:
            progress.failure = _Failure(exchange.status, exchange.headers, body)
        raise _RunEndedError(f"failed: status {exchange.status}", True)

    async def _relay(
        self,
        job: Job,
        progress: _Progress,
        exchange: Exchange,
        reservation: Reservation,
        prefill: Prefill | None,
        silence: float | None,
    ) -> None:
        facts = read_answer(exchange.status, exchange.headers)
        if not facts.is_success:
            raise _RunEndedError("the answer is not the engine's own", True)
        if prefill is not None:
            prefill.is_taken = True
        splitter = EventSplitter()
        reply, memory = job.reply, self._memory(job)
        loop = asyncio.get_running_loop()
        first_at = last_at = 0.0
        while (chunk := await exchange.read_chunk(silence)) is not None:
            events = splitter.feed(chunk)
            if not events:
                continue
            _check_order(events, progress)
            if memory is not None:
                self._reservations.progress(reservation, _tokens_made(progress, memory))
            now = loop.time()
            first_at, pause, last_at = first_at or now, now - (last_at or now), now
            progress.streamed_seconds = now - first_at
            if pause > job.route.gap_seconds:
                self._log_pause(job, reservation, pause)
            if not reply.started:
                reply.start(exchange.status, end_to_end_headers(exchange.headers))
                job.metrics.note_first_event(job.age())
            reply.write(b"".join(event.data for event in events))
            await reply.drain()
        if splitter.rest:
            raise _RunEndedError("the stream ended within an event", True)
        if not reply.started:
            reply.start(exchange.status, end_to_end_headers(exchange.headers))
        reply.end()
        _note_whole(job, progress, reservation.engine.id)

    def _log_pause(self, job: Job, reservation: Reservation, pause: float) -> None:
        engine = reservation.engine.id
        now = asyncio.get_running_loop().time()
        logger.bind(
            request=job.caller.id,
            engine=engine,
            pause=f"{pause:.3f}",
            used=self._sharing.running.held(engine, now),
            runs=len(self._sharing.running.runs_at(engine, now)),
        ).info("stream paused")


def _tokens_made(progress: _Progress, memory: TokenMemory) -> int:
    """Return the tokens of the events that a caller has; ids count from 0."""
    if progress.last_event is None:
        return 0
    return (progress.last_event + 1) * memory.event_tokens


def _check_order(events: list[StreamEvent], progress: _Progress) -> None:
    for event in events:
        if event.id is None:
            continue
        last = progress.last_event
        if last is not None and event.id != last + 1:
            raise _RunEndedError(f"event {event.id} came after {last}", True)
        progress.last_event = event.id


def _note_whole(job: Job, progress: _Progress, engine: str) -> None:
    model = job.caller.model
    note_ended(
        job,
        ResultCode.OK,
        "whole stream",
        engine=engine,
        prompt_tokens=model.prompt_tokens if model else None,
        expected_output=model.expected_output if model else None,
        last_event=progress.last_event,
        runs=progress.runs,
    )
