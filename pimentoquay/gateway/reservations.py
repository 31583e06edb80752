"""Reservation of decode engines' memory for streams, and the queue of streams that wait for it.

The engines grant memory, so gateways need no central owner of it. Each gateway chooses an engine by
the loads of all gateways, and decides by their queues whether a stream may wait.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Sequence

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.pool_client import PoolClient, PoolGrant
from pimentoquay.gateway.reservation import Reservation, log_reserved, run_of, usable_tokens
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.gateway.stream_classes import ClassCounts
from pimentoquay.gateway.stream_refusals import (
    refuse_if_hopeless,
    refuse_if_paused,
    refuse_if_unreachable,
    refuse_if_version_gone,
)
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.fields import DecodeError
from pimentoquay.policy.fleet import DECODE_STAGES, EngineEntry, EngineStage, TokenMemory
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed
from pimentoquay.policy.prefill_choice import (
    DECODE_ONLY_PAUSE_SHARE,
    can_prefill_on_decode_engine,
    select_decode_engines,
)
from pimentoquay.policy.service_order import Supply
from pimentoquay.policy.stream_admission import AdmissionLimits, QueuedTokens, ReleaseRate
from pimentoquay.policy.stream_queue import StreamQueue, WaitingStream, engines_of_wait
from pimentoquay.policy.version_choice import engines_for

__all__ = ["Reservations"]

RECHECK_INTERVAL_SECONDS = 0.05
"""Interval at which a waiting stream tries to reserve memory if no change is reported."""

RETRY_AFTER_SECONDS = 0.5
"""Retry-After value if a stream waited in vain, or if no wait can be estimated."""

MAX_GRANTS = 6
"""Maximum number of engines that are tried for one stream if they refuse the granted memory."""

REFUSAL_VALID_SECONDS = 0.25
"""Time for which an engine counts as full after a refusal, unless memory is released there."""


class Reservations:
    """Reservations of this gateway and its queue of streams that wait for one.

    ``continued_by_outcome`` counts the streams that had begun before by how their wait ended, and
    ``class_counts`` all streams by priority.

    Parameters
    ----------
    shared
        Engines, links, and the run ledger of all gateways.
    peers_queued
        Returns the memory that streams wait for at other gateways.
    has_incomplete_view
        Returns whether there may be gateways whose requests are not known here. Only the engine
        then knows its load, and the whole expected memory of a stream is reserved.
    on_change
        Called when the memory that this gateway holds or waits for changes.
    record_use
        Called at the end of each stream with its mean memory in tokens, its duration in seconds,
        and its engine's usable memory in tokens.
    pools
        Client of the coordinators of pools.
    """

    def __init__(
        self,
        shared: SharedState,
        peers_queued: Callable[[], QueuedTokens],
        has_incomplete_view: Callable[[], bool],
        on_change: Callable[[], None],
        record_use: Callable[[int, float, int], None],
        pools: PoolClient,
    ) -> None:
        self._shared = shared
        self._run_ledger = shared.run_ledger
        self._peers_queued = peers_queued
        self._has_incomplete_view = has_incomplete_view
        self._on_change = on_change
        self._record_use = record_use
        self._pools = pools
        self._release_rate = ReleaseRate()
        self._changed = asyncio.Event()
        self._limits = AdmissionLimits()
        self.continued_by_outcome: Counter[str] = Counter()
        self.class_counts = ClassCounts()
        self._waiting = StreamQueue(self._limits, lambda: shared.stream_priorities)

    @property
    def queued(self) -> QueuedTokens:
        """Memory that streams wait for at this gateway, in tokens."""
        return self._waiting.queued(asyncio.get_running_loop().time())

    def recheck_waiters(self) -> None:
        """Let waiting streams try again."""
        self._changed.set()

    async def reserve(self, job: Job, memory: TokenMemory, waiter: WaitingStream) -> Reservation:
        """Reserve memory for a stream, waiting for it while its caller can still be served.

        Parameters
        ----------
        job, memory, waiter
            The request, the memory of its engines, and what it waits for.

        Raises
        ------
        RefusedError
            If the wait is too long, or no engine of the version is left.
        """
        asked_at = asyncio.get_running_loop().time()
        try:
            reservation = await self._reserve(job, memory, waiter)
        except RefusedError as error:
            self._record_continued(job, waiter, asked_at, error.code.name.lower())
            self.class_counts.record(waiter, error)
            raise
        self.class_counts.record(waiter)
        self._record_continued(job, waiter, asked_at, "placed")
        return reservation

    async def _reserve(self, job: Job, memory: TokenMemory, waiter: WaitingStream) -> Reservation:
        refuse_if_version_gone(self._shared, job, waiter.software)
        if self._pools.is_active:
            return await self._reserve_in_pool(job, memory, waiter)
        loop = asyncio.get_running_loop()
        self._waiting.record_arrival(waiter, loop.time())
        if self._is_next(waiter):
            reservation = await self._try_reserve(job, memory, waiter)
            if reservation is not None:
                self._waiting.record_served(waiter)
                return reservation
        self._refuse_long_wait(job, waiter)
        self._waiting.add(waiter)
        self._on_change()
        ends_at = waiter.times.leaves_at - self._limits.work_seconds
        try:
            while loop.time() < ends_at:
                self._shared.guard.check(job)
                refuse_if_hopeless(self._shared, job, waiter.software)
                if waiter.software:
                    refuse_if_unreachable(self._shared, job, waiter.software)
                if self._is_next(waiter):
                    reservation = await self._try_reserve(job, memory, waiter)
                    if reservation is not None:
                        self._waiting.record_served(waiter)
                        return reservation
                elif self._waiting.may_be_displaced(
                    waiter, loop.time()
                ) and not self._are_limits_used_up(job, waiter.software):
                    self._refuse_by_queue(job, waiter)
                await self._wait_for_change()
        finally:
            self._waiting.remove(waiter)
            self._changed.set()
            self._on_change()
        detail = "no memory became free in time"
        raise RefusedError(ResultCode.DEADLINE_UNREACHABLE, detail, RETRY_AFTER_SECONDS)

    async def _wait_for_change(self) -> None:
        self._changed.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECHECK_INTERVAL_SECONDS):
                await self._changed.wait()

    def update_progress(self, reservation: Reservation, output_tokens: int) -> None:
        """Record the number of output tokens that a stream has so far."""
        run = reservation.need.run_at(output_tokens)
        self._run_ledger.progress(reservation.ledger_key, run, asyncio.get_running_loop().time())

    def release(self, reservation: Reservation) -> None:
        """Release a reservation."""
        now = asyncio.get_running_loop().time()
        self._run_ledger.release(reservation.ledger_key)
        if reservation.is_hold_used:
            seconds = now - reservation.reserved_at
            self._release_rate.record(seconds)
            self._pools.record_finished(seconds)
            self._record_use(reservation.need.mean_tokens, seconds, reservation.usable_tokens)
        else:
            if not reservation.is_granted:
                self._shared.links.limits.give_back(reservation.engine, now)
            self._drop(reservation.link, reservation.hold)
        self._changed.set()
        self._on_change()

    def _keep_hold(self, engine: EngineEntry, link: EngineLink, hold: str) -> str:
        """Return a hold, or drop it if the engine has left since it was asked."""
        if not (is_kept := self._shared.fleet.is_accepting(engine)):
            self._drop(link, hold)
        return hold if is_kept else ""

    def _drop(self, link: EngineLink, hold: str) -> None:
        self._shared.links.call_in_background(link, link.calls.release_memory(hold), "drop")

    def _is_next(self, stream: WaitingStream) -> bool:
        now = asyncio.get_running_loop().time()
        return self._waiting.is_next(stream, self._peers_queued(), now)

    def _record_continued(
        self, job: Job, waiter: WaitingStream, asked_at: float, outcome: str
    ) -> None:
        """Record how the wait of a stream that had begun ended, and what it depended on."""
        if not waiter.software:
            return
        self.continued_by_outcome[outcome] += 1
        now = asyncio.get_running_loop().time()
        engines = self._decode_engines(job, waiter.software)
        own, peers = self.queued, self._peers_queued()
        logger.bind(
            request=job.caller.id,
            software=waiter.software,
            outcome=outcome,
            waited=f"{now - asked_at:.3f}",
            patience=f"{waiter.times.leaves_at - asked_at:.3f}",
            engines=len(engines),
            held=self._run_ledger.expected(engines, now),
            ahead_here=sum(each.tokens for each in self._waiting.ahead_of(waiter, now)),
            waiting=own.tokens + peers.tokens,
            in_time_waiting=own.urgent_tokens + peers.urgent_tokens,
        ).info("wait of a stream that goes on ended")

    def _refuse_long_wait(self, job: Job, waiter: WaitingStream) -> None:
        software = waiter.software
        refuse_if_paused(self._shared, job, software)
        now = asyncio.get_running_loop().time()
        patience = waiter.times.leaves_at - self._limits.work_seconds - now
        count = self._waiting.count_ahead_of(waiter, now)
        self._shared.refuse_over_limit(job.service, DECODE_STAGES, count, patience, software)
        if self._are_limits_used_up(job, software):
            return
        refuse_if_unreachable(self._shared, job, software)
        self._refuse_by_queue(job, waiter)

    def _are_limits_used_up(self, job: Job, software: str) -> bool:
        """Return whether the engines' limits allow no stream now, whatever memory is free."""
        return bool(self._shared.limit_wait(job.service, DECODE_STAGES, software=software))

    def _refuse_by_queue(self, job: Job, waiter: WaitingStream) -> None:
        software, now = waiter.software, asyncio.get_running_loop().time()
        engines = engines_of_wait(self._decode_engines(job, software), self._waiting, software)
        held = self._run_ledger.expected(engines, now)
        if software and not held:
            return  # Nothing is known of what its engines hold, so nothing of the wait.
        share = len(engines) / len({*engines, *self._decode_engines(job)})
        rate = self._release_rate.tokens_per_second(held)
        supply = Supply(rate, max(1, self._shared.retry_budgets.gateway_count))
        peers = self._peers_queued()
        decision = self._waiting.decide(waiter, engines, share, peers, supply, now)
        if not decision.should_wait:
            ahead = self._waiting.all_tokens_ahead(software, engines, share, peers, now)
            detail = decision.basis or f"{ahead.tokens} tokens wait, {held} are held"
            raise RefusedError(ResultCode.QUEUE_FULL, detail, decision.seconds)

    def _decode_engines(self, job: Job, software: str = "") -> tuple[EngineEntry, ...]:
        return self._shared.engines_for_stream(job.service, DECODE_STAGES, software)

    def _engine_groups(self, job: Job, waiter: WaitingStream) -> tuple[Sequence[EngineEntry], ...]:
        """Return groups of decode engines to be tried in order."""
        sendable = self._shared.sendable_engines(job.service, DECODE_STAGES, waiter.software)
        now = asyncio.get_running_loop().time()
        awaited = {each.software for each in self._waiting.ahead_of(waiter, now)}
        engines = engines_for(sendable, waiter.software, awaited)
        prefill_stages = (EngineStage.PREFILL,)
        if self._shared.engines_for_stream(job.service, prefill_stages, waiter.software):
            return (engines,)
        is_short = can_prefill_on_decode_engine(
            waiter.need.prompt, self._shared.speed, job.route.gap_seconds, DECODE_ONLY_PAUSE_SHARE
        )
        groups = select_decode_engines(engines, is_short)
        return (*groups, engines) if waiter.software else groups

    async def _reserve_in_pool(
        self, job: Job, memory: TokenMemory, waiter: WaitingStream
    ) -> Reservation:
        """Reserve memory where a coordinator grants it; if none replies, the engines decide."""
        full_engine, need, software = "", waiter.need, waiter.software
        run = run_of(need, usable_tokens(memory))
        stream = self._pools.stream_to_place(job, need, run, waiter.times, software)
        ends_at = waiter.times.leaves_at - self._limits.work_seconds
        grants = 0
        while grants < MAX_GRANTS:
            refuse_if_hopeless(self._shared, job, software)
            grant = await self._pools.place(stream, full_engine)
            if grant is None:
                reservation = await self._try_reserve(job, memory, waiter)
                if reservation is not None:
                    return reservation
                # One that goes on is bound to the pools of its version, and asks them again.
                if not software or asyncio.get_running_loop().time() >= ends_at:
                    break
                refuse_if_unreachable(self._shared, job, software)
                full_engine = ""
                await self._wait_for_change()
                continue
            grants += 1
            full_engine = grant.engine
            engines = {each.id: each for each in self._decode_engines(job, software)}
            if (granted := engines.get(full_engine)) is None:
                continue
            reservation = await self._request_hold(job, granted, memory, need, run, grant)
            if reservation is not None:
                reservation.prefill_engine = grant.prefill_engine
                return reservation
        raise RefusedError(
            ResultCode.NO_BACKEND, "the granted engines had no memory", RETRY_AFTER_SECONDS
        )

    async def _try_reserve(
        self, job: Job, memory: TokenMemory, waiter: WaitingStream
    ) -> Reservation | None:
        need, loop = waiter.need, asyncio.get_running_loop()
        usable, tried = usable_tokens(memory), set[str]()
        run = run_of(need, usable)
        while True:
            candidates = [
                engine
                for group in self._engine_groups(job, waiter)
                for engine in self._run_ledger.candidates(
                    group, usable, run, loop.time(), self._shared.placer
                )
            ]
            candidates.sort(key=lambda each: each.id in waiter.avoided)
            engine = next((each for each in candidates if each.id not in tried), None)
            if engine is None:
                return None
            tried.add(engine.id)
            reservation = await self._request_hold(job, engine, memory, need, run)
            if reservation is not None:
                return reservation

    async def _request_hold(
        self,
        job: Job,
        engine: EngineEntry,
        memory: TokenMemory,
        need: MemoryNeed,
        run: GrowingRun,
        grant: PoolGrant | None = None,
    ) -> Reservation | None:
        loop, links = asyncio.get_running_loop(), self._shared.links
        limits, link = links.limits, links.link_to(engine)
        if grant is None and not limits.take(engine, loop.time()):
            return None
        ledger_key = self._run_ledger.take(engine.id, run, loop.time())
        if grant is not None:
            self._pools.confirm(grant)
        self._on_change()
        if grant is not None:
            is_exact = grant.is_exact
        else:
            # With relays but no coordinator, only the streams of this gateway are known here.
            is_exact = not (self._pools.is_active or self._has_incomplete_view())
        tokens = need.held if is_exact else need.tokens
        tokens = min(tokens, memory.capacity_tokens)
        hold = ""
        try:
            call = link.calls.reserve_memory(tokens, memory.longest_hold_seconds)
            status, body = await link.call(call)
            if status == 200:
                hold = self._keep_hold(engine, link, link.calls.parse_hold(body))
        except (HttpError, DecodeError) as error:
            logger.bind(request=job.caller.id, engine=engine.id, error=str(error)).info(
                "no reservation"
            )
        finally:
            if not hold:
                if grant is None:
                    limits.give_back(engine, loop.time())
                self._run_ledger.release(ledger_key)
                self._run_ledger.record_refusal(
                    engine.id, run.tokens, loop.time() + REFUSAL_VALID_SECONDS
                )
                self._on_change()
        if not hold:
            return None
        log_reserved(job, engine.id, tokens, need, self._run_ledger.held(engine.id, loop.time()))
        return Reservation(
            engine,
            link,
            need,
            usable_tokens(memory),
            ledger_key,
            hold,
            loop.time(),
            is_granted=grant is not None,
        )
