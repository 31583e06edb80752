"""Results of the requests of a load, and the table and report that summarise them."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from enum import Enum

from hdrh.histogram import HdrHistogram

from pimentoquay.bench.load.plan import StreamPlan

__all__ = ["LoadReport", "Outcome", "Result", "Tally"]

MICROSECONDS = 1_000_000


class Outcome(Enum):
    """Ways in which a request can end, as seen by its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    CANCELLED = "cancelled"
    UNKNOWN = "outcome unknown"
    INCOMPLETE = "incomplete"
    WRONG = "wrong answer"


@dataclass(frozen=True)
class Result:
    """Result of one request as seen by its caller; times are in seconds.

    ``request_ids`` holds the ids of all attempts, and ``refused_ids`` those of them whose refusal
    said that nothing was run.
    """

    stream: StreamPlan
    outcome: Outcome
    code: int
    request_ids: tuple[str, ...]
    refused_ids: tuple[str, ...] = ()
    first_token: float | None = None
    token_interval: float | None = None
    resumed: int = 0
    detail: str = ""
    prompt_tokens: int = 0

    @property
    def is_in_target(self) -> bool:
        """Whether the request was answered within both latency targets."""
        return (
            self.outcome is Outcome.ANSWERED
            and (self.first_token or 0.0) <= self.stream.first_token_target
            and (self.token_interval or 0.0) <= self.stream.token_interval_target
        )


@dataclass(frozen=True)
class LoadReport:
    """Results of one load; the last five counts must be 0.

    ``goodput`` is the number of requests per second that were answered within their targets, and
    ``wasted_prefill`` the share of prefilled tokens that no decode used.
    """

    sent: int
    answered: int
    refused: int
    cancelled: int
    outcome_unknown: int
    resumed: int
    goodput: float
    in_target: int
    wasted_prefill: float
    answered_twice: int
    wrong_answer: int
    incomplete: int
    held_after_end: int
    untrue_not_run: int

    @property
    def is_clean(self) -> bool:
        """Whether all counts that must be 0 are 0."""
        return not (
            self.answered_twice
            or self.wrong_answer
            or self.incomplete
            or self.held_after_end
            or self.untrue_not_run
        )

    def as_json(self) -> dict[str, float]:
        """Return the fields by name."""
        return asdict(self)


@dataclass
class _Row:
    """Counts and latencies in microseconds of one row of the table."""

    sent: int = 0
    in_target: int = 0
    refused: int = 0
    first_token: HdrHistogram = field(default_factory=lambda: _histogram())
    interval: HdrHistogram = field(default_factory=lambda: _histogram())


class Tally:
    """Collects the results of requests."""

    def __init__(self) -> None:
        self.results: list[Result] = []
        self.sent = 0

    def add(self, result: Result) -> None:
        """Add the result of a request that has ended."""
        self.results.append(result)

    def count_by_outcome(self) -> Counter[Outcome]:
        """Return the number of results for each outcome."""
        return Counter(result.outcome for result in self.results)

    def progress(self) -> str:
        """Return a line with the counts so far."""
        counts = self.count_by_outcome()
        parts = [f"sent {self.sent}"]
        parts += [f"{outcome.value} {counts[outcome]}" for outcome in Outcome if counts[outcome]]
        return ", ".join(parts)

    def table(self, waste_by_row: dict[str, float]) -> str:
        """Return a table with a row for each workspace and kind of request.

        ``waste_by_row`` gives the share of wasted prefill for each row.
        """
        lines = [
            f"{'workspace/kind':34} {'sent':>6} {'in target':>9} {'refused':>8} "
            f"{'TTFT p50':>9} {'p95':>7} {'token p95':>10} {'wasted':>7}"
        ]
        for name, row in sorted(self._rows().items()):
            lines.append(
                f"{name:34} {row.sent:6} {row.in_target:9} {row.refused:8} "
                f"{_milliseconds(row.first_token, 50):>9} {_milliseconds(row.first_token, 95):>7} "
                f"{_milliseconds(row.interval, 95):>10} {waste_by_row.get(name, 0.0):7.1%}"
            )
        return "\n".join(lines)

    def _rows(self) -> dict[str, _Row]:
        rows: dict[str, _Row] = defaultdict(_Row)
        for result in self.results:
            row = rows[result.stream.row]
            row.sent += 1
            row.in_target += result.is_in_target
            row.refused += result.outcome is Outcome.REFUSED
            if result.first_token is not None:
                row.first_token.record_value(max(1, int(result.first_token * MICROSECONDS)))
            if result.token_interval is not None:
                row.interval.record_value(max(1, int(result.token_interval * MICROSECONDS)))
        return rows


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, 3600 * MICROSECONDS, 3)


def _milliseconds(histogram: HdrHistogram, percent: float) -> str:
    if not histogram.get_total_count():
        return "-"
    return f"{histogram.get_value_at_percentile(percent) / 1000:.0f} ms"
