"""How many sends beyond the first one VM may make to a service.

Load pattern: engines fail or refuse many requests at once, at every VM. The deployment allows, in
any window, a ratio of the requests for the service and a fixed slack, over all VMs together. Each
VM keeps to the ratio of its own requests and to its part of the slack, so nobody has to be asked.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["RepeatAllowance", "RepeatLimits"]


@dataclass(frozen=True)
class RepeatLimits:
    """The deployment's limits: a ratio of requests and a slack, in any window of seconds."""

    ratio: float
    slack: float
    window_seconds: float


class RepeatAllowance:
    """The sends and repeats of one VM to one service.

    Parameters
    ----------
    limits
        The limits of the whole deployment.
    started_at
        When this VM started. What it sent before is not known, so its part of the slack grows
        from nothing over the first window.
    """

    def __init__(self, limits: RepeatLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._request_times: deque[float] = deque()
        self._repeat_times: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a caller's request."""
        self._request_times.append(now)
        self._forget(now)

    def left(self, now: float, vms: int) -> float:
        """Return how many repeats may still be sent now, where ``vms`` share the slack."""
        self._forget(now)
        limits = self._limits
        age = min(1.0, (now - self._started_at) / limits.window_seconds)
        slack = limits.slack / max(1, vms) * age
        earned = limits.ratio * len(self._request_times)
        return earned + slack - len(self._repeat_times)

    def take(self, now: float, vms: int, sends: int = 1) -> bool:
        """Count a repeat of so many sends if all are allowed; return whether they are."""
        if self.left(now, vms) < sends:
            return False
        self._repeat_times.extend([now] * sends)
        return True

    def _forget(self, now: float) -> None:
        oldest = now - self._limits.window_seconds
        for times in (self._request_times, self._repeat_times):
            while times and times[0] < oldest:
                times.popleft()
