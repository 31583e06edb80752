"""What one placement decision costs, in time and in steps, as the queue grows.

A shard of 16 engines is kept full while a queue of a given length waits. One decision is the
arrival of a request, or the end of one that lets the next start; each is timed by itself, and the
comparisons that the queue makes are counted.
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
PREFILL_ENGINES = 6
DECODE_ENGINES = 10
SLOTS = 20
DECISIONS = 200
WORKSPACES = 8
FAR_SECONDS = 1e6
FULL_AT_SECONDS = 100.0
DECISION_GAP_SECONDS = 0.1

_ENTRY = EntryKey("vm", "entry", 1)
_SECTION = SchedulerSection(rebuild_grace=0.0, max_queued=100_000)


@dataclass(frozen=True)
class DecisionCost:
    """Medians in microseconds of one arrival and of one placement, for one queue length."""

    queued: int
    arrival_us: float
    placement_us: float
    queue_steps: float


class CountedKey(tuple):  # type: ignore[type-arg]
    """An ordering key that counts how often it is compared."""

    comparisons = 0

    def __lt__(self, other: object) -> bool:
        CountedKey.comparisons += 1
        return tuple.__lt__(self, other)  # type: ignore[operator]


class CountedItem(QueueItem):
    """A queue item with a counted key."""

    @property
    def key(self) -> tuple[int, float, str]:
        """Return the counted key."""
        return CountedKey((int(self.urgency), self.deadline, self.request_id))


def decision_cost(queued: int) -> DecisionCost:
    """Measure one queue length."""
    scheduler, running = _full_shard(queued)
    arrivals, placements = [], []
    now = FULL_AT_SECONDS
    for number in range(DECISIONS):
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
            _finish_prefill(scheduler, outgoing.message.request_id, now)
            running.append(outgoing.message.request_id)
    return DecisionCost(
        queued,
        statistics.median(arrivals) * 1e6,
        statistics.median(placements) * 1e6,
        queue_steps(queued),
    )


def queue_steps(queued: int) -> float:
    """Return the comparisons of one push and one pop at a queue length."""
    queue = FairQueue()
    for number in range(queued):
        queue.push(_item(number))
    CountedKey.comparisons = 0
    for number in range(queued, queued + DECISIONS):
        queue.push(_item(number))
        queue.pop()
    return CountedKey.comparisons / DECISIONS


@plugin("slope", "decisions")
def decision_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure an arrival and a placement at each queue length."""
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
    roles = [EngineRole.PREFILL] * PREFILL_ENGINES + [EngineRole.DECODE] * DECODE_ENGINES
    members = tuple(_member(f"engine-{index:02d}") for index in range(len(roles)))
    scheduler = ShardScheduler(Shard("s#0", "m", "dc", members), _SECTION, 0.0)
    for member, role in zip(members, roles, strict=True):
        scheduler.engines.update_status(_status(member.name, role))
    running: list[str] = []
    number = 0
    now = 1.0
    while len(running) < DECODE_ENGINES * SLOTS:
        scheduler.place(_ENTRY, _request(f"run-{number}", number), now)
        number += 1
        now += DECISION_GAP_SECONDS
        for outgoing in scheduler.take_outbox():
            _finish_prefill(scheduler, outgoing.message.request_id, now)
            running.append(outgoing.message.request_id)
    for index in range(queued):
        scheduler.place(_ENTRY, _request(f"wait-{index}", index), now)
    scheduler.take_outbox()
    return scheduler, running


def _finish_prefill(scheduler: ShardScheduler, request_id: str, now: float) -> None:
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
        FAR_SECONDS + number * 7919 % 1000,
        0.055,
        0,
    )


def _item(number: int) -> CountedItem:
    workspace = f"workspace-{number % WORKSPACES}"
    return CountedItem(f"r{number}", workspace, number % 3, float(number * 7919 % 1000), 1.0)


def _member(name: str) -> Member:
    state = MemberState.LIVE
    return Member(name, MemberKind.ENGINE, state, "region", "dc", f"{name}:1", "m", True)


def _status(name: str, role: EngineRole) -> EngineStatus:
    return EngineStatus(name, "m", "v1", (), role, SLOTS, 0, 400_000, 0, 0, 0, 0.0, ())
