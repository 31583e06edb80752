"""Scheduler of one shard, a state machine without I/O.

``ShardScheduler`` keeps the only ledger of the shard. Callers pass in messages and the time, send
the messages from ``take_outbox`` after each call, and call ``dispatch`` at ``wake_at``. Placements
are attempted again only after a change that can affect them: a message has arrived, or a time has
passed at which an engine, a circuit or a deadline changes.

Example
-------
::

    scheduler = ShardScheduler(shard, SchedulerSection(), now)
    scheduler.engines.update_status(status)
    scheduler.place(entry, request, now)
    for outgoing in scheduler.take_outbox():
        send(outgoing.entry, outgoing.message)
"""

import math
from dataclasses import dataclass, replace
from typing import Any

from pimentoquay.backends.events import StageUse
from pimentoquay.kernel import ResultCode
from pimentoquay.membership import Shard
from pimentoquay.messages.cluster import ShardSummary
from pimentoquay.messages.placement import (
    FindRequest,
    Grant,
    GrantRecord,
    Located,
    PlaceRequest,
    Refusal,
    Release,
    ReplaceRequest,
    Stage,
    StageReport,
)
from pimentoquay.policy import (
    KV_LIFETIME_SECONDS,
    AdmissionLimits,
    Choice,
    CircuitLimits,
    Circuits,
    Demand,
    FairQueue,
    PrefixIndex,
    RetryBudget,
    RetryLimits,
    SpeedBook,
    StartingSpeeds,
    admit,
    estimated_wait,
)
from pimentoquay.scheduler.engines import EngineSet, probe_keys
from pimentoquay.scheduler.learning import Learner
from pimentoquay.scheduler.ledger import EntryKey, GrantState, Ledger, announced_grant
from pimentoquay.scheduler.selection import Selector
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.scheduler.stage_use import StageUseAverage
from pimentoquay.scheduler.waiting import (
    ServiceTimes,
    WaitingQueue,
    WaitingRequest,
    waiting_request,
)

__all__ = ["Outgoing", "ShardScheduler"]

WAKE_MARGIN_SECONDS = 0.001
"""Seconds added to the time of an expected change, so that the wake-up comes after it."""

RETRY_AFTER_SECONDS = 1.0
"""Retry hint in seconds for a request whose failed attempt is not repeated."""


@dataclass(frozen=True)
class Outgoing:
    """A message to be sent to an entry process."""

    entry: EntryKey
    message: Any


