"""Time in which a coordinator places no new streams of lower priorities.

Failure pattern: a coordinator that has just started, or was suspended. Memory has become free, and
would go to those whose requests are handled first, before the others are known.
"""

from pimentoquay.policy.service_order import Classed

__all__ = ["PriorityHold"]


class PriorityHold:
    """Holds new streams of priorities below the highest until a time."""

    def __init__(self) -> None:
        self._highest = 0
        self._until = float("-inf")

    def hold_lower(self, highest: int, until: float) -> None:
        """Hold new streams of priorities below the highest until a time, in seconds.

        A hold that is in force is never shortened: a stall may follow the start of a coordinator.
        """
        self._highest, self._until = highest, max(until, self._until)

    def is_held(self, stream: Classed, now: float) -> bool:
        """Return whether a stream may not be placed yet; it is not refused meanwhile either."""
        return not stream.software and stream.priority > self._highest and now < self._until
