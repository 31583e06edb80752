"""Retry budget of a shard: each success earns a fraction of a retry, up to a maximum reserve."""

from dataclasses import dataclass

__all__ = ["RetryBudget", "RetryLimits"]


@dataclass(frozen=True)
class RetryLimits:
    """Number of retries that each success earns, and maximum number that can be saved up."""

    fraction: float = 0.1
    reserve: float = 60.0


class RetryBudget:
    """Budget of retries, which starts full.

    Load pattern: many requests fail at once, and retrying all of them would overload the engines.
    ``left`` is the number of retries that may still be made.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self.left = limits.reserve

    def earn(self) -> None:
        """Add the fraction of a retry that a success earns."""
        self.left = min(self._limits.reserve, self.left + self._limits.fraction)

    def take(self) -> bool:
        """Take one retry from the budget; return whether the budget allows it."""
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
