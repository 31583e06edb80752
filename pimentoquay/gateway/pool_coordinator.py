"""Coordinator of pools of engines: places the streams of all gateways in them.

Every gateway can coordinate pools; ``policy/pools.py`` determines which does. All that it
knows is rebuilt from the reports of the gateways, so nothing is handed over when it changes.
"""

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.peer_loads import runs_by_engine
from pimentoquay.gateway.shared_state import MAX_LIMIT_WAIT_SECONDS, SharedState
from pimentoquay.gateway.stream_classes import PlaceClasses, log_refusal, need_of
from pimentoquay.kernel import Node
from pimentoquay.kernel.clock import boot_time
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import VmWork
from pimentoquay.messages.pools import (
    PlaceCancelled,
    PlaceClass,
    PlaceOutcome,
    PlaceReply,
    PlaceRequest,
    PoolKey,
    PoolReport,
    PoolSummary,
)
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import DECODE_STAGES, EngineEntry, EngineStage
from pimentoquay.policy.granted_prefills import GrantedPrefills
from pimentoquay.policy.pool_placement import Grant, PoolPlacement, StreamKey
from pimentoquay.policy.prefill_choice import choose_prefill_engine
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.version_choice import may_run

__all__ = ["SUMMARY_SECONDS", "PoolCoordinator"]

TICK_SECONDS = 0.05
"""Interval at which waiting streams are tried again if nothing is reported."""

SUMMARY_SECONDS = 0.25
"""Interval of the summaries of a pool."""

RETRY_AFTER_SECONDS = 0.5
"""Retry-After value if a stream has waited in vain."""

IDLE_TICK_SECONDS = 0.5
"""Interval of ticks of a gateway that is no relay and so coordinates nothing."""

HOLD_NEW_SECONDS = 0.5
"""Time after the start of a coordinator in which all waiting streams have been asked for again;
gateways repeat their requests at this interval."""

HOLD_STALLED_SECONDS = 0.1
"""Time after a stall in which the requests that arrived meanwhile are read."""

STALLED_SECONDS = 0.4
"""Time between two ticks after which the process must have stalled: much longer than the turns of
other work on the smallest machines."""

SUSPENDED_SECONDS = 1.0
"""Time between two ticks after which the process must have been suspended; what it knew before is
out of date."""


@dataclass
class _Pool:
    """A pool that this gateway coordinates, and the last report of each gateway."""

    placement: PoolPlacement
    started_at: float
    classes: PlaceClasses = field(default_factory=PlaceClasses)
    summarised_at: float = float("-inf")
    report_by_vm: dict[str, PoolReport] = field(default_factory=dict)
    prefills: GrantedPrefills = field(default_factory=GrantedPrefills)


