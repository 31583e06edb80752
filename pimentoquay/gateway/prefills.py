"""Prefill of prompts at prefill engines before their streams run at decode engines."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, replace

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.load_metrics import (
    ENGINES_MEASURED,
    ENGINES_TOO_SLOW,
    PREFILLS_TIMED_OUT,
    SPEED_CHANGES,
)
from pimentoquay.gateway.prefill_speeds import PrefillSpeeds
from pimentoquay.gateway.reservation import Reservation
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.http1 import ExchangeWatch
from pimentoquay.kernel.errors import HttpError, UnsendableError
from pimentoquay.kernel.input_checks import can_be_header, describe
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.metrics import Metric
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.requests import SendOptions
from pimentoquay.platform.responses import PrefillResult, parse_prefill, parse_response
from pimentoquay.policy.engine_speeds import PrefillSample
from pimentoquay.policy.fleet import EngineEntry, EngineStage, ModelRequest, TokenMemory
from pimentoquay.policy.prefill_choice import (
    can_prefill_on_decode_engine,
    choose_prefill_engine,
)
from pimentoquay.policy.prefill_timeout import (
    UNSTATED_HOLD_SECONDS,
    is_worth_sending,
    prefill_timeout,
)

__all__ = ["Prefill", "PrefillRunner"]

WATCH = ExchangeWatch(quiet_seconds=0.4, abandon_seconds=0.0)
"""Prefills take some tenths of a second, and may be sent again."""

MIN_CONFIDENCE = 0.5
"""Confidence in the speed of an engine from which the time-out of a prefill follows it.

