"""Decide for how long a caller may leave its connection idle, beside changes of the limit."""

from collections import deque
from dataclasses import dataclass

__all__ = ["IdleLimits"]

HOLD_FACTOR = 2.0
"""Ratio of the time for which an idle connection is held to the limit of its caller.

A caller counts from when it has read its answer, which may be long after that was delivered to the
system of its machine. Connections that are needed for others end sooner.
"""


@dataclass(frozen=True)
class _PastLimit:
    """A limit in seconds, and the time at which a shorter one came in force, in seconds."""

    seconds: float
    ended_at: float


class IdleLimits:
    """Limits of the idle time of callers' connections that are in force, or were lately.

    Load pattern: callers keep their connections and use them again after pauses, while the limit
    changes, also several times in quick succession. A caller and a VM may hold different versions
    of the configuration for some time after a change, so a connection is closed only if its caller
    may not use it by any limit that it may still know, also if it read its last answer late.

    Parameters
    ----------
    apply_seconds
        Time within which all callers know a new limit, in seconds.
    seconds
        Limit in force until another one is recorded, in seconds.

    Example
    -------
    >>> limits = IdleLimits(apply_seconds=3.0, seconds=15.0)
    >>> limits.record(2.0, now=100.0)
    >>> limits.held(idle_since=100.5, now=102.0), limits.held(idle_since=100.5, now=104.0)
    (30.0, 4.0)
    """

    def __init__(self, apply_seconds: float, seconds: float) -> None:
        self._apply_seconds = apply_seconds
        self._seconds = seconds
        self._past: deque[_PastLimit] = deque()

    def __len__(self) -> int:
        """Return the number of past limits that are kept, each longer than all after it."""
        return len(self._past)

    def record(self, seconds: float, now: float) -> None:
        """Record the limit in force from now on, in seconds."""
        if seconds < self._seconds:
            self._past.append(_PastLimit(self._seconds, now))
        while self._past and self._past[-1].seconds <= seconds:
            self._past.pop()
        self._seconds = seconds
        if self._past:
            self._forget(now)

    def held(self, idle_since: float, now: float) -> float:
        """Return the idle time in seconds for which a connection is held.

        Parameters
        ----------
        idle_since, now
            Time at which the connection became idle, and the current time, in seconds.
        """
        counts_from = min(idle_since, now - self._apply_seconds)
        for limit in self._past:
            if limit.ended_at >= counts_from:
                return HOLD_FACTOR * limit.seconds
        return HOLD_FACTOR * self._seconds

    def _forget(self, now: float) -> None:
        """Forget the limits that ended before any connection that is open became idle."""
        kept_seconds = HOLD_FACTOR * self._past[0].seconds + self._apply_seconds
        while self._past and self._past[0].ended_at < now - kept_seconds:
            self._past.popleft()