class PoolCoordinator:
    """Answers requests to place streams in the pools that this gateway coordinates.

    Parameters
    ----------
    node, shared
        The process, and the engines and links.
    usable_tokens
        Returns the usable memory of each engine of a service, in tokens; 0 if it has none.
    coordinator_of
        Returns the VM that coordinates a pool.
    send_to
        Sends a message to a VM.
    broadcast
        Sends a summary to all gateways, including this one.
    """

    def __init__(
        self,
        node: Node,
        shared: SharedState,
        usable_tokens: Callable[[str], int],
        coordinator_of: Callable[[PoolKey], str | None],
        send_to: Callable[[str, Any], None],
        broadcast: Callable[[PoolSummary], None],
    ) -> None:
        self._node = node
        self._shared = shared
        self._usable_tokens = usable_tokens
        self._coordinator_of = coordinator_of
        self._send_to = send_to
        self._broadcast = broadcast
        self._pool_by_key: dict[PoolKey, _Pool] = {}
        self._sequence = 0
        self._ticked_at = self._ticked_at_boot = 0.0
        self._listed_at = float("-inf")
        self.is_active = False

    def start(self) -> None:
        """Begin to place waiting streams and to send summaries."""
        self._ticked_at = self._node.timers.now()
        self._ticked_at_boot = boot_time()
        self._tick()

    @singledispatchmethod
    def receive(self, message: Any, source: str) -> None:
        """Handle a message of a gateway; those of other types are not for a coordinator."""

    @receive.register
    def _handle_class(self, message: PlaceClass, source: str) -> None:
        if (pool := self._pool(message.pool)) is not None:
            pool.classes.record(source, message)

    @receive.register
    def _handle_request(self, message: PlaceRequest, source: str) -> None:
        key = message.pool
        if (pool := self._pool(key)) is None:
            self._reply(source, message.key, message.pool, PlaceOutcome.NOT_COORDINATOR)
            return
        now, stream_key = self._node.timers.now(), (source, message.key)
        service_class = pool.classes.of(source, message.key)
        if message.full_engine:
            pool.placement.record_full(stream_key, message.full_engine, now)
        if (grant := pool.placement.grant_of(stream_key)) is not None:
            self._reply_granted(pool, stream_key, message.pool, grant)
            return
        need = need_of(message, service_class, now)
        is_new = pool.placement.request(stream_key, need, now)
        self._place_waiting(key, pool)
        if not pool.placement.is_waiting(stream_key):
            return
        outcome, seconds = PlaceOutcome.QUEUED, 0.0
        if is_new:
            closed = self._shared.closed_versions(key.service, DECODE_STAGES)
            listed = self._decode_engines(key)
            engines = [each for each in listed if may_run(each, message.software, closed)]
            limits = self._shared.links.limits
            if (wait := self._limit_wait(key, pool)) > message.leaves_in:
                pool.placement.cancel(stream_key)
                outcome, seconds = PlaceOutcome.REFUSED, min(wait, MAX_LIMIT_WAIT_SECONDS)
            elif not engines or any(limits.may_grant(engine, now) for engine in engines):
                decision = pool.placement.refuse_long_wait(stream_key, listed, now, closed)
                if not decision.should_wait:
                    outcome, seconds = PlaceOutcome.REFUSED, decision.seconds
                    log_refusal(key, source, service_class, decision, now - pool.started_at)
        self._reply(source, message.key, message.pool, outcome, seconds)

    @receive.register
    def _handle_cancelled(self, message: PlaceCancelled, source: str) -> None:
        if (pool := self._pool_by_key.get(message.pool)) is not None:
            pool.placement.cancel((source, message.key))
            pool.classes.forget(source, message.key)

    @receive.register
    def _handle_report(self, message: PoolReport, source: str) -> None:
        key = message.pool
        if (pool := self._pool(key)) is None:
            return
        known = pool.report_by_vm.get(source)
        is_same_start = known is not None and known.incarnation == message.incarnation
        if known is not None and is_same_start and message.number <= known.number:
            return
        pool.report_by_vm[source] = message
        pool.placement.apply_report(
            source,
            runs_by_engine(message.running),
            {each.engine: each.tokens for each in message.prefilling},
            message.last_grant,
            self._node.timers.now(),
        )
        pool.placement.ledger.tokens_per_second = message.tokens_per_second
        if known is not None and is_same_start and message.finished > known.finished:
            seconds = message.finished_seconds - known.finished_seconds
            pool.placement.record_finished(message.finished - known.finished, seconds)
        self._place_waiting(key, pool)

    def _pool(self, key: PoolKey) -> _Pool | None:
        """Return a pool if this gateway coordinates it."""
        if not self.is_active or self._coordinator_of(key) != self._node.identity.vm:
            return None
        pool = self._pool_by_key.get(key)
        if pool is None:
            now = self._node.timers.now()
            pool = self._pool_by_key[key] = _Pool(PoolPlacement(key.data_centre, now), now)
            pool.placement.ledger.keeps_pause = self._shared.pauses.keeps
            self._hold_lower(pool, now + HOLD_NEW_SECONDS)
            logger.bind(pool=str(key)).info("pool coordinated here")
        return pool

    def _tick(self) -> None:
        """Do what is due, and schedule the next tick; without pools, ticks are rare."""
        self._node.timers.after(TICK_SECONDS if self.is_active else IDLE_TICK_SECONDS, self._tick)
        now = self._node.timers.now()
        self._check_stall(now)
        if not self.is_active:
            self._pool_by_key.clear()
            return
        if now - self._listed_at >= SUMMARY_SECONDS:
            self._listed_at = now
            listed = self._listed_pools()
            for key in self._pool_by_key.keys() - listed:
                del self._pool_by_key[key]
            for key in listed:
                self._pool(key)
        for key, pool in tuple(self._pool_by_key.items()):
            if self._pool(key) is None:
                del self._pool_by_key[key]
                logger.bind(pool=str(key)).info("pool coordinated elsewhere")
                continue
            for vm, stream in pool.placement.expire(now):
                outcome = PlaceOutcome.REFUSED
                self._reply(vm, stream, key, outcome, seconds=RETRY_AFTER_SECONDS)
            self._place_waiting(key, pool)
            self._displace(key, pool, now)
            if now - pool.summarised_at >= SUMMARY_SECONDS:
                pool.summarised_at = now
                self._broadcast(self._summary(key, pool, now))

    def _hold_lower(self, pool: _Pool, until: float) -> None:
        priorities = self._shared.stream_priorities
        if len(priorities) > 1:
            pool.placement.hold_lower(priorities[0], until)

    def _displace(self, key: PoolKey, pool: _Pool, now: float) -> None:
        """Refuse waiting streams that can't be served as others come before them.

        Nothing is refused for lack of memory while the limits of the engines allow no stream.
        """
        if not pool.placement.is_mixed(now):
            return
        closed = self._shared.closed_versions(key.service, DECODE_STAGES)
        engines, limits = self._decode_engines(key), self._shared.links.limits
        usable = [each for each in engines if may_run(each, "", closed)]
        if usable and not any(limits.may_grant(each, now) for each in usable):
            return
        for displaced in pool.placement.displace(engines, now, closed):
            (vm, stream), service_class, decision = displaced
            self._reply(vm, stream, key, PlaceOutcome.REFUSED, decision.seconds)
            log_refusal(key, vm, service_class, decision, now - pool.started_at)

    def _check_stall(self, now: float) -> None:
        """Forget the pools after a suspension, and hold lower priorities after a short stall."""
        boot_now = boot_time()
        if max(now - self._ticked_at, boot_now - self._ticked_at_boot) > SUSPENDED_SECONDS:
            self._pool_by_key.clear()
        elif now - self._ticked_at > STALLED_SECONDS:
            for stalled in self._pool_by_key.values():
                self._hold_lower(stalled, now + HOLD_STALLED_SECONDS)
        self._ticked_at_boot = boot_now
        self._ticked_at = now

    def _listed_pools(self) -> list[PoolKey]:
        fleet = self._shared.fleet
        services = {engine.service for engine in fleet.engines()}
        with_memory = sorted(each for each in services if self._usable_tokens(each) > 0)
        return [key for service in with_memory for key in fleet.pools(service)]

    def _available_engines(
        self, key: PoolKey, stages: Collection[EngineStage]
    ) -> list[EngineEntry]:
        """Return the engines of a pool that accept work of one of the stages now."""
        ids = {engine.id for engine in self._shared.fleet.pools(key.service).get(key, ())}
        available = self._shared.available_engines(key.service, stages)
        return [engine for engine in available if engine.id in ids]

    def _decode_engines(self, key: PoolKey) -> list[EngineEntry]:
        return self._available_engines(key, DECODE_STAGES)

    def _place_waiting(self, key: PoolKey, pool: _Pool) -> None:
        now = self._node.timers.now()
        engines: list[EngineEntry] | None = None
        usable = self._usable_tokens(key.service)
        while pool.placement.has_waiting:
            if engines is None:
                limits = self._shared.links.limits
                closed = self._shared.closed_versions(key.service, DECODE_STAGES)
                engines = [
                    engine for engine in self._decode_engines(key) if limits.may_grant(engine, now)
                ]
            placed = pool.placement.place_next(engines, usable, now, closed)
            if placed is None:
                return
            stream_key, engine = placed
            if limits.limited:
                limits.take_grant(engine, now)
                engines = None
            prefill_engine = self._prefill_engine(key, pool, stream_key)
            grant = pool.placement.grant(stream_key, engine, prefill_engine, now)
            self._reply_granted(pool, stream_key, key, grant)

    def _prefill_engine(
        self, key: PoolKey, pool: _Pool, stream_key: StreamKey
    ) -> EngineEntry | None:
        stream = pool.placement.stream_of(stream_key)
        limits, now = self._shared.links.limits, self._node.timers.now()
        stages = (EngineStage.PREFILL,)
        available = self._available_engines(key, stages)
        closed = self._shared.closed_versions(key.service, stages)
        chosen = choose_prefill_engine(
            [
                engine
                for engine in available
                if limits.may_grant(engine, now) and may_run(engine, stream.software, closed)
            ],
            pool.placement.prefill_ledger,
            self._shared.speeds.of(key.service),
            Placer(self._node.identity.vm, key.data_centre),
            stream.may_prefill_on_decode_engine,
            stream.prompt,
            now,
        )
        if chosen is not None:
            limits.take_grant(chosen, now)
            ahead = pool.placement.prefill_ledger.held(chosen.id)
            pool.prefills.add(stream_key[0], chosen.id, stream.prompt, ahead, now)
        return chosen

    def ledger_of(self, key: PoolKey) -> RunLedger | None:
        """Return the ledger of the streams in a pool, if it is coordinated here."""
        pool = self._pool_by_key.get(key)
        return pool.placement.ledger if pool is not None else None

    def prefill_ahead(self, key: PoolKey, vm: str, engine: str, tokens: int) -> int | None:
        """Return the tokens before a prompt that was granted here, in the queue of its engine."""
        pool = self._pool_by_key.get(key)
        now = self._node.timers.now()
        return pool.prefills.ahead(vm, engine, tokens, now) if pool is not None else None

    def _limit_wait(self, key: PoolKey, pool: _Pool) -> float:
        """Return the seconds until all waiting streams may be placed by the engines' limits."""
        limits = [
            self._shared.links.limits.limit_of(engine.start) for engine in self._decode_engines(key)
        ]
        known = [limit for limit in limits if limit is not None]
        if not known or len(known) < len(limits):
            return 0.0
        return pool.placement.waiting_count / sum(known)

    def _reply_granted(
        self, pool: _Pool, stream_key: StreamKey, pool_key: PoolKey, grant: Grant
    ) -> None:
        vm, key = stream_key
        is_exact = pool.placement.is_settled(self._node.timers.now())
        granted = grant.engine, grant.prefill_engine, grant.number
        self._send_to(vm, PlaceReply(key, pool_key, PlaceOutcome.GRANTED, *granted, 0.0, is_exact))

    def _reply(
        self, vm: str, key: str, pool: PoolKey, outcome: PlaceOutcome, seconds: float = 0.0
    ) -> None:
        self._send_to(vm, PlaceReply(key, pool, outcome, "", "", 0, seconds, True))

    def _summary(self, key: PoolKey, pool: _Pool, now: float) -> PoolSummary:
        closed = self._shared.closed_versions(key.service, DECODE_STAGES)
        engines = [each for each in self._decode_engines(key) if may_run(each, "", closed)]
        state = pool.placement.state(engines, self._usable_tokens(key.service), now)
        work = [report.work for report in pool.report_by_vm.values()]
        self._sequence += 1
        identity = self._node.identity
        return PoolSummary(
            key,
            identity.vm,
            identity.incarnation,
            self._sequence,
            state.capacity,
            state.free,
            state.largest_free,
            state.waiting,
            pool.placement.ledger.expected(engines, now),
            VmWork(
                sum(each.prefills for each in work),
                sum(each.prefill_seconds for each in work),
                sum(each.decodes for each in work),
                sum(each.decode_seconds for each in work),
            ),
        )
