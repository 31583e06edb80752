"""Metric definitions and duration histograms in the Prometheus text format."""

from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["PERCENTILES", "SIGNIFICANT_DIGITS", "Metric", "TimeSummary"]

MICROSECONDS_PER_SECOND = 1_000_000
"""Conversion factor; histograms count in microseconds."""

MAX_MICROSECONDS = 600 * MICROSECONDS_PER_SECOND
"""Largest duration of a histogram, in microseconds; longer ones are counted as this value."""

SIGNIFICANT_DIGITS = 2
"""Precision of the histograms, in decimal digits."""

PERCENTILES = (50.0, 95.0, 99.0)


@dataclass(frozen=True)
class Metric:
    """Definition of a metric, from which the reference page is generated too."""

    name: str
    type: str
    help: str
    labels: tuple[str, ...] = ()

    def head(self) -> list[str]:
        """Return the ``HELP`` and ``TYPE`` lines, which precede the values."""
        return [f"# HELP {self.name} {self.help}", f"# TYPE {self.name} {self.type}"]


class TimeSummary:
    """HDR histogram of durations since the process started."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_MICROSECONDS, SIGNIFICANT_DIGITS)

    def record(self, seconds: float) -> None:
        """Add a duration to the histogram."""
        value = min(MAX_MICROSECONDS, max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        self._histogram.record_value(value)

    def percentile(self, percent: float) -> float:
        """Return a percentile of the durations in seconds; ``percent`` is from 0 to 100."""
        return self._histogram.get_value_at_percentile(percent) / MICROSECONDS_PER_SECOND

    def lines(self, metric: Metric) -> list[str]:
        """Return the text lines of ``metric`` with the percentiles and count as its values."""
        lines = metric.head()
        for percent in PERCENTILES:
            value = self.percentile(percent)
            lines.append(f'{metric.name}{{quantile="{percent / 100:g}"}} {value:.6f}')
        lines.append(f"{metric.name}_count {self._histogram.get_total_count()}")
        return lines
