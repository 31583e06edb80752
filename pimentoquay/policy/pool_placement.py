"""Placement of streams in one pool of engines, as its coordinator decides it.

Load pattern: bursts of up to twice the rate that the engines' memory allows, from many gateways.
The coordinator sees all streams of its pool at once, so each is placed by the present state, and
waiting streams are served in one order: by priority and share (``service_order``), then those that
can still begin in time, then by arrival.

Failure pattern: gateways that fail or are cut off while they hold grants or wait, and a coordinator
that starts without knowledge. A grant counts until its gateway reports the stream, or for a short
time; a waiting stream is dropped unless its gateway repeats the request.
"""

import heapq
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.memory_forecast import GrowingRun, peak_tokens
from pimentoquay.policy.pools import PoolState
from pimentoquay.policy.priority_hold import PriorityHold
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.service_order import Rank, ServiceOrder, Supply
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    ReleaseRate,
    WaitDecision,
    decide_wait,
)
from pimentoquay.policy.stream_need import Grant, StreamNeed
from pimentoquay.policy.stream_queue import engines_of_wait, parts_ahead, tokens_ahead
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.policy.version_choice import may_run

__all__ = ["Grant", "PoolPlacement", "StreamNeed"]

GRANT_SECONDS = 1.0
"""Time for which a grant counts if its gateway does not report the stream, in seconds."""

REPEAT_SECONDS = 1.6
"""Time after which a waiting stream is dropped if its request is not repeated, in seconds."""

REFUSAL_SECONDS = 0.25
"""Time for which an engine counts as full after it refused a reservation, in seconds."""

SETTLE_SECONDS = 0.8
"""Time in seconds after which all gateways have reported to a new coordinator."""

REPORT_TIMEOUT_SECONDS = 3.2
"""Time without a report after which a gateway counts as lost, in seconds."""

MAX_TRIED = 8
"""Maximum number of waiting streams that are tried at once, which bounds the work per change: of
new ones, and of those of each software version that has no more engines."""

MAX_DISPLACED = 8
"""Maximum number of waiting streams that are refused at once, which bounds the work per tick."""

StreamKey = tuple[str, str]
"""VM of a stream's gateway and the key of its request."""


@dataclass(frozen=True)
class _Waiting:
    stream: StreamNeed
    repeated_at: float
    is_regrant: bool


