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
from pimentoquay.policy.stream_admission import AdmissionLimits, ReleaseRate, decide_wait
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = ["Reservation", "Reservations"]

RECHECK_SECONDS = 0.05
"""How often a waiting stream looks for room when it hears of no change."""

REFUSED_SECONDS = 0.25
"""How long an engine's refusal is believed when nobody releases anything there."""


@dataclass(eq=False)
class Reservation:
    """Memory of one engine; ``hold`` is spent by the request that names it."""

    engine: EngineEntry
    link: EngineLink
    tokens: int
    hold: str
    taken_at: float
    is_hold_spent: bool = False


@dataclass(eq=False)
class _Waiter:
    tokens: int


class Reservations:
    """The reservations of this gateway and the streams that wait for one.

    Parameters
    ----------
    sharing
        Engines and links.
    ledger
        What all gateways hold.
    peer_waiting_tokens
        Returns the memory that streams wait for at other gateways.
    on_change
        Called when this gateway holds more or less, or more or less waits here.
    """

    def __init__(
        self,
        sharing: Sharing,
        ledger: TokenLedger,
        peer_waiting_tokens: Callable[[], int],
        on_change: Callable[[], None],
    ) -> None:
        self._sharing = sharing
        self._ledger = ledger
        self._peer_waiting_tokens = peer_waiting_tokens
        self._on_change = on_change
        self._waiting: list[_Waiter] = []
        self._release_rate = ReleaseRate()
        self._changed = asyncio.Event()
        self._limits = AdmissionLimits()

    @property
    def waiting_tokens(self) -> int:
        """The memory that streams wait for here."""
        return sum(waiter.tokens for waiter in self._waiting)

    def note_change(self) -> None:
        """Let waiting streams look for room again."""
        self._changed.set()

    async def take(self, job: Job, memory: TokenMemory, tokens: int) -> Reservation:
        """Reserve memory, waiting for it if that promises to be in time; ``RefusedError``."""
        loop = asyncio.get_running_loop()
        if not self._waiting:
            reservation = await self._try(job, memory, tokens)
            if reservation is not None:
                return reservation
        self._check_wait(job, memory, tokens)
        waiter = _Waiter(tokens)
        self._waiting.append(waiter)
        self._on_change()
        try:
            while job.seconds_left() > self._limits.work_seconds:
                if self._waiting[0] is waiter:
                    reservation = await self._try(job, memory, tokens)
                    if reservation is not None:
                        return reservation
                self._changed.clear()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(loop.time() + RECHECK_SECONDS):
                        await self._changed.wait()
        finally:
            self._waiting.remove(waiter)
            self._changed.set()
            self._on_change()
        raise RefusedError(ResultCode.DEADLINE_UNREACHABLE, "no memory came free in time", 0.5)

    def release(self, reservation: Reservation) -> None:
        """Give memory back."""
        now = asyncio.get_running_loop().time()
        self._ledger.release(reservation.engine.id, reservation.tokens)
        if reservation.is_hold_spent:
            self._release_rate.note(now - reservation.taken_at)
        else:
            link = reservation.link
            self._sharing.links.call_later(link, link.calls.drop_hold(reservation.hold), "drop")
        self._changed.set()
        self._on_change()

    def _check_wait(self, job: Job, memory: TokenMemory, tokens: int) -> None:
        engines = self._engines(job)
        if not engines:
            raise RefusedError(ResultCode.NO_BACKEND, "no decode engine is listed", 0.5)
        held = sum(self._ledger.held(engine.id) for engine in engines)
        ahead = self.waiting_tokens + self._peer_waiting_tokens()
        decision = decide_wait(
            tokens,
            ahead,
            self._release_rate.tokens_per_second(held),
            job.route.target_seconds - job.age(),
            self._limits,
        )
        if not decision.waits:
            detail = f"{ahead} tokens wait, {held} are held"
            raise RefusedError(ResultCode.QUEUE_FULL, detail, decision.seconds)

    def _engines(self, job: Job) -> tuple[EngineEntry, ...]:
        stages = (EngineStage.DECODE, EngineStage.BOTH)
        engines = self._sharing.fleet.engines_of(job.service)
        return tuple(engine for engine in engines if engine.stage in stages)

    async def _try(self, job: Job, memory: TokenMemory, tokens: int) -> Reservation | None:
        loop = asyncio.get_running_loop()
        tokens = min(tokens, memory.capacity_tokens)
        engines = self._engines(job)
        asked: set[str] = set()
        while True:
            candidates = self._ledger.candidates(
                engines, memory.capacity_tokens, tokens, loop.time()
            )
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
        return Reservation(engine, link, tokens, hold, loop.time())
