"""Memory of decode engines: who waits for it here, and who has it.

The engines themselves give it out, so any number of gateways can ask without an owner. What all
gateways hold tells each where to ask, and what waits tells whether to ask at all.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.gateway.context import Sharing
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.links import EngineLink
from pimentoquay.http1 import ExchangeError
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.fleet import EngineEntry, EngineStage, TokenMemory
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    ReleaseRate,
    StreamTimes,
    StreamUrgency,
    decide_wait,
)
from pimentoquay.policy.token_ledger import in_blocks

__all__ = ["Reservation", "Reservations", "Waiting"]

RECHECK_SECONDS = 0.05
"""How often a waiting stream looks for room when it hears of no change."""

RETURN_SECONDS = 0.5
"""When a caller is told to return if the estimate of the wait was wrong, or there is none."""

USABLE_SHARE = 0.95
"""The share of an engine's memory that is reserved; the rest is for answers that grow longer than
expected, so that nobody has to be preempted for them."""

REFUSED_SECONDS = 0.25
"""How long an engine's refusal is believed when nobody releases anything there."""


@dataclass(eq=False)
class Reservation:
    """Memory of one engine; ``hold`` is spent by the request that names it."""

    engine: EngineEntry
    link: EngineLink
    tokens: int
    capacity: int
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
    tokens: int
    times: StreamTimes


class Reservations:
    """The reservations of this gateway and the streams that wait for one.

    Parameters
    ----------
    sharing
        Engines, links, and what all gateways hold.
    peers_waiting
        Returns the memory that streams wait for at other gateways.
    on_change
        Called when this gateway holds more or less, or more or less waits here.
    note_use
        Called with the tokens that a stream held, for how many seconds, and of what capacity.
    """

    def __init__(
        self,
        sharing: Sharing,
        peers_waiting: Callable[[], Waiting],
        on_change: Callable[[], None],
        note_use: Callable[[int, float, int], None],
    ) -> None:
        self._sharing = sharing
        self._ledger = sharing.ledger
        self._peers_waiting = peers_waiting
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
            sum(waiter.tokens for waiter in self._waiting),
            sum(waiter.tokens for waiter in self._waiting if self._is_urgent(waiter)),
        )

    def note_change(self) -> None:
        """Let waiting streams look for room again."""
        self._changed.set()

    async def take(
        self, job: Job, memory: TokenMemory, tokens: int, times: StreamTimes
    ) -> Reservation:
        """Reserve memory, waiting for it while that is of use; ``RefusedError``."""
        waiter = _Waiter(tokens, times)
        if self._goes_first(waiter):
            reservation = await self._try(job, memory, tokens)
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
                    reservation = await self._try(job, memory, tokens)
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

    def grow(self, reservation: Reservation, tokens: int) -> None:
        """Count the memory of a request that has grown to so many tokens."""
        more = in_blocks(tokens) - reservation.tokens
        if more > 0:
            reservation.tokens += more
            self._ledger.grow(reservation.engine.id, more)
            self._on_change()

    def release(self, reservation: Reservation) -> None:
        """Give memory back."""
        now = asyncio.get_running_loop().time()
        self._ledger.release(reservation.engine.id, reservation.tokens)
        if reservation.is_hold_spent:
            seconds = now - reservation.taken_at
            self._release_rate.note(seconds)
            self._note_use(reservation.tokens, seconds, reservation.capacity)
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
        held = sum(self._ledger.held(engine.id) for engine in engines)
        own, peers = self.waiting, self._peers_waiting()
        ahead = own.tokens + peers.tokens
        decision = decide_wait(
            waiter.tokens,
            own.urgent_tokens + peers.urgent_tokens,
            ahead,
            self._release_rate.tokens_per_second(held),
            waiter.times,
            asyncio.get_running_loop().time(),
            self._limits,
        )
        if not decision.waits:
            detail = f"{ahead} tokens wait, {held} are held"
            raise RefusedError(ResultCode.QUEUE_FULL, detail, decision.seconds)

    def _engines(self, job: Job) -> tuple[EngineEntry, ...]:
        stages = (EngineStage.DECODE, EngineStage.BOTH)
        return self._sharing.engines_at(job.service, stages)

    async def _try(self, job: Job, memory: TokenMemory, tokens: int) -> Reservation | None:
        loop = asyncio.get_running_loop()
        usable = int(memory.capacity_tokens * USABLE_SHARE)
        tokens = min(tokens, usable)
        engines = self._engines(job)
        asked: set[str] = set()
        while True:
            candidates = self._ledger.candidates(engines, usable, tokens, loop.time())
            engine = next((each for each in candidates if each.id not in asked), None)
            if engine is None:
                return None
            asked.add(engine.id)
            reservation = await self._ask(engine, memory, tokens)
            if reservation is not None:
                return reservation

    async def _ask(
        self, engine: EngineEntry, memory: TokenMemory, tokens: int
    ) -> Reservation | None:
        loop = asyncio.get_running_loop()
        link = self._sharing.links.to(engine)
        self._ledger.take(engine.id, tokens)
        self._on_change()
        hold = ""
        try:
            call = link.calls.take_hold(tokens, memory.longest_hold_seconds)
            status, body = await link.call(call)
            if status == 200:
                hold = link.calls.read_hold(body)
        except (ExchangeError, DecodeError) as error:
            logger.bind(engine=engine.id).info("no reservation: {}", error)
        finally:
            if not hold:
                self._ledger.release(engine.id, tokens)
                self._ledger.note_refused(engine.id, tokens, loop.time() + REFUSED_SECONDS)
                self._on_change()
        if not hold:
            return None
        logger.bind(engine=engine.id, tokens=tokens, held=self._ledger.held(engine.id)).info(
            "memory reserved"
        )
        return Reservation(engine, link, tokens, memory.capacity_tokens, hold, loop.time())
