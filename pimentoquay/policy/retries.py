"""The retry budget of a shard: a fraction of its successes, with a bounded reserve."""

from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """How many retries each success earns, and the most that can be saved up."""

    fraction: float = 0.1
    reserve: float = 60.0


class RetryBudget:
    """Counts what may still be spent on retries; it starts with its reserve."""

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self.left = limits.reserve

    def earn(self) -> None:
        """Count one success."""
        self.left = min(self._limits.reserve, self.left + self._limits.fraction)

    def take(self) -> bool:
        """Spend one retry; return whether the budget allowed it."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
