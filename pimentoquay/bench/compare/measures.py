"""What is measured of one run, and the invariants that must hold in it."""

import json
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from pimentoquay.bench.compare.workload import Arrival
from pimentoquay.kernel import ResultCode, is_not_run
from pimentoquay.messages.placement import Stage
from pimentoquay.standin import answer_text

if TYPE_CHECKING:
    from pimentoquay.bench.compare.scenarios import Scenario
    from pimentoquay.bench.compare.world import World

__all__ = ["CallRecord", "Invariants", "Measures", "measure"]

STARVED_SECONDS = 0.5
"""A queue time this far past the first-token target counts as starvation."""


@dataclass
class CallRecord:
    """One request as its caller saw it."""

    arrival: Arrival
    code: ResultCode | None = None
    first_at: float = 0.0
    last_at: float = 0.0
    ended_at: float = 0.0
    body: bytearray = field(default_factory=bytearray)

    def take(self, chunk: bytes, now: float) -> None:
        """Note a chunk of the answer."""
        self.first_at = self.first_at or now
        if not chunk.endswith(b"[DONE]\n\n"):
            self.last_at = now
        self.body += chunk

    def text(self) -> str:
        """Return the text of the answer."""
        parts = []
        for line in self.body.decode().splitlines():
            if line.startswith("data: {"):
                parts.append(json.loads(line[6:])["choices"][0].get("text", ""))
        return "".join(parts)

    def is_good(self, start: float) -> bool:
        """Tell whether the answer was whole and within both latency targets."""
        kind = self.arrival.kind
        if self.code is not ResultCode.OK:
            return False
        tokens = self.body.count(b"\n\n") - 2
        interval = (self.last_at - self.first_at) / max(1, tokens - 1)
        first = self.first_at - (start + self.arrival.at)
        return first <= kind.first_token_target and interval <= kind.token_interval_target


@dataclass(frozen=True)
class Invariants:
    """Violations, each of which must be zero."""

    wrong_answers: int
    ran_although_not_run: int
    once_only_decoded_twice: int
    held_at_end: int
    ledger_at_end: int
    starved: int
    unfinished: int

    def total(self) -> int:
        """Return the number of violations."""
        return sum(vars(self).values())


@dataclass(frozen=True)
class Measures:
    """One run; shares are from 0 to 1, times in seconds.

    ``window_goodput`` is that of requests from three seconds after the fault on, and
    ``failed_unstarted`` counts failures of requests whose caller had received no token.
    """

    offered: int
    goodput: float
    goodput_by_kind: dict[str, float]
    goodput_by_workspace: dict[str, float]
    window_goodput: float
    capacity_share: float
    wasted_prefill: float
    prefill_repeated: int
    refused_early: int
    failed: int
    failed_unstarted: int
    count_by_code: dict[str, int]
    worst_queue: float
    sent_while_recovering: int
    most_sent_at_once: int
    full_rate_after: float
    held_after_cancel: int
    messages: int
    invariants: Invariants


def measure(world: "World", scenario: "Scenario", start: float, seconds: float) -> Measures:
    """Return the measures of a finished run."""
    records = world.records
    observed = [engine.observed() for engine in world.engine_by_name.values()]
    codes = Counter(record.code for record in records)
    prefills = Counter(
        run.request_id for item in observed for run in item.runs if run.stage is Stage.PREFILL
    )
    prefilled = sum(item.prefilled_tokens for item in observed)
    low, high = scenario.window(seconds)
    kinds = _grouped(records, start, lambda arrival: arrival.kind.name)
    workspaces = _grouped(records, start, lambda arrival: arrival.workspace)
    return Measures(
        len(records),
        _goodput(records, start),
        kinds,
        workspaces,
        _goodput([r for r in records if low <= r.arrival.at < high], start),
        scenario.capacity_share(world.deployment, seconds),
        _rounded(sum(item.discarded_tokens for item in observed) / max(1, prefilled)),
        sum(count - 1 for count in prefills.values()),
        sum(count for code, count in codes.items() if code and is_not_run(code)),
        sum(count for code, count in codes.items() if code and 400 <= code < 500),
        sum(bool(r.code and 400 <= r.code < 500 and not r.first_at) for r in records),
        {str(int(code)): codes[code] for code in sorted(filter(None, codes))},
        _rounded(world.outcomes.worst_queue),
        *scenario.recovery_figures(world),
        scenario.held_after_cancel(world),
        world.network.messages_sent,
        _invariants(world, records, observed),
    )


def _invariants(world: "World", records: list[CallRecord], observed: list[Any]) -> Invariants:
    ran = {run.request_id for item in observed for run in item.runs}
    decodes = Counter(
        run.request_id for item in observed for run in item.runs if run.stage is Stage.DECODE
    )
    target_missed = [
        r for r in records if r.code and is_not_run(r.code) and r.ended_at > _latest(r, world)
    ]
    return Invariants(
        sum(r.code is ResultCode.OK and r.text() != _expected(r) for r in records),
        sum(bool(r.code and is_not_run(r.code)) and r.arrival.request_id in ran for r in records),
        sum(not r.arrival.kind.idempotent and decodes[r.arrival.request_id] > 1 for r in records),
        sum(len(item.held) for item in observed),
        sum(len(scheduler.ledger) + len(scheduler.waiting) for scheduler in world.schedulers()),
        len(target_missed),
        sum(r.code is None and not r.ended_at for r in records),
    )


def _latest(record: CallRecord, world: "World") -> float:
    arrived = world.start_at + record.arrival.at
    return arrived + record.arrival.kind.first_token_target + STARVED_SECONDS


def _expected(record: CallRecord) -> str:
    return answer_text(record.arrival.prompt, record.arrival.kind.max_tokens)


def _grouped(records: list[CallRecord], start: float, key: Any) -> dict[str, float]:
    by_key: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        by_key[key(record.arrival)].append(record)
    return {name: _goodput(by_key[name], start) for name in sorted(by_key)}


def _goodput(records: list[CallRecord], start: float) -> float:
    left = [r for r in records if r.code is not None or r.ended_at == 0.0]
    good = sum(record.is_good(start) for record in left)
    return _rounded(good / len(left)) if left else 1.0


def _rounded(value: float) -> float:
    return round(value, 6)
