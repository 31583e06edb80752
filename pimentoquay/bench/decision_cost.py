"""Cost of a placement decision in time and comparisons, for several lengths of the queue.

A shard of 16 engines is kept full while a queue of a given length waits. A decision is either the
arrival of a request or the end of a request, which lets the next one start. Each is timed on its
own, and the comparisons of keys in the queue are counted.
"""

import statistics
import time
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.bench.slopes.slope import Slope
from pimentoquay.kernel import ResultCode, plugin
from pimentoquay.membership import Shard
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.messages.placement import (
    PlaceRequest,
    Release,
    Stage,
    StageReport,
    Urgency,
)
from pimentoquay.policy import FairQueue, QueueItem
from pimentoquay.scheduler import EntryKey, SchedulerSection, ShardScheduler

__all__ = ["QUEUE_SIZES", "DecisionCost", "decision_cost", "decision_slopes", "queue_steps"]

QUEUE_SIZES = (50, 200, 800, 3200)
"""Measured lengths of the queue, in requests."""

PREFILL_ENGINES = 6
DECODE_ENGINES = 10
SLOTS_PER_ENGINE = 20
"""Decode slots of each engine."""

DECISIONS_PER_MEASUREMENT = 200
"""Number of decisions of each kind in one measurement."""

WORKSPACES = 8
MIN_DEADLINE_SECONDS = 1e6
"""Earliest deadline of a request in seconds, so late that none expires."""

FULL_AT_SECONDS = 100.0
"""Time of the first measured decision in seconds; by then every slot is in use."""

DECISION_GAP_SECONDS = 0.1
"""Time between two decisions, in seconds."""

_ENTRY = EntryKey("vm", "entry", 1)
_SECTION = SchedulerSection(rebuild_grace=0.0, max_queued=100_000)


@dataclass(frozen=True)
class DecisionCost:
    """Costs at one queue length: median times in microseconds, and comparisons in the queue.

    ``queue_steps`` is the mean number of comparisons for one push and one pop.
    """

    queued: int
    arrival_us: float
    placement_us: float
    queue_steps: float


class ComparisonCountingKey(tuple):  # type: ignore[type-arg]
    """Ordering key whose class counts the comparisons between all its instances."""

    comparisons = 0

    def __lt__(self, other: object) -> bool:
        ComparisonCountingKey.comparisons += 1
        return tuple.__lt__(self, other)  # type: ignore[operator]


class ComparisonCountingItem(QueueItem):
    """Queue item whose key counts its comparisons."""

    @property
    def key(self) -> tuple[int, float, str]:
        """Return the ordering key."""
        return ComparisonCountingKey((int(self.urgency), self.deadline, self.request_id))


def decision_cost(queued: int) -> DecisionCost:
    """Measure arrivals and placements while ``queued`` requests wait."""
    scheduler, running = _full_shard(queued)
    arrivals, placements = [], []
    now = FULL_AT_SECONDS
    for number in range(DECISIONS_PER_MEASUREMENT):
        now += DECISION_GAP_SECONDS
        request = _request(f"late-{number}", number)
        started = time.perf_counter()
        scheduler.place(_ENTRY, request, now)
        arrivals.append(time.perf_counter() - started)
        release = Release(running.pop(0), ResultCode.OK, 50, 1.0)
        started = time.perf_counter()
        scheduler.release(release, now)
        placements.append(time.perf_counter() - started)
        for outgoing in scheduler.take_outbox():
            _report_prefill_finished(scheduler, outgoing.message.request_id, now)
            running.append(outgoing.message.request_id)
    return DecisionCost(
        queued,
        statistics.median(arrivals) * 1e6,
        statistics.median(placements) * 1e6,
        queue_steps(queued),
    )


