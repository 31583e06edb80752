"""Definitions of metrics, and histograms of times in the Prometheus text format."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["PERCENTILES", "SIGNIFICANT_DIGITS", "Metric", "TimeSummary"]

MICROSECONDS = 1_000_000
"""Histogram units in a second."""

MAX_MICROSECONDS = 600 * MICROSECONDS
"""The longest time that a histogram tells apart."""

SIGNIFICANT_DIGITS = 2

PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class Metric:
    """The definition of one metric; the reference page is made from it."""

    name: str
    type: str
    help: str
    labels: tuple[str, ...] = ()

    def head(self) -> list[str]:
        """Return the lines that go before its values."""
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} {self.type}"]


class TimeSummary:
    """An HDR histogram of times, over the process's whole run."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Count a time."""
        value = min(MAX_MICROSECONDS, max(1, int(seconds * MICROSECONDS)))
        self._histogram.record_value(value)

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds."""
        return self._histogram.get_value_at_percentile(percent) / MICROSECONDS

    def lines(self, metric: Metric) -> list[str]:
        """Return the lines of a metric whose values these are."""
        lines = metric.head()
        for percent in PERCENTILES:
            value = self.percentile(percent)
            lines.append(f'{metric.name}{{quantile="{percent / 100:g}"}} {value:.6f}')
        lines.append(f"{metric.name}_count {self._histogram.get_total_count()}")
        return lines
