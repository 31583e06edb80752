"""Rates at which streams of each priority and workspace arrive, over the last seconds.

Load pattern: bursts of some seconds. Whether a stream of a lower priority can be served depends on
the higher ones that arrive while it waits, and not only on those that wait already.
"""

import math
from collections import Counter
from dataclasses import dataclass

__all__ = ["ClassDemand"]

DEMAND_SECONDS = 2.0
"""Time over which arrivals are averaged. Bursts last some seconds; the arrivals of a shorter time
are too few for an average in a deployment of seven gateways."""

FORGET_SECONDS = 8.0
"""Time without arrivals after which a workspace counts as one that sends nothing: four averages."""

PRUNE_SECONDS = 0.5
"""Interval at which workspaces that send nothing are dropped, which bounds that work."""


@dataclass
class _Average:
    """Decaying sum of the memory that arriving streams need, in tokens."""

    tokens: float = 0.0
    at: float = 0.0

    def add(self, tokens: float, now: float) -> None:
        self.tokens = self._at(now) + tokens
        self.at = now

    def per_second(self, now: float) -> float:
        return self._at(now) / DEMAND_SECONDS

    def _at(self, now: float) -> float:
        return self.tokens * math.exp(-max(0.0, now - self.at) / DEMAND_SECONDS)


class ClassDemand:
    """Demand by priority and workspace, in tokens of memory per second."""

    def __init__(self) -> None:
        self._by_class: dict[tuple[int, str], _Average] = {}
        self._by_priority: dict[int, _Average] = {}
        self._count_by_priority: Counter[int] = Counter()
        self._pruned_at = 0.0

    @property
    def class_count(self) -> int:
        """Number of classes, each a priority and a workspace, that have sent streams lately."""
        return len(self._by_class)

    @property
    def priorities(self) -> list[int]:
        """Priorities of the streams that have arrived lately, the highest first."""
        return sorted(self._count_by_priority)

    def workspaces_of(self, priority: int) -> int:
        """Return the number of workspaces that have sent streams of a priority lately."""
        return self._count_by_priority[priority]

    def record(self, priority: int, workspace: str, tokens: int, now: float) -> None:
        """Record that a stream has arrived."""
        average = self._by_class.get((priority, workspace))
        if average is None:
            average = self._by_class[priority, workspace] = _Average()
            self._count_by_priority[priority] += 1
        average.add(tokens, now)
        self._by_priority.setdefault(priority, _Average()).add(tokens, now)

    def above(self, priority: int, now: float) -> float:
        """Return the demand of all higher priorities."""
        return sum(
            each.per_second(now) for other, each in self._by_priority.items() if other < priority
        )

    def beside(self, priority: int, workspace: str, now: float) -> float:
        """Return the demand of the other workspaces of a priority."""
        if priority not in self._by_priority:
            return 0.0
        total = self._by_priority[priority].per_second(now)
        own = self._by_class.get((priority, workspace))
        return max(0.0, total - (own.per_second(now) if own is not None else 0.0))

    def prune(self, now: float) -> list[int]:
        """Drop classes that have sent nothing lately; return the priorities that have none left."""
        if now - self._pruned_at < PRUNE_SECONDS:
            return []
        self._pruned_at = now
        for name, average in tuple(self._by_class.items()):
            if now - average.at > FORGET_SECONDS:
                del self._by_class[name]
                self._count_by_priority[name[0]] -= 1
        gone = [each for each, count in self._count_by_priority.items() if not count]
        for priority in gone:
            del self._count_by_priority[priority], self._by_priority[priority]
        return gone
