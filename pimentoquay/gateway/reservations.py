"""Memory of decode engines: who waits for it here, and who has it.

The engines themselves give it out, so any number of gateways can ask without an owner. What all
gateways hold tells each where to ask, and what waits tells whether to ask at all.
"""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.links import EngineLink
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.fleet import EngineEntry, EngineStage, TokenMemory
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed
from pimentoquay.policy.prefill_choice import (
    DECODE_ONLY_PAUSE_SHARE,
    can_prefill_on_decode_engine,
    select_decode_engines,
)
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    ReleaseRate,
    StreamTimes,
    StreamUrgency,
    decide_wait,
)

__all__ = ["Reservation", "Reservations", "Waiting"]

RECHECK_SECONDS = 0.05
"""How often a waiting stream looks for room when it hears of no change."""

RETURN_SECONDS = 0.5
"""When a caller is told to return if the estimate of the wait was wrong, or there is none."""

USABLE_SHARE = 0.85
"""The share of an engine's memory that the forecast may fill. On the six days of pos-printfleet it
is worth 0.617, against 0.601 with 0.92 (docs/design/platform.md)."""

REFUSED_SECONDS = 0.25
"""How long an engine's refusal is believed when nobody releases anything there."""


@dataclass(eq=False)
class Reservation:
    """Memory of one engine; ``hold`` is spent by the request that names it.

    ``usable`` is how many tokens of the engine's memory the forecast may fill.
    """

    engine: EngineEntry
    link: EngineLink
    need: MemoryNeed
    usable: int
    key: int
    hold: str
    taken_at: float
    is_hold_spent: bool = False


@dataclass(frozen=True)
class Waiting:
    """Memory that streams wait for; a part of it for those that can still begin in time."""

    tokens: int
    urgent_tokens: int


@dataclass(eq=False)
class _Waiter:
    need: MemoryNeed
    times: StreamTimes


