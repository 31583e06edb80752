"""The scheduler of one shard, as a state machine without I/O: messages and time in, answers out.

``ShardScheduler`` keeps the only ledger of the shard. Callers pass the time in, collect
``take_outbox`` after each call, and call ``dispatch`` at ``wake_at``. A decision is made again only
when something that it depends on has changed: a message has come, or a time has passed at which an
engine, a circuit or a deadline changes.

Example
-------
::

    scheduler = ShardScheduler(shard, SchedulerSection(), now)
    scheduler.take_status(status, now)
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
from pimentoquay.scheduler.stage_use import UseMeter
from pimentoquay.scheduler.waiting import Service, WaitingRequest, WaitingRoom, waiting_request

__all__ = ["Outgoing", "ShardScheduler"]

SHORTEST_WAKE_SECONDS = 0.001
"""How long after a time that changes a decision it is made again."""

RETRY_AFTER_SECONDS = 1.0
"""When a caller may come back whose request may not be run again."""


@dataclass(frozen=True)
class Outgoing:
    """A message to an entry process."""

    entry: EntryKey
    message: Any


class ShardScheduler:
    """Queue, ledger and decisions of one shard.

    Parameters
    ----------
    shard
        The shard with its engines.
    section
        The settings.
    now
        The time at which this VM became the owner; nothing is granted before the rebuild grace
        has passed, so that entries can announce their grants first.
    """

    def __init__(self, shard: Shard, section: SchedulerSection, now: float) -> None:
        self.shard = shard
        self._section = section
        self.ledger = Ledger()
        self.speeds = SpeedBook(StartingSpeeds(), section.learning)
        limits = CircuitLimits(longest_wait=section.longest_circuit_wait)
        self.circuits = Circuits(limits)
        self.engines = EngineSet(self.ledger, self.circuits, self.speeds)
        self.engines.adopt(shard)
        self.waiting = WaitingRoom(FairQueue(section.fair_quantum, section.fairness))
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
        self._use = UseMeter()
        self._outbox: list[Outgoing] = []
        self._blocked_id = ""
        self.wake_at = math.inf

    def take_outbox(self) -> list[Outgoing]:
        """Return the messages to be sent, and forget them."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def place(self, entry: EntryKey, request: PlaceRequest, now: float) -> None:
        """Queue a request or refuse it at once."""
        self._drop(request.request_id, now)
        service = self._selector.service(request, now)
        deadline = now + request.deadline_in
        demand = Demand(
            ahead=self.waiting.ahead_of(request, deadline, service.hold),
            service=service.first_token,
            deadline_in=request.deadline_in,
            held=self.ledger.held_by(request.workspace) + self.waiting.held_by(request.workspace),
            limit=request.workspace_limit,
            queued=len(self.waiting),
        )
        verdict = admit(demand, self._selector.flow(now), self._admission)
        if verdict.code is not ResultCode.OK:
            self._refuse(entry, request, verdict.code, verdict.retry_after)
            return
        self.waiting.add(waiting_request(entry, request, deadline, service, now))
        if self._is_blocked(now):
            self.wake_at = min(self.wake_at, self._next_end() + SHORTEST_WAKE_SECONDS)
        else:
            self.dispatch(now)

    def report(self, report: StageReport, now: float) -> None:
        """Learn from a finished stage and move its grant on."""
        grant = self.ledger.get(report.request_id)
        if grant is None or grant.request.attempt != report.attempt:
            return
        if report.stage is Stage.PREFILL:
            self._learner.prefilled(grant, report, now)
        elif report.stage is Stage.TRANSFER:
            self._learner.transferred(grant, report, now)
        else:
            self.speeds.record_decode(report.engine, report.tokens, report.seconds, now)
        self.dispatch(now)

    def replace(self, entry: EntryKey, message: ReplaceRequest, now: float) -> None:
        """Count a failed stage and find other engines, if the retry budget allows it."""
        grant = self.ledger.free(message.request_id, now)
        self._learner.count_failure(grant, message, now)
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
        if self._is_hopeless(service, deadline, message.kv_engine, now):
            self._refuse(entry, message, ResultCode.DEADLINE_UNREACHABLE, RETRY_AFTER_SECONDS)
            return
        kv_engine = message.kv_engine if self._section.rescue else ""
        is_full = message.code is ResultCode.CIRCUIT_OPEN
        avoid = "" if is_full else message.failed_engine
        self.waiting.add(
            waiting_request(entry, request, deadline, service, now, kv_engine, avoid, grant.version)
        )
        self.dispatch(now)

    def release(self, message: Release, now: float) -> None:
        """Free everything a request holds or waits for."""
        self.waiting.remove(message.request_id)
        grant = self.ledger.free(message.request_id, now)
        if grant is not None:
            self._end_probes(grant)
            self._learner.answered(grant, message, now)
        self.dispatch(now)

    def reannounce(self, entry: EntryKey, records: tuple[GrantRecord, ...], now: float) -> None:
        """Enter grants that an earlier owner gave.

        A request that waits here for a later attempt has no use for its old grant; one that
        waits for the announced attempt has got it elsewhere and waits no longer.
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
        """Tell where a stream runs; the grant moves to the entry that asks."""
        grant = self.ledger.get(message.request_id)
        if grant is None or grant.stage is not Stage.DECODE:
            self._refuse(entry, message, ResultCode.REQUEST_UNKNOWN)
            return
        grant.entry = entry
        located = Located(message.request_id, grant.request.attempt, grant.decode_engine)
        self._outbox.append(Outgoing(entry, located))

    def drop(self, request_id: str, now: float) -> None:
        """Free a grant that its engine or its entry has lost."""
        self._drop(request_id, now)
        self.dispatch(now)

    def drop_waiting_of(self, entry: EntryKey) -> None:
        """Forget the waiting requests of an entry that is gone."""
        for waiting in self.waiting.of_entry(entry):
            self.waiting.remove(waiting.request.request_id)

    def adopt(self, shard: Shard, now: float) -> None:
        """Take over a changed list of engines."""
        self.shard = shard
        self.engines.adopt(shard)
        self.dispatch(now)

    def dispatch(self, now: float) -> None:
        """Grant and refuse whatever is due now."""
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
            self.waiting.take_first()
            self._grant(first, choice, now)
        self._blocked_id = first.request.request_id if first is not None else ""
        self.wake_at = self._next_wake(now)

    def queue_seconds(self, now: float) -> float:
        """Return the expected wait of a new request."""
        return estimated_wait(len(self.waiting), self._selector.flow(now))

    def sample_use(self, now: float) -> StageUse:
        """Take the use of the engines into its average and return that."""
        self._use.sample(self.engines.usable(now))
        return self._use.use(self.shard.name)

    def summary(self, now: float) -> ShardSummary:
        """Return how full the shard is."""
        free = sum(load.free_slots() for load in self.engines.usable(now) if load.can_decode)
        return ShardSummary(
            self.shard.name,
            self.shard.data_centre,
            max(0, free),
            len(self.waiting),
            self.queue_seconds(now),
        )

    def _is_blocked(self, now: float) -> bool:
        """Tell whether the first waiting request is one that could not be placed just now."""
        first = self.waiting.first()
        is_same = first is not None and first.request.request_id == self._blocked_id
        return is_same and now < self.wake_at

    def _next_wake(self, now: float) -> float:
        if not len(self.waiting):
            return math.inf
        change_in = min(self._selector.opening_in(now), self._next_end() - now)
        return now + max(0.0, change_in) + SHORTEST_WAKE_SECONDS

    def _next_end(self) -> float:
        """Return when the next waiting request is refused or loses its KV."""
        start = self.waiting.next_latest_start() if self._section.admission else math.inf
        return min(start, self.waiting.next_kv_end())

    def _is_hopeless(self, service: Service, deadline: float, kv_engine: str, now: float) -> bool:
        if not self._section.admission:
            return False
        needed = 0.0 if kv_engine else service.first_token
        return now + needed > deadline

    def _try_rescue(self, waiting: WaitingRequest, now: float) -> None:
        """Move live KV to another slot, or queue the request for another prefill."""
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
            life = waiting.kv_until - now if waiting.kv_engine else KV_LIFETIME_SECONDS
            self.ledger.cross(grant, choice.prefill_end, choice.transfer, life)
        self._selector.note_granted(waiting.prefill_seconds, waiting.cost, now)
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
