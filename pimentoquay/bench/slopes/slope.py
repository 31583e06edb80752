"""A measured slope and how it is taken: repeated runs, the median and the spread."""

import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

__all__ = ["Slope", "slope_of", "time_per_call"]


@dataclass(frozen=True)
class Slope:
    """How much one more of something costs; ``low`` and ``high`` bound the samples."""

    name: str
    unit: str
    per: str
    median: float
    low: float
    high: float
    samples: int


def slope_of(name: str, unit: str, per: str, values: list[float]) -> Slope:
    """Return the slope of repeated samples; ``ValueError`` if there is none."""
    if not values:
        raise ValueError(f"no samples of {name}")
    return Slope(name, unit, per, statistics.median(values), min(values), max(values), len(values))


def time_per_call(call: Callable[[], object], calls: int, repeats: int) -> list[float]:
    """Return the processor time of one call in microseconds, once for each repeat."""
    values = []
    for _ in range(repeats):
        started = time.process_time()
        for _ in range(calls):
            call()
        values.append((time.process_time() - started) / calls * 1e6)
    return values
