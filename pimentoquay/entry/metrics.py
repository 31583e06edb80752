"""Metrics of the entry: HDR histograms of durations, and counters by result code.

Each request is counted once, when it ends; nothing is recorded per token.
"""

from collections import Counter
from dataclasses import dataclass

from pimentoquay.kernel import ResultCode
from pimentoquay.kernel.metrics import Metric, TimeSummary
from pimentoquay.messages.workspaces import KindSpec

__all__ = ["METRICS", "EntryMetrics", "RequestOutcome"]

REQUESTS = Metric(
    "pimentoquay_requests_total",
    "counter",
    "ended requests and calls, by result code",
    ("code", "name"),
)
IN_TARGET = Metric(
    "pimentoquay_requests_in_target_total",
    "counter",
    "requests answered within both latency targets of their kind",
)
TOKENS = Metric("pimentoquay_tokens_total", "counter", "tokens relayed")
ACTIVE = Metric("pimentoquay_requests_active", "gauge", "requests in progress")
QUEUE = Metric(
    "pimentoquay_queue_seconds", "summary", "time from arrival to the grant", ("quantile",)
)
FIRST_TOKEN = Metric(
    "pimentoquay_first_token_seconds",
    "summary",
    "time from arrival to the first token",
    ("quantile",),
)
TOKEN_INTERVAL = Metric(
    "pimentoquay_token_interval_seconds",
    "summary",
    "mean time per token after the first, of each request",
    ("quantile",),
)

METRICS = (REQUESTS, IN_TARGET, TOKENS, ACTIVE, QUEUE, FIRST_TOKEN, TOKEN_INTERVAL)
"""All metrics, in the order in which ``/metrics`` writes them."""

_SUMMARY_METRIC_BY_NAME = {
    "queue": QUEUE,
    "first_token": FIRST_TOKEN,
    "token_interval": TOKEN_INTERVAL,
}


@dataclass(frozen=True)
class RequestOutcome:
    """Result of one request, for the metrics.

    Parameters
    ----------
    workspace, kind
        The workspace and the kind of the request.
    code
        The final result code.
    tokens
        Number of tokens sent to the caller.
    queue_seconds
        Time from arrival to the grant; ``None`` if the request was not placed.
    first_token_seconds
        Time from arrival to the first token; ``None`` if there was no token.
    token_seconds
        Mean time per token after the first; ``None`` with fewer than two tokens.
    """

    workspace: str
    kind: KindSpec
    code: ResultCode
    tokens: int
    queue_seconds: float | None
    first_token_seconds: float | None
    token_seconds: float | None

    def is_in_target(self) -> bool:
        """Return whether the answer was complete and met both latency targets."""
        return (
            self.code is ResultCode.OK
            and self.first_token_seconds is not None
            and self.first_token_seconds <= self.kind.first_token_target
            and (self.token_seconds or 0.0) <= self.kind.token_interval_target
        )


class EntryMetrics:
    """The counters and histograms of one entry process."""

    def __init__(self) -> None:
        self.count_by_code: Counter[ResultCode] = Counter()
        self.in_target = 0
        self.tokens = 0
        self._summary_by_name = {name: TimeSummary() for name in _SUMMARY_METRIC_BY_NAME}

    def count(self, outcome: RequestOutcome) -> None:
        """Count one ended request."""
        self.count_code(outcome.code)
        self.tokens += outcome.tokens
        self.in_target += outcome.is_in_target()
        self._record("queue", outcome.queue_seconds)
        self._record("first_token", outcome.first_token_seconds)
        self._record("token_interval", outcome.token_seconds)

    def count_code(self, code: ResultCode) -> None:
        """Count the result code of a plain call, or of a request rejected before it ran."""
        self.count_by_code[code] += 1

    def percentile(self, name: str, percent: float) -> float:
        """Return a percentile in seconds of ``queue``, ``first_token`` or ``token_interval``."""
        return self._summary_by_name[name].percentile(percent)

    def text(self, active: int) -> str:
        """Return all metrics in the Prometheus text format.

        ``active`` is the number of requests in progress.
        """
        lines = REQUESTS.head()
        for code, count in sorted(self.count_by_code.items()):
            lines.append(f'{REQUESTS.name}{{code="{int(code)}",name="{code.name}"}} {count}')
        values = ((IN_TARGET, self.in_target), (TOKENS, self.tokens), (ACTIVE, active))
        for metric, value in values:
            lines += [*metric.head(), f"{metric.name} {value}"]
        for name, metric in _SUMMARY_METRIC_BY_NAME.items():
            lines += self._summary_by_name[name].lines(metric)
        return "\n".join(lines) + "\n"

    def _record(self, name: str, seconds: float | None) -> None:
        if seconds is not None:
            self._summary_by_name[name].record(seconds)