def queue_steps(queued: int) -> float:
    """Return the mean number of comparisons for a push and a pop while ``queued`` requests wait."""
    queue = FairQueue()
    for number in range(queued):
        queue.push(_item(number))
    ComparisonCountingKey.comparisons = 0
    for number in range(queued, queued + DECISIONS_PER_MEASUREMENT):
        queue.push(_item(number))
        queue.pop()
    return ComparisonCountingKey.comparisons / DECISIONS_PER_MEASUREMENT


@plugin("slope", "decisions")
def decision_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure arrivals, placements and queue comparisons at each queue length."""
    slopes = []
    for queued in QUEUE_SIZES:
        costs = [decision_cost(queued) for _ in range(repeats)]
        for name, values in (
            ("arrival", [cost.arrival_us for cost in costs]),
            ("placement", [cost.placement_us for cost in costs]),
        ):
            slopes.append(_slope(f"{name}, 16 engines, {queued} queued", "µs", values))
        steps = [cost.queue_steps for cost in costs]
        slopes.append(_slope(f"queue comparisons, {queued} queued", "comparisons", steps))
    return tuple(slopes)


def _slope(name: str, unit: str, values: list[float]) -> Slope:
    median = statistics.median(values)
    return Slope(name, unit, "decision", median, min(values), max(values), len(values))


def _full_shard(queued: int) -> tuple[ShardScheduler, list[str]]:
    """Return a scheduler with no free slot and a filled queue, and the ids of running requests."""
    roles = [EngineRole.PREFILL] * PREFILL_ENGINES + [EngineRole.DECODE] * DECODE_ENGINES
    members = tuple(_member(f"engine-{index:02d}") for index in range(len(roles)))
    scheduler = ShardScheduler(Shard("s#0", "m", "dc", members), _SECTION, 0.0)
    for member, role in zip(members, roles, strict=True):
        scheduler.engines.update_status(_status(member.name, role))
    running: list[str] = []
    number = 0
    now = 1.0
    while len(running) < DECODE_ENGINES * SLOTS_PER_ENGINE:
        scheduler.place(_ENTRY, _request(f"run-{number}", number), now)
        number += 1
        now += DECISION_GAP_SECONDS
        for outgoing in scheduler.take_outbox():
            _report_prefill_finished(scheduler, outgoing.message.request_id, now)
            running.append(outgoing.message.request_id)
    for index in range(queued):
        scheduler.place(_ENTRY, _request(f"wait-{index}", index), now)
    scheduler.take_outbox()
    return scheduler, running


def _report_prefill_finished(scheduler: ShardScheduler, request_id: str, now: float) -> None:
    """Report the prefill and the transfer of a request as finished."""
    grant = scheduler.ledger.get(request_id)
    assert grant is not None
    for stage, engine in (
        (Stage.PREFILL, grant.prefill_engine),
        (Stage.TRANSFER, grant.decode_engine),
    ):
        report = StageReport(request_id, 0, stage, engine, ResultCode.OK, 500, 0, 0.05)
        scheduler.report(report, now)


def _request(name: str, number: int) -> PlaceRequest:
    prefix = tuple(range(number % 40 * 100, number % 40 * 100 + 8))
    return PlaceRequest(
        name,
        0,
        "s#0",
        f"workspace-{number % WORKSPACES}",
        "kind",
        Urgency(number % 3),
        500,
        100,
        prefix,
        MIN_DEADLINE_SECONDS + number * 7919 % 1000,
        0.055,
        0,
    )


def _item(number: int) -> ComparisonCountingItem:
    workspace = f"workspace-{number % WORKSPACES}"
    return ComparisonCountingItem(
        f"r{number}", workspace, number % 3, float(number * 7919 % 1000), 1.0
    )


def _member(name: str) -> Member:
    state = MemberState.LIVE
    return Member(name, MemberKind.ENGINE, state, "region", "dc", f"{name}:1", "m", True)


def _status(name: str, role: EngineRole) -> EngineStatus:
    return EngineStatus(name, "m", "v1", (), role, SLOTS_PER_ENGINE, 0, 400_000, 0, 0, 0, 0.0, ())
