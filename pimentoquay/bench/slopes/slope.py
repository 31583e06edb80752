"""Slopes, which are costs per item, computed as the median and range of repeated samples."""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Slope", "slope_of", "time_per_call"]


@dataclass(frozen=True)
class Slope:
    """Cost of one more item of a kind.

    Parameters
    ----------
    name : str
        Description of the cost.
    unit : str
        Unit of the cost.
    per : str
        Kind of item that the cost refers to, such as token or request.
    median : float
        Median of the samples.
    low, high : float
        Lowest and highest sample.
    samples : int
        Number of samples.
    """

    name: str
    unit: str
    per: str
    median: float
    low: float
    high: float
    samples: int


def slope_of(name: str, unit: str, per: str, values: list[float]) -> Slope:
    """Return the slope of repeated samples; raise ``ValueError`` if there are none."""
    if not values:
        raise ValueError(f"no samples of {name}")
    return Slope(name, unit, per, statistics.median(values), min(values), max(values), len(values))


def time_per_call(call: Callable[[], object], calls: int, repeats: int) -> list[float]:
    """Return the mean processor time of a call in microseconds for each of the repeats.

    Each repeat makes ``calls`` calls.
    """
    values = []
    for _ in range(repeats):
        started = time.process_time()
        for _ in range(calls):
            call()
        values.append((time.process_time() - started) / calls * 1e6)
    return values