class PoolPlacement:
    """Streams of one pool: running, granted and waiting.

    Parameters
    ----------
    data_centre
        Data centre of the pool.
    now
        Time at which this VM became the coordinator, in seconds.
    """

    def __init__(self, data_centre: str, now: float) -> None:
        self.ledger = RunLedger()
        self.prefill_ledger = TokenLedger()
        self._placer = Placer("", data_centre)
        self._limits = AdmissionLimits()
        self._release_rate = ReleaseRate()
        self._started_at = now
        self._order = ServiceOrder(self._limits)
        self._waiting_by_key: dict[StreamKey, _Waiting] = {}
        self._grant_by_key: dict[StreamKey, Grant] = {}
        self._reported_at_by_vm: dict[str, float] = {}
        self._next_number = 0
        self._hold = PriorityHold()

    def hold_lower(self, highest: int, until: float) -> None:
        """Place and refuse no new streams of priorities below the highest until a time."""
        self._hold.hold_lower(highest, until)

    def is_settled(self, now: float) -> bool:
        """Return whether all gateways had time to report their streams."""
        return now - self._started_at >= SETTLE_SECONDS

    def grant_of(self, key: StreamKey) -> Grant | None:
        """Return the grant of a stream that its gateway has not reported yet."""
        return self._grant_by_key.get(key)

    @property
    def has_waiting(self) -> bool:
        """Whether any stream waits."""
        return bool(self._waiting_by_key)

    @property
    def waiting_count(self) -> int:
        """Number of streams that wait."""
        return len(self._waiting_by_key)

    def is_waiting(self, key: StreamKey) -> bool:
        """Return whether a stream waits."""
        return key in self._waiting_by_key

    def is_mixed(self, now: float) -> bool:
        """Return whether streams wait, and ones of several priorities or workspaces came lately."""
        return self.has_waiting and self._order.is_mixed(now)

    def request(self, key: StreamKey, stream: StreamNeed, now: float) -> bool:
        """Let a stream wait; return whether it is new. One that waits already keeps its place."""
        known = self._waiting_by_key.get(key)
        is_regrant = known.is_regrant if known is not None else stream.is_regrant
        self._waiting_by_key[key] = _Waiting(stream, now, is_regrant)
        if known is None and not is_regrant:
            self._order.record_arrival(stream, now)
        if known is None or known.stream.service_class != stream.service_class:
            self._order.add(key, stream)
        return known is None

    def refuse_long_wait(
        self,
        key: StreamKey,
        engines: Sequence[EngineEntry],
        now: float,
        closed: Collection[str] = (),
    ) -> WaitDecision:
        """Decide whether a waiting stream may go on waiting; it is dropped if not.

        Parameters
        ----------
        key
            The stream, for which no engine has room now.
        engines
            Decode engines of the pool that accept work.
        now
            Current time in seconds.
        closed
            Versions at which no new stream may begin.
        """
        decision = self._decide(key, engines, now, closed)
        if not decision.should_wait:
            self._stop_waiting(key)
        return decision

    def displace(
        self, engines: Sequence[EngineEntry], now: float, closed: Collection[str] = ()
    ) -> list[tuple[StreamKey, tuple[int, str], WaitDecision]]:
        """Drop the streams that can no longer be served since others have come before them.

        Load pattern: a burst of a higher priority, or of other workspaces, after streams of a lower
        one or of a workspace over its share were let wait. The last in order are refused at once.
        The parameters are those of ``refuse_long_wait``.
        """
        # Before all gateways have reported, little memory is known to be held, so that little
        # seems to come free.
        if not self.is_settled(now) or not self.is_mixed(now):
            return []
        ranks = self._ranks(now)
        displaced = []
        for key in heapq.nlargest(MAX_DISPLACED, ranks, key=ranks.__getitem__):
            stream = self._waiting_by_key[key].stream
            if not self._order.is_excess(stream, now):
                break
            decision = self._decide(key, engines, now, closed, True)
            if decision.should_wait:
                break
            self._stop_waiting(key)
            displaced.append((key, stream.service_class, decision))
        return displaced

    def _decide(
        self,
        key: StreamKey,
        engines: Sequence[EngineEntry],
        now: float,
        closed: Collection[str],
        is_waiting: bool = False,
    ) -> WaitDecision:
        stream = self._waiting_by_key[key].stream
        others = [each.stream for other, each in self._waiting_by_key.items() if other != key]
        listed = [each for each in engines if may_run(each, stream.software, closed)]
        usable = engines_of_wait(listed, others, stream.software)
        share = len(usable) / max(1, len(engines))
        held = self.ledger.expected(usable, now)
        if self._hold.is_held(stream, now) or (stream.software and not held):
            return WaitDecision(True, 0.0)
        rate = self._release_rate.tokens_per_second(held)
        if self._order.is_mixed(now):
            parts = parts_ahead(others, stream.software, usable, share)
            return self._order.decide(stream, parts, Supply(rate), now, is_waiting)
        ahead = tokens_ahead(others, stream.software, usable, share, now, self._limits)
        return decide_wait(
            stream.need, ahead.urgent_tokens, ahead.tokens, rate, stream.times, now, self._limits
        )

    def cancel(self, key: StreamKey) -> None:
        """Forget a stream whose caller has left."""
        self._stop_waiting(key)
        self._drop_grant(key)

    def record_full(self, key: StreamKey, engine: str, now: float) -> None:
        """Record that an engine refused memory for a stream that it was granted to."""
        grant = self._grant_by_key.get(key)
        if grant is not None and grant.engine == engine:
            self._drop_grant(key)
        self.ledger.record_refusal(engine, 0, now + REFUSAL_SECONDS)

    def place_next(
        self,
        engines: Sequence[EngineEntry],
        usable: int,
        now: float,
        closed: Collection[str] = (),
    ) -> tuple[StreamKey, EngineEntry] | None:
        """Place the next waiting stream; ``None`` if none waits or no engine has room for one.

        Load pattern: bursts of up to twice the rate that the engines' memory allows. A stream that
        fits nowhere keeps the engine with the most room for itself, so that smaller ones do not
        pass it for ever, and the streams behind it use the other engines meanwhile.

        Parameters
        ----------
        engines
            Decode engines of the pool that accept work.
        usable
            Usable memory of each engine, in tokens.
        now
            Current time in seconds.
        closed
            Versions at which no new stream may begin.
        """
        if not self._waiting_by_key:
            return None
        runs_by_engine = self.ledger.runs_of_all(now)
        free = list(engines)
        for key in self._first_waiting(engines, now):
            stream = self._waiting_by_key[key].stream
            eligible = [each for each in free if may_run(each, stream.software, closed)]
            run = stream.run
            if run.tokens + run.remaining > usable:
                run = GrowingRun(min(run.tokens, usable), 0)
            candidates = self.ledger.candidates(
                eligible, usable, run, now, self._placer, runs_by_engine
            )
            if candidates:
                return key, candidates[0]
            if not free:
                return None
            if not eligible:
                continue
            emptiest = min(
                eligible, key=lambda each: (peak_tokens(runs_by_engine.get(each.id, ())), each.id)
            )
            free.remove(emptiest)
        return None

    def grant(
        self, key: StreamKey, engine: EngineEntry, prefill_engine: EngineEntry | None, now: float
    ) -> Grant:
        """Grant engines to a waiting stream."""
        waiting = self._waiting_by_key.pop(key)
        stream = waiting.stream
        if waiting.is_regrant:
            self._order.remove(key)
        else:
            self._order.serve(key, stream)
        self._next_number += 1
        ledger_key = self.ledger.take(engine.id, stream.run, now)
        if prefill_engine is not None:
            self.prefill_ledger.take(prefill_engine.id, stream.prompt)
        grant = Grant(
            self._next_number,
            engine.id,
            prefill_engine.id if prefill_engine is not None else "",
            stream.prompt,
            ledger_key,
            now,
        )
        self._grant_by_key[key] = grant
        return grant

    def stream_of(self, key: StreamKey) -> StreamNeed:
        """Return a waiting stream; ``KeyError`` if it does not wait."""
        return self._waiting_by_key[key].stream

    def apply_report(
        self,
        vm: str,
        runs_by_engine: Mapping[str, tuple[GrowingRun, ...]],
        prefill_tokens_by_engine: Mapping[str, int],
        last_grant: int,
        now: float,
    ) -> None:
        """Replace what a gateway has in the pool; its grants up to ``last_grant`` are contained."""
        self._reported_at_by_vm[vm] = now
        self.ledger.set_peer(vm, runs_by_engine, now)
        self.prefill_ledger.set_peer(vm, prefill_tokens_by_engine)
        for key, grant in tuple(self._grant_by_key.items()):
            if key[0] == vm and grant.number <= last_grant:
                self._drop_grant(key)

    def record_finished(self, streams: int, seconds: float) -> None:
        """Record that a number of streams have ended, after ``seconds`` in total."""
        for _ in range(min(streams, 20)):
            self._release_rate.record(seconds / streams)

    def expire(self, now: float) -> list[StreamKey]:
        """Drop what is out of date; return the waiting streams that can no longer be served."""
        for key, grant in tuple(self._grant_by_key.items()):
            if now - grant.granted_at > GRANT_SECONDS:
                self._drop_grant(key)
        for vm, reported_at in tuple(self._reported_at_by_vm.items()):
            if now - reported_at > REPORT_TIMEOUT_SECONDS:
                del self._reported_at_by_vm[vm]
                self.ledger.mark_peer_lost(vm)
                self.prefill_ledger.remove_peer(vm)
        missed = []
        for key, waiting in tuple(self._waiting_by_key.items()):
            ends_at = waiting.stream.times.leaves_at - self._limits.work_seconds
            is_lost = now - waiting.repeated_at > REPEAT_SECONDS
            if is_lost or now >= ends_at:
                self._stop_waiting(key)
                if not is_lost:
                    missed.append(key)
        return missed

    def state(self, engines: Sequence[EngineEntry], usable: int, now: float) -> PoolState:
        """Return the summary that the gateways choose a pool by."""
        runs_by_engine = self.ledger.runs_of_all(now)
        free = [
            max(0, usable - peak_tokens(runs_by_engine.get(engine.id, ()))) for engine in engines
        ]
        waiting = sum(each.stream.need for each in self._waiting_by_key.values())
        return PoolState(usable * len(engines), sum(free), max(free, default=0), waiting)

    def _first_waiting(self, engines: Sequence[EngineEntry], now: float) -> list[StreamKey]:
        """Return the streams to be tried in order, so that no version holds up the others.

        Of those bound to a version, as many are tried as it has engines. Each that fits nowhere
        keeps one, so the next could get none.
        """
        ranks = self._ranks(now)
        keys_by_software: dict[str, list[StreamKey]] = {}
        for key, waiting in self._waiting_by_key.items():
            if not self._hold.is_held(waiting.stream, now):
                keys_by_software.setdefault(waiting.stream.software, []).append(key)
        engines_by_software = Counter(each.software_version for each in engines)
        first: list[StreamKey] = []
        for software, keys in keys_by_software.items():
            count = max(MAX_TRIED, engines_by_software[software]) if software else MAX_TRIED
            first += heapq.nsmallest(count, keys, key=ranks.__getitem__)
        return sorted(first, key=ranks.__getitem__)

    def _ranks(self, now: float) -> dict[StreamKey, tuple[Rank, StreamKey]]:
        """Return the places of the waiting streams; the lowest is served first."""
        waiting = [(key, each.stream) for key, each in self._waiting_by_key.items()]
        promoted = self._order.promoted(waiting, now)
        return {
            key: (self._order.rank(stream, now, key == promoted), key) for key, stream in waiting
        }

    def _stop_waiting(self, key: StreamKey) -> None:
        self._waiting_by_key.pop(key, None)
        self._order.remove(key)

    def _drop_grant(self, key: StreamKey) -> None:
        grant = self._grant_by_key.pop(key, None)
        if grant is not None:
            self.ledger.remove(grant.ledger_key)
            if grant.prefill_engine:
                self.prefill_ledger.release(grant.prefill_engine, grant.prompt)
