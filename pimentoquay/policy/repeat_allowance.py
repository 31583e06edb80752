"""Budget of one VM for repeated sends of requests to a service.

Load pattern: engines fail or refuse many requests at once, at every VM. The deployment limits the
repeats of all VMs together in any time window to a ratio of the service's requests plus a fixed
slack. Each VM keeps to that ratio of its own requests and to an equal part of the slack, so the VMs
need no coordination.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["RepeatAllowance", "RepeatLimits"]


@dataclass(frozen=True)
class RepeatLimits:
    """Limits of a deployment on repeats in any window of ``window_seconds``.

    All VMs together may repeat at most ``ratio`` times the number of requests, plus ``slack``.
    """

    ratio: float
    slack: float
    window_seconds: float


class RepeatAllowance:
    """Budget of one VM for repeated sends to one service.

    Load pattern: engines fail or refuse many requests at once, at every VM.

    Parameters
    ----------
    limits
        Limits of the whole deployment.
    started_at
        Start time of this VM in seconds. The number of repeats that it sent before a restart is not
        known, so its part of ``limits.slack`` grows from zero over the first window.
    """

    def __init__(self, limits: RepeatLimits, started_at: float) -> None:
        self._limits = limits
        self._started_at = started_at
        self._request_times: deque[float] = deque()
        self._repeat_times: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request from a caller."""
        self._request_times.append(now)
        self._drop_old(now)

    def left(self, now: float, vms: int) -> float:
        """Return the number of repeated sends that are still allowed now.

        ``vms`` is the number of VMs among which ``limits.slack`` is divided.
        """
        self._drop_old(now)
        limits = self._limits
        age = min(1.0, (now - self._started_at) / limits.window_seconds)
        slack = limits.slack / max(1, vms) * age
        earned = limits.ratio * len(self._request_times)
        return earned + slack - len(self._repeat_times)

    def take(self, now: float, vms: int, sends: int = 1) -> bool:
        """Count ``sends`` repeated sends if all of them are allowed; return whether they are."""
        if self.left(now, vms) < sends:
            return False
        self._repeat_times.extend([now] * sends)
        return True

    def _drop_old(self, now: float) -> None:
        oldest = now - self._limits.window_seconds
        for times in (self._request_times, self._repeat_times):
            while times and times[0] < oldest:
                times.popleft()