The queue of an engine that is slower than assumed would else be taken for a failure.
"""

MAX_BODY_BYTES = 64 * 1024
"""Maximum size of a response to a prefill, in bytes; it names a KV cache."""


class _PrefillRefusedError(Exception):
    """An engine responded to a prefill with something other than a KV cache."""


@dataclass
class Prefill:
    """A KV cache at a prefill engine; ``is_fetched`` once a decode engine has fetched it.

    ``made_at`` is when the response with its handle came.
    """

    link: EngineLink
    result: PrefillResult
    made_at: float
    is_fetched: bool = False

    @property
    def source(self) -> str:
        """Address and handle with which a decode engine fetches the KV cache."""
        return f"{self.link.entry.address}/{self.result.handle}"

    def is_kept(self, now: float, memory: TokenMemory) -> bool:
        """Return whether its engine still keeps it for a decode engine that has not fetched it."""
        return not self.is_fetched and now - self.made_at < memory.handle_seconds

    def record_fetched(self) -> None:
        """Record that a decode engine has fetched the KV cache."""
        self.is_fetched = True


class PrefillRunner:
    """Runs prefills at the prefill engine that is done first.

    ``timed_out`` counts the prefills that were given up as they took too long.

    Parameters
    ----------
    shared
        Engines, links and retry budgets.
    on_change
        Called when the number of this gateway's prompts at prefill engines changes.
    speeds
        Told how long each prefill took.
    """

    def __init__(
        self, shared: SharedState, on_change: Callable[[], None], speeds: PrefillSpeeds
    ) -> None:
        self._shared = shared
        self._on_change = on_change
        self._speeds = speeds
        self.timed_out = 0

    async def run(
        self,
        job: Job,
        model: ModelRequest,
        reservation: Reservation,
        after_event: int | None,
        software: str = "",
    ) -> Prefill | None:
        """Prefill a prompt; return ``None`` if the decode engine has to do it.

        Parameters
        ----------
        job, model
            The request and its model parameters.
        reservation
            Memory of the engine that will run the stream, and the prefill engine that a coordinator
            has granted, which is tried first. Prefill engines in the data centre of the first one
            are preferred.
        after_event
            Id of the last event that the caller has received, if its stream is resumed.
        software
            Software version that began the stream, whose prompt no other may read, or empty.

        Raises
        ------
        RefusedError
            If a prefill engine has crashed under the request, and it may not be sent any more.
        """
        failed: set[str] = set()
        decode_engine, granted = reservation.engine, reservation.prefill_engine
        while True:
            if failed:
                job.check_access()
                self._shared.guard.check(job)
            engine = self._choose_engine(job, model, decode_engine, failed, granted, software)
            expected = self._expected_seconds(model, engine, granted)
            timeout = prefill_timeout(
                expected, self._hold_seconds_left(job, reservation), job.seconds_left()
            )
            if engine is None or not self._may_send(job, expected, timeout, bool(failed)):
                logger.bind(
                    request=job.caller.id,
                    engine=decode_engine.id,
                    tokens=model.prompt_tokens,
                    failed=len(failed),
                    timeout=f"{timeout:.3f}",
                ).info("prompt left to the decode engine")
                return None
            self._log_choice(job, model, engine, expected, timeout)
            try:
                return await self._send(
                    job, model, engine, after_event, engine.id == granted, timeout
                )
            except UnsendableError as error:
                raise job.refusal_of(error) from None
            except (HttpError, _PrefillRefusedError, DecodeError, TimeoutError) as error:
                self.timed_out += isinstance(error, TimeoutError)
                logger.bind(request=job.caller.id, engine=engine.id, error=repr(error)).info(
                    "prefill failed"
                )
                failed.add(engine.id)
                was_sent = not isinstance(error, HttpError) or error.written
                if was_sent and not isinstance(error, _PrefillRefusedError):
                    self._shared.prompt_waste.record_prefill(model.prompt_tokens)
                if isinstance(error, HttpError) and error.connection_lost:
                    link = self._shared.links.link_to(engine)
                    await self._shared.guard.handle_lost_run(job, link)

    def gauges(self) -> dict[Metric, Callable[[], float]]:
        """Return the metrics of prefills and of the speeds of engines."""
        return {
            ENGINES_MEASURED: lambda: self._shared.speeds.known_engines,
            SPEED_CHANGES: lambda: self._shared.speeds.changes,
            ENGINES_TOO_SLOW: lambda: self._shared.pauses.late_engines(
                asyncio.get_running_loop().time()
            ),
            PREFILLS_TIMED_OUT: lambda: self.timed_out,
        }

    def release_unused(self, prefill: Prefill | None) -> None:
        """Free the KV cache unless a decode engine has fetched it."""
        if prefill is not None and not prefill.is_fetched:
            call = prefill.link.calls.free_kv_cache(prefill.result.handle)
            self._shared.links.call_in_background(prefill.link, call, "free KV cache")

    def _choose_engine(
        self,
        job: Job,
        model: ModelRequest,
        decode_engine: EngineEntry,
        failed: set[str],
        granted: str,
        software: str,
    ) -> EngineEntry | None:
        stages = (EngineStage.PREFILL,)
        if granted not in failed:
            for engine in self._shared.engines_for_stream(job.service, stages, software):
                if engine.id == granted:
                    return engine
        engines = [
            engine
            for engine in self._shared.sendable_engines(job.service, stages, software)
            if engine.id not in failed
        ]
        is_decode_engine_allowed = can_prefill_on_decode_engine(
            model.prompt_tokens, self._shared.speed, job.route.gap_seconds
        )
        return choose_prefill_engine(
            engines,
            self._shared.prefill_ledger,
            self._shared.speeds.of(job.service),
            replace(self._shared.placer, data_centre=decode_engine.data_centre),
            is_decode_engine_allowed,
            model.prompt_tokens,
            asyncio.get_running_loop().time(),
        )

    def _may_send(
        self, job: Job, expected: float | None, timeout: float, is_repeated: bool
    ) -> bool:
        if not is_worth_sending(expected, timeout):
            return False
        return not is_repeated or self._shared.retry_budgets.try_spend(job.service)

    def _expected_seconds(
        self, model: ModelRequest, engine: EngineEntry | None, granted: str
    ) -> float | None:
        """Return the seconds until a prefill is done; ``None`` if queue or speed is unknown."""
        shared = self._shared
        if engine is None or engine.id == granted or shared.placer.lacks_peer_loads:
            return None
        tokens = shared.prefill_ledger.held(engine.id) + model.prompt_tokens
        now, speeds = asyncio.get_running_loop().time(), shared.speeds.of(engine.service)
        if speeds.confidence(engine.start, now) < MIN_CONFIDENCE:
            return None
        return speeds.seconds(engine.start, tokens, now)

    def _hold_seconds_left(self, job: Job, reservation: Reservation) -> float:
        """Return the seconds until the decode engine releases the memory held for a stream."""
        configuration = self._shared.fleet.configuration
        service = configuration.service_by_name.get(job.service) if configuration else None
        memory = service.memory if service is not None else None
        lifetime = memory.longest_hold_seconds if memory is not None else 0.0
        held_until = reservation.reserved_at + (lifetime or UNSTATED_HOLD_SECONDS)
        return held_until - asyncio.get_running_loop().time()

    def _log_choice(
        self,
        job: Job,
        model: ModelRequest,
        engine: EngineEntry,
        expected: float | None,
        timeout: float,
    ) -> None:
        now = asyncio.get_running_loop().time()
        speeds = self._shared.speeds.of(job.service)
        logger.bind(
            request=job.caller.id,
            engine=engine.id,
            tokens=model.prompt_tokens,
            queued=self._shared.prefill_ledger.held(engine.id),
            tokens_per_second=round(speeds.tokens_per_second(engine.start, now)),
            confidence=f"{speeds.confidence(engine.start, now):.2f}",
            expected=f"{expected:.3f}" if expected is not None else "",
            timeout=f"{timeout:.3f}",
        ).info("prefill sent")

    async def _send(
        self,
        job: Job,
        model: ModelRequest,
        engine: EngineEntry,
        after_event: int | None,
        is_granted: bool,
        timeout: float,
    ) -> Prefill:
        link = self._shared.links.link_to(engine)
        options = SendOptions(
            engine=engine.id,
            timeout_seconds=job.seconds_left(),
            is_prefill=True,
            after_event=after_event,
            urgency=self._shared.urgency_of(job.priority, after_event is not None),
        )
        request = job.request
        tokens = model.prompt_tokens
        loop = asyncio.get_running_loop()
        ledger, speeds = self._shared.prefill_ledger, self._shared.speeds.of(engine.service)
        ahead = None if self._shared.placer.lacks_peer_loads else ledger.held(engine.id)
        sent_at = loop.time()

        def record_sent() -> None:
            nonlocal sent_at
            sent_at = loop.time()

        ledger.take(engine.id, tokens)
        self._on_change()
        try:
            async with (
                asyncio.timeout(timeout),
                link.send(
                    request.method,
                    request.target,
                    job.caller,
                    request.body,
                    options,
                    access=job.check_send,
                    has_permit=is_granted,
                    watch=WATCH,
                    on_sent=record_sent,
                ) as exchange,
            ):
                body = await exchange.read_body(MAX_BODY_BYTES)
                if parse_response(exchange.status, exchange.headers).is_misdirected:
                    self._shared.mark_misdirected(engine)
                if exchange.status != 200:
                    raise _PrefillRefusedError(f"status {exchange.status}")
                seconds = loop.time() - sent_at
                self._shared.speed.record(tokens, seconds)
                self._speeds.record(engine, PrefillSample(tokens, seconds, ahead))
                needed = speeds.seconds(engine.start, tokens, loop.time())
                self._shared.demand.record_prefill(needed)
                result = parse_prefill(body)
                if not can_be_header(result.handle):
                    raise DecodeError(f"kvHandle {describe(result.handle)}: no value of a header")
                return Prefill(link, result, loop.time())
        finally:
            ledger.release(engine.id, tokens)
            self._on_change()
