"""Relay of the events of one run to its caller, as they come."""

import asyncio
from collections.abc import Callable
from typing import NoReturn

from pimentoquay.gateway.event_reader import EventReader
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_progress import (
    ErrorResponse,
    RunEndedError,
    StreamProgress,
    output_tokens,
)
from pimentoquay.http1 import Exchange, ExchangeWatch, end_to_end_headers
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.responses import parse_response
from pimentoquay.policy.fleet import EngineEntry, Route
from pimentoquay.policy.stream_end import is_end_confirmed

__all__ = ["EventRelay", "silence_timeout_of", "watch_of"]

SILENCE_TIMEOUT_SECONDS = 1.5
"""Time without data after which a resumable stream is moved to another engine; five times the
longest acceptable pause between events, and well below the time after which callers leave."""

CUT_SILENCE_SECONDS = 0.7
"""Time without data after which a resumable stream is moved if the path to its engine is cut."""

MAX_ERROR_BYTES = 64 * 1024
"""Maximum size of the body of an engine's error response to a stream, in bytes."""


def silence_timeout_of(route: Route) -> float | None:
    """Return the time without an event after which a stream is moved, or None if it may not be."""
    return SILENCE_TIMEOUT_SECONDS if route.is_resumable else None


def watch_of(route: Route) -> ExchangeWatch:
    """Return how long the engine of a stream may be silent."""
    return ExchangeWatch(route.gap_seconds, CUT_SILENCE_SECONDS if route.is_resumable else None)


class EventRelay:
    """Passes the complete events of a run on, and the error response of a run that has none.

    A caller never receives part of an event, and a stream that is broken off inside one does not
    look complete, however its response is framed.

    Parameters
    ----------
    shared
        Quarantines, the origins of streams, and the state of the engines.
    """

    def __init__(self, shared: SharedState) -> None:
        self._shared = shared

    async def relay(
        self,
        job: Job,
        progress: StreamProgress,
        exchange: Exchange,
        engine: EngineEntry,
        on_run: Callable[[], None] = lambda: None,
        on_events: Callable[[], None] = lambda: None,
    ) -> None:
        """Pass the events of a run on until its end.

        Parameters
        ----------
        job, progress
            The request, and its progress, which is updated.
        exchange, engine
            The exchange of the run, and its engine.
        on_run
            Called when the response shows that the engine has run the request.
        on_events
            Called after events have been passed on.

        Raises
        ------
        RunEndedError
            If the run has not ended the stream.
        HttpError
            If the exchange fails, or is silent for too long.
        """
        if exchange.status != 200:
            await self._handle_failure(progress, exchange, engine, on_run)
        if not parse_response(exchange.status, exchange.headers).is_success:
            raise RunEndedError("response was not sent by the engine itself", True)
        on_run()
        route, reply = job.route, job.reply
        timeout = silence_timeout_of(route)
        reader = EventReader(exchange, progress.last_event, timeout, route.is_resumable)
        loop = asyncio.get_running_loop()
        first_at = last_at = drained = 0.0
        while events := await reader.next_events():
            now = loop.time()
            if not first_at:
                self._record_begun(job, progress)
            first_at, pause, last_at = first_at or now, now - (last_at or now), now
            progress.streamed_seconds = now - first_at
            if progress.memory is not None:
                # A slow caller does not make an engine slow.
                self._shared.record_pause(engine, max(0.0, pause - drained), route.gap_seconds)
            if pause > route.gap_seconds:
                self._log_pause(job, engine, pause)
            if not reply.started:
                reply.start(exchange.status, end_to_end_headers(exchange.headers))
                job.metrics.record_first_event(job.age())
            reply.write(b"".join(event.data for event in events))
            progress.record_sent(events)
            on_events()
            await reply.drain()
            drained = loop.time() - now
        if not reader.has_read_events:
            _check_end(job, progress)
        if not reply.started:
            reply.start(exchange.status, end_to_end_headers(exchange.headers))
        reply.end()
        self._shared.guard.record_answered(job)

    async def _handle_failure(
        self,
        progress: StreamProgress,
        exchange: Exchange,
        engine: EngineEntry,
        on_run: Callable[[], None],
    ) -> NoReturn:
        body = await exchange.read_body(MAX_ERROR_BYTES, SILENCE_TIMEOUT_SECONDS)
        response_info = parse_response(exchange.status, exchange.headers)
        if response_info.is_misdirected:
            self._shared.mark_misdirected(engine)
        if response_info.has_not_run:
            raise RunEndedError(f"rejected without being run: status {exchange.status}", False)
        on_run()
        if response_info.is_signed and not response_info.is_encoded and exchange.status >= 300:
            progress.error_response = ErrorResponse(exchange.status, exchange.headers, body)
        raise RunEndedError(f"failed: status {exchange.status}", True)

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

    def _log_pause(self, job: Job, engine: EngineEntry, pause: float) -> None:
        now = asyncio.get_running_loop().time()
        logger.bind(
            request=job.caller.id,
            engine=engine.id,
            pause=f"{pause:.3f}",
            used=self._shared.run_ledger.held(engine.id, now),
            runs=len(self._shared.run_ledger.runs_at(engine.id, now)),
        ).info("stream paused")


def _check_end(job: Job, progress: StreamProgress) -> None:
    """Raise ``RunEndedError`` unless a run without events shows that the stream has ended."""
    progress.engines_without_events.add(progress.engine)
    model, memory = job.caller.model, progress.memory
    max_tokens = model.max_output_tokens if model is not None and memory is not None else None
    tokens = output_tokens(progress, memory)
    if not is_end_confirmed(tokens, max_tokens, progress.engines_without_events):
        raise RunEndedError("the run ended without an event", True)