class ShardScheduler:
    """Queue, ledger and placement decisions of one shard.

    All times named ``now`` are in seconds of the same clock.

    Parameters
    ----------
    shard
        The shard with its engines.
    section
        The ``[scheduler]`` settings.
    now
        Time at which this VM became the owner. Nothing is granted until the rebuild grace has
        passed, so that entries can first announce the grants of the previous owner.
    """

    def __init__(self, shard: Shard, section: SchedulerSection, now: float) -> None:
        self.shard = shard
        self._section = section
        self.ledger = Ledger()
        self.speeds = SpeedBook(StartingSpeeds(), section.learning)
        limits = CircuitLimits(longest_wait=section.longest_circuit_wait)
        self.circuits = Circuits(limits)
        self.engines = EngineSet(self.ledger, self.circuits, self.speeds)
        self.engines.update_shard(shard)
        self.waiting = WaitingQueue(FairQueue(section.fair_quantum, section.fairness))
        self.budget = RetryBudget(RetryLimits(section.retry_fraction, section.retry_reserve))
        self.prefixes = PrefixIndex()
        self._admission = AdmissionLimits(
            section.max_queued, section.deadline_share, section.admission
        )
        self._selector = Selector(self.ledger, self.engines, self.speeds, self.prefixes, section)
        self._ready_at = now + section.rebuild_grace
        self._learner = Learner(
            self.ledger, self.speeds, self.prefixes, self.circuits, self.budget, section.circuits
        )
        self._stage_use = StageUseAverage()
        self._outbox: list[Outgoing] = []
        self._blocked_id = ""
        self.wake_at = math.inf

    def take_outbox(self) -> list[Outgoing]:
        """Remove and return the messages to be sent."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def place(self, entry: EntryKey, request: PlaceRequest, now: float) -> None:
        """Queue a request, or refuse it immediately."""
        self._drop(request.request_id, now)
        service = self._selector.service(request, now)
        deadline = now + request.deadline_in
        demand = Demand(
            ahead=self.waiting.ahead_of(request, deadline, service.hold),
            service=service.first_token,
            deadline_in=request.deadline_in,
            held=self.ledger.count_for_workspace(request.workspace)
            + self.waiting.count_for_workspace(request.workspace),
            limit=request.workspace_limit,
            queued=len(self.waiting),
        )
        decision = admit(demand, self._selector.shard_load(now), self._admission)
        if decision.code is not ResultCode.OK:
            self._refuse(entry, request, decision.code, decision.retry_after)
            return
        self.waiting.add(waiting_request(entry, request, deadline, service, now))
        if self._is_blocked(now):
            self.wake_at = min(self.wake_at, self._next_expiry() + WAKE_MARGIN_SECONDS)
        else:
            self.dispatch(now)

    def report(self, report: StageReport, now: float) -> None:
        """Learn from a finished stage and move its grant to the next one."""
        grant = self.ledger.get(report.request_id)
        if grant is None or grant.request.attempt != report.attempt:
            return
        if report.stage is Stage.PREFILL:
            self._learner.record_prefill(grant, report, now)
        elif report.stage is Stage.TRANSFER:
            self._learner.record_transfer(grant, report, now)
        else:
            self.speeds.record_decode(report.engine, report.tokens, report.seconds, now)
        self.dispatch(now)

    def replace(self, entry: EntryKey, message: ReplaceRequest, now: float) -> None:
        """Record a failed stage and queue the request for other engines.

        The retry is refused if the retry budget is used up or the deadline can no longer be met.
        A request whose KV cache is still held by an engine repeats no prefill and so needs no
        retry budget.
        """
        grant = self.ledger.free(message.request_id, now)
        self._learner.record_failure(grant, message, now)
        if grant is None:
            self._refuse(entry, message, ResultCode.REQUEST_UNKNOWN)
            return
        self._end_probes(grant)
        if not message.kv_engine and not self.budget.take():
            self._refuse(entry, message, ResultCode.QUEUE_FULL, RETRY_AFTER_SECONDS)
            return
        request = replace(grant.request, attempt=message.attempt, deadline_in=message.deadline_in)
        service = self._selector.service(request, now)
        deadline = now + message.deadline_in
        if self._misses_deadline(service, deadline, message.kv_engine, now):
            self._refuse(entry, message, ResultCode.DEADLINE_UNREACHABLE, RETRY_AFTER_SECONDS)
            return
        kv_engine = message.kv_engine if self._section.rescue else ""
        is_full = message.code is ResultCode.CIRCUIT_OPEN
        avoided_engine = "" if is_full else message.failed_engine
        self.waiting.add(
            waiting_request(
                entry, request, deadline, service, now, kv_engine, avoided_engine, grant.version
            )
        )
        self.dispatch(now)

    def release(self, message: Release, now: float) -> None:
        """Remove a request from the queue and free its grant."""
        self.waiting.remove(message.request_id)
        grant = self.ledger.free(message.request_id, now)
        if grant is not None:
            self._end_probes(grant)
            self._learner.record_end(grant, message, now)
        self.dispatch(now)

    def reannounce(self, entry: EntryKey, records: tuple[GrantRecord, ...], now: float) -> None:
        """Add grants that a previous owner gave and the entry still holds.

        If the request waits here for a later attempt, the announced grant is obsolete and is
        ignored. If it waits for the announced attempt, it already has its engines and leaves the
        queue.
        """
        for record in records:
            waiting = self.waiting.get(record.request_id)
            if waiting is not None and waiting.request.attempt > record.attempt:
                continue
            self.waiting.remove(record.request_id)
            grant = self.ledger.get(record.request_id)
            if grant is None:
                self.ledger.add(announced_grant(entry, record, self._selector.hold_mean(), now))
            else:
                grant.entry = entry

    def find(self, entry: EntryKey, message: FindRequest, now: float) -> None:
        """Answer on which engine a stream runs, and assign its grant to the requesting entry."""
        grant = self.ledger.get(message.request_id)
        if grant is None or grant.stage is not Stage.DECODE:
            self._refuse(entry, message, ResultCode.REQUEST_UNKNOWN)
            return
        grant.entry = entry
        located = Located(message.request_id, grant.request.attempt, grant.decode_engine)
        self._outbox.append(Outgoing(entry, located))

    def drop(self, request_id: str, now: float) -> None:
        """Remove a request whose engine or entry process has lost it."""
        self._drop(request_id, now)
        self.dispatch(now)

    def drop_waiting_of(self, entry: EntryKey) -> None:
        """Remove the waiting requests of an entry process that is gone."""
        for waiting in self.waiting.from_entry(entry):
            self.waiting.remove(waiting.request.request_id)

    def update_shard(self, shard: Shard, now: float) -> None:
        """Apply a changed list of engines."""
        self.shard = shard
        self.engines.update_shard(shard)
        self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Refuse requests that are too late, place the others as far as possible, set ``wake_at``.

        Requests are placed in queue order, rescues first; the first one that cannot be placed
        blocks those behind it.
        """
        if now < self._ready_at:
            self.wake_at = self._ready_at
            return
        for late in self.waiting.expired(now) if self._section.admission else ():
            code = ResultCode.DEADLINE_UNREACHABLE
            self._refuse(late.entry, late.request, code, self.queue_seconds(now))
        for rescue in self.waiting.rescues():
            self._try_rescue(rescue, now)
        while (first := self.waiting.first()) is not None:
            choice = self._selector.choose(first, bool(self.waiting.rescues()), now)
            if choice is None:
                break
            self.waiting.pop_first()
            self._grant(first, choice, now)
        self._blocked_id = first.request.request_id if first is not None else ""
        self.wake_at = self._next_wake(now)

    def queue_seconds(self, now: float) -> float:
        """Return the expected wait of a new request in seconds."""
        return estimated_wait(len(self.waiting), self._selector.shard_load(now))

    def sample_use(self, now: float) -> StageUse:
        """Add the present utilisation of the engines to its average and return the average."""
        self._stage_use.sample(self.engines.usable(now))
        return self._stage_use.average(self.shard.name)

    def summary(self, now: float) -> ShardSummary:
        """Return the shard's free slots, queue length and expected wait."""
        free = sum(load.free_slots() for load in self.engines.usable(now) if load.can_decode)
        return ShardSummary(
            self.shard.name,
            self.shard.data_centre,
            max(0, free),
            len(self.waiting),
            self.queue_seconds(now),
        )

    def _is_blocked(self, now: float) -> bool:
        """Return whether the head of the queue is known not to be placeable before ``wake_at``."""
        first = self.waiting.first()
        is_same = first is not None and first.request.request_id == self._blocked_id
        return is_same and now < self.wake_at

    def _next_wake(self, now: float) -> float:
        if not len(self.waiting):
            return math.inf
        change_in = min(self._selector.seconds_until_opening(now), self._next_expiry() - now)
        return now + max(0.0, change_in) + WAKE_MARGIN_SECONDS

    def _next_expiry(self) -> float:
        """Return when the next waiting request becomes too late or its KV cache expires."""
        start = self.waiting.next_latest_start() if self._section.admission else math.inf
        return min(start, self.waiting.next_kv_expiry())

    def _misses_deadline(
        self, service: ServiceTimes, deadline: float, kv_engine: str, now: float
    ) -> bool:
        if not self._section.admission:
            return False
        needed = 0.0 if kv_engine else service.first_token
        return now + needed > deadline

    def _try_rescue(self, waiting: WaitingRequest, now: float) -> None:
        """Place a rescue in another slot, or queue it for a new prefill if its KV cache expired."""
        source = self.ledger.engine_by_name.get(waiting.kv_engine)
        choice = None
        if source is not None and now <= waiting.kv_until:
            choice = self._selector.choose_rescue(waiting, now)
        if choice is not None:
            self.waiting.remove(waiting.request.request_id)
            self._grant(waiting, choice, now)
        elif source is None or now > waiting.kv_until:
            self.waiting.remove(waiting.request.request_id)
            service = self._selector.service(waiting.request, now)
            again = waiting_request(waiting.entry, waiting.request, waiting.deadline, service, now)
            self.waiting.add(replace(again, version=waiting.version))

    def _grant(self, waiting: WaitingRequest, choice: Choice, now: float) -> None:
        request = waiting.request
        keys = probe_keys(self.circuits, choice.prefill, choice.decode, now)
        for key in keys:
            self.circuits.begin_probe(key, request.request_id, now)
        grant = GrantState(
            request,
            waiting.entry,
            choice.prefill,
            choice.decode,
            now,
            waiting.deadline,
            stage_since=now,
            hold_seconds=waiting.cost,
            prefill_seconds=choice.prefill_end - now,
            probe_keys=keys,
            version=self.ledger.engine_by_name[choice.decode].version,
        )
        if waiting.kv_engine:
            grant.stage = Stage.TRANSFER if grant.uses_link else Stage.DECODE
        self.ledger.add(grant)
        source = self.ledger.engine_by_name[choice.prefill]
        target = self.ledger.engine_by_name[choice.decode]
        if not waiting.kv_engine:
            source.prefill_free_at = choice.prefill_end
        if source is not target:
            source.link_free_at = target.link_free_at = choice.transfer_end
            kv_lifetime = waiting.kv_until - now if waiting.kv_engine else KV_LIFETIME_SECONDS
            self.ledger.add_transfer(grant, choice.prefill_end, choice.transfer, kv_lifetime)
        self._selector.record_grant(waiting.prefill_seconds, waiting.cost, now)
        answer = Grant(request.request_id, request.attempt, choice.prefill, choice.decode)
        self._outbox.append(Outgoing(waiting.entry, answer))

    def _refuse(
        self,
        entry: EntryKey,
        refused: PlaceRequest | ReplaceRequest | FindRequest,
        code: ResultCode,
        retry_after: float = 0.0,
    ) -> None:
        detail = f"shard {self.shard.name}, {len(self.waiting)} queued"
        attempt = 0 if isinstance(refused, FindRequest) else refused.attempt
        refusal = Refusal(refused.request_id, attempt, code, retry_after, detail)
        self._outbox.append(Outgoing(entry, refusal))

    def _drop(self, request_id: str, now: float) -> None:
        self.waiting.remove(request_id)
        grant = self.ledger.free(request_id, now)
        if grant is not None:
            self._end_probes(grant)

    def _end_probes(self, grant: GrantState) -> None:
        for key in grant.probe_keys:
            self.circuits.end_probe(key, grant.request.request_id)
