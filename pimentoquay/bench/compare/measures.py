"""Measures of one run, and counts of the invariants that it violated."""

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
    from pimentoquay.bench.compare.simulation import Simulation

__all__ = ["CallRecord", "Invariants", "Measures", "measure"]

STARVATION_SECONDS = 0.5
"""Delay of a refusal beyond the first-token target that counts as starvation, in seconds."""


@dataclass
class CallRecord:
    """One request as seen by its caller; times are those of the event loop, in seconds."""

    arrival: Arrival
    code: ResultCode | None = None
    first_at: float = 0.0
    last_at: float = 0.0
    ended_at: float = 0.0
    body: bytearray = field(default_factory=bytearray)

    def add_chunk(self, chunk: bytes, now: float) -> None:
        """Add a chunk of the answer that was received at time ``now``."""
        self.first_at = self.first_at or now
        if not chunk.endswith(b"[DONE]\n\n"):
            self.last_at = now
        self.body += chunk

    def text(self) -> str:
        """Return the text of the answer that was received."""
        parts = []
        for line in self.body.decode().splitlines():
            if line.startswith("data: {"):
                parts.append(json.loads(line[6:])["choices"][0].get("text", ""))
        return "".join(parts)

    def is_good(self, start: float) -> bool:
        """Return whether the answer was complete and met both latency targets.

        ``start`` is the time of the event loop from which arrival times are counted, in seconds.
        """
        kind = self.arrival.kind
        if self.code is not ResultCode.OK:
            return False
        tokens = self.body.count(b"\n\n") - 2
        interval = (self.last_at - self.first_at) / max(1, tokens - 1)
        first = self.first_at - (start + self.arrival.at)
        return first <= kind.first_token_target and interval <= kind.token_interval_target


@dataclass(frozen=True)
class Invariants:
    """Number of violations of each invariant; all must be zero.

    ``ran_although_not_run`` counts requests that an engine ran although their refusal said "not
    run". ``held_at_end`` counts what engines still hold for requests, and ``ledger_at_end`` the
    grants and waiting requests of the schedulers. ``starved`` counts refusals that came more than
    ``STARVATION_SECONDS`` after the first-token target.
    """

    wrong_answers: int
    ran_although_not_run: int
    once_only_decoded_twice: int
    held_at_end: int
    ledger_at_end: int
    starved: int
    unfinished: int

    def total(self) -> int:
        """Return the number of all violations."""
        return sum(vars(self).values())


@dataclass(frozen=True)
class Measures:
    """Results of one run; shares are from 0 to 1, times in seconds.

    ``goodput`` is the share of requests that were answered within their latency targets, and
    ``window_goodput`` that share among requests that arrived at least three seconds after the start
    of the fault. ``capacity_share`` is the share of requests that the decode capacity can serve.
    ``wasted_prefill`` is the share of prefilled tokens that engines discarded.
    ``prefill_repeated`` counts prefills beyond the first of a request. ``refused_early`` counts
    requests that were refused before anything ran, and ``failed_unstarted`` failed requests whose
    caller had not received a token. ``worst_queue`` is the longest time from arrival to a grant.
    ``sent_while_recovering``, ``most_sent_at_once`` and ``full_rate_after`` are the figures of
    ``Scenario.recovery_figures``.
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


def measure(
    simulation: "Simulation", scenario: "Scenario", start: float, seconds: float
) -> Measures:
    """Return the measures of a finished run."""
    records = simulation.records
    observed = [engine.observed() for engine in simulation.engine_by_name.values()]
    codes = Counter(record.code for record in records)
    prefills = Counter(
        run.request_id for item in observed for run in item.runs if run.stage is Stage.PREFILL
    )
    prefilled = sum(item.prefilled_tokens for item in observed)
    window_start, window_end = scenario.window(seconds)
    goodput_by_kind = _goodput_by(records, start, lambda arrival: arrival.kind.name)
    goodput_by_workspace = _goodput_by(records, start, lambda arrival: arrival.workspace)
    return Measures(
        len(records),
        _goodput(records, start),
        goodput_by_kind,
        goodput_by_workspace,
        _goodput([r for r in records if window_start <= r.arrival.at < window_end], start),
        scenario.capacity_share(simulation.deployment, seconds),
        _rounded(sum(item.discarded_tokens for item in observed) / max(1, prefilled)),
        sum(count - 1 for count in prefills.values()),
        sum(count for code, count in codes.items() if code and is_not_run(code)),
        sum(count for code, count in codes.items() if code and 400 <= code < 500),
        sum(bool(r.code and 400 <= r.code < 500 and not r.first_at) for r in records),
        {str(int(code)): codes[code] for code in sorted(filter(None, codes))},
        _rounded(simulation.entry_metrics.worst_queue),
        *scenario.recovery_figures(simulation),
        scenario.held_after_cancel(simulation),
        simulation.network.messages_sent,
        _invariants(simulation, records, observed),
    )


def _invariants(
    simulation: "Simulation", records: list[CallRecord], observed: list[Any]
) -> Invariants:
    ran = {run.request_id for item in observed for run in item.runs}
    decodes = Counter(
        run.request_id for item in observed for run in item.runs if run.stage is Stage.DECODE
    )
    late_refusals = [
        r
        for r in records
        if r.code and is_not_run(r.code) and r.ended_at > _latest_refusal_at(r, simulation)
    ]
    return Invariants(
        sum(r.code is ResultCode.OK and r.text() != _expected_text(r) for r in records),
        sum(bool(r.code and is_not_run(r.code)) and r.arrival.request_id in ran for r in records),
        sum(not r.arrival.kind.idempotent and decodes[r.arrival.request_id] > 1 for r in records),
        sum(len(item.held) for item in observed),
        sum(
            len(scheduler.ledger) + len(scheduler.waiting) for scheduler in simulation.schedulers()
        ),
        len(late_refusals),
        sum(r.code is None and not r.ended_at for r in records),
    )


def _latest_refusal_at(record: CallRecord, simulation: "Simulation") -> float:
    arrived = simulation.start_at + record.arrival.at
    return arrived + record.arrival.kind.first_token_target + STARVATION_SECONDS


def _expected_text(record: CallRecord) -> str:
    return answer_text(record.arrival.prompt, record.arrival.kind.max_tokens)


def _goodput_by(records: list[CallRecord], start: float, key: Any) -> dict[str, float]:
    by_key: dict[str, list[CallRecord]] = defaultdict(list)
    for record in records:
        by_key[key(record.arrival)].append(record)
    return {name: _goodput(by_key[name], start) for name in sorted(by_key)}


def _goodput(records: list[CallRecord], start: float) -> float:
    """Return the share of good answers, without the requests that their callers cancelled."""
    counted = [r for r in records if r.code is not None or r.ended_at == 0.0]
    good = sum(record.is_good(start) for record in counted)
    return _rounded(good / len(counted)) if counted else 1.0


def _rounded(value: float) -> float:
    return round(value, 6)