class Reservations:
    """The reservations of this gateway and the streams that wait for one.

    Parameters
    ----------
    sharing
        Engines, links, and what all gateways hold.
    peers_waiting
        Returns the memory that streams wait for at other gateways.
    misses_peers
        Returns whether there may be gateways whose requests are not known here. What the engine
        has is then known to the engine alone, so all that is expected is held there.
    on_change
        Called when this gateway holds more or less, or more or less waits here.
    note_use
        Called with the tokens that a stream held in the mean, for how many seconds, and of how
        many that may be used at its engine.
    """

    def __init__(
        self,
        sharing: Sharing,
        peers_waiting: Callable[[], Waiting],
        misses_peers: Callable[[], bool],
        on_change: Callable[[], None],
        note_use: Callable[[int, float, int], None],
    ) -> None:
        self._sharing = sharing
        self._running = sharing.running
        self._peers_waiting = peers_waiting
        self._misses_peers = misses_peers
        self._on_change = on_change
        self._note_use = note_use
        self._waiting: list[_Waiter] = []
        self._release_rate = ReleaseRate()
        self._changed = asyncio.Event()
        self._limits = AdmissionLimits()

    @property
    def waiting(self) -> Waiting:
        """The memory that streams wait for here."""
        return Waiting(
            sum(waiter.need.tokens for waiter in self._waiting),
            sum(waiter.need.tokens for waiter in self._waiting if self._is_urgent(waiter)),
        )

    def note_change(self) -> None:
        """Let waiting streams look for room again."""
        self._changed.set()

    async def take(
        self, job: Job, memory: TokenMemory, need: MemoryNeed, times: StreamTimes
    ) -> Reservation:
        """Reserve memory, waiting for it while that is of use; ``RefusedError``."""
        waiter = _Waiter(need, times)
        if self._goes_first(waiter):
            reservation = await self._try(job, memory, need)
            if reservation is not None:
                return reservation
        self._check_wait(job, waiter)
        self._waiting.append(waiter)
        self._on_change()
        loop = asyncio.get_running_loop()
        ends_at = times.leaves_at - self._limits.work_seconds
        try:
            while loop.time() < ends_at:
                if self._goes_first(waiter):
                    reservation = await self._try(job, memory, need)
                    if reservation is not None:
                        return reservation
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(RECHECK_SECONDS):
                        await self._changed.wait()
        finally:
            self._waiting.remove(waiter)
            self._changed.set()
            self._on_change()
        raise RefusedError(
            ResultCode.DEADLINE_UNREACHABLE, "no memory came free in time", RETURN_SECONDS
        )

    def progress(self, reservation: Reservation, made: int) -> None:
        """Take how many tokens of its answer a request has."""
        run = reservation.need.run_at(made)
        self._running.progress(reservation.key, run, asyncio.get_running_loop().time())

    def release(self, reservation: Reservation) -> None:
        """Give memory back."""
        now = asyncio.get_running_loop().time()
        self._running.release(reservation.key)
        if reservation.is_hold_spent:
            seconds = now - reservation.taken_at
            self._release_rate.record(seconds)
            self._note_use(reservation.need.mean_tokens, seconds, reservation.usable)
        else:
            link = reservation.link
            self._sharing.links.call_later(link, link.calls.drop_hold(reservation.hold), "drop")
        self._changed.set()
        self._on_change()

    def _is_urgent(self, waiter: _Waiter) -> bool:
        now = asyncio.get_running_loop().time()
        return waiter.times.urgency(now, self._limits) is StreamUrgency.IN_TIME

    def _goes_first(self, waiter: _Waiter) -> bool:
        """Tell whether nobody is to be served before a stream, here or at another gateway."""
        now = asyncio.get_running_loop().time()

        def turn(each: _Waiter) -> tuple[StreamUrgency, float]:
            return each.times.urgency(now, self._limits), each.times.arrived_at

        if any(turn(each) < turn(waiter) for each in self._waiting if each is not waiter):
            return False
        return self._is_urgent(waiter) or self._peers_waiting().urgent_tokens == 0

    def _check_wait(self, job: Job, waiter: _Waiter) -> None:
        engines = self._engines(job)
        if not engines:
            raise RefusedError(ResultCode.NO_BACKEND, "no decode engine is listed", RETURN_SECONDS)
        now = asyncio.get_running_loop().time()
        held = self._running.expected(engines, now)
        own, peers = self.waiting, self._peers_waiting()
        ahead = own.tokens + peers.tokens
        decision = decide_wait(
            waiter.need.tokens,
            own.urgent_tokens + peers.urgent_tokens,
            ahead,
            self._release_rate.tokens_per_second(held),
            waiter.times,
            now,
            self._limits,
        )
        if not decision.should_wait:
            detail = f"{ahead} tokens wait, {held} are held"
            raise RefusedError(ResultCode.QUEUE_FULL, detail, decision.seconds)

    def _engines(self, job: Job) -> tuple[EngineEntry, ...]:
        stages = (EngineStage.DECODE, EngineStage.BOTH)
        return self._sharing.engines_at(job.service, stages)

    def _parts(self, job: Job, need: MemoryNeed) -> tuple[Sequence[EngineEntry], ...]:
        """Return the decode engines that a prompt may go to, in parts to be tried in order."""
        engines = self._engines(job)
        if self._sharing.engines_at(job.service, (EngineStage.PREFILL,)):
            return (engines,)
        is_short = can_prefill_on_decode_engine(
            need.prompt, self._sharing.speed, job.route.gap_seconds, DECODE_ONLY_PAUSE_SHARE
        )
        return select_decode_engines(engines, is_short)

    async def _try(self, job: Job, memory: TokenMemory, need: MemoryNeed) -> Reservation | None:
        loop = asyncio.get_running_loop()
        usable = _usable(memory)
        run = need.run_at(need.begun)
        if run.tokens + run.remaining > usable:
            run = GrowingRun(min(run.tokens, usable), 0)
        asked: set[str] = set()
        while True:
            candidates = [
                engine
                for part in self._parts(job, need)
                for engine in self._running.candidates(
                    part, usable, run, loop.time(), self._sharing.placer
                )
            ]
            engine = next((each for each in candidates if each.id not in asked), None)
            if engine is None:
                return None
            asked.add(engine.id)
            reservation = await self._ask(job, engine, memory, need, run)
            if reservation is not None:
                return reservation

    async def _ask(
        self,
        job: Job,
        engine: EngineEntry,
        memory: TokenMemory,
        need: MemoryNeed,
        run: GrowingRun,
    ) -> Reservation | None:
        loop = asyncio.get_running_loop()
        link = self._sharing.links.to(engine)
        key = self._running.take(engine.id, run, loop.time())
        self._on_change()
        tokens = need.tokens if self._misses_peers() else need.held
        tokens = min(tokens, memory.capacity_tokens)
        hold = ""
        try:
            call = link.calls.take_hold(tokens, memory.longest_hold_seconds)
            status, body = await link.call(call)
            if status == 200:
                hold = link.calls.read_hold(body)
        except (HttpError, DecodeError) as error:
            logger.bind(request=job.caller.id, engine=engine.id, error=str(error)).info(
                "no reservation"
            )
        finally:
            if not hold:
                self._running.release(key)
                self._running.record_refusal(engine.id, run.tokens, loop.time() + REFUSED_SECONDS)
                self._on_change()
        if not hold:
            return None
        logger.bind(
            request=job.caller.id,
            waited=f"{job.age():.3f}",
            engine=engine.id,
            tokens=tokens,
            expected=need.tokens,
            used=self._running.held(engine.id, loop.time()),
        ).info("memory reserved")
        return Reservation(engine, link, need, _usable(memory), key, hold, loop.time())


def _usable(memory: TokenMemory) -> int:
    return int(memory.capacity_tokens * USABLE_SHARE)
