"""Decide which requests a VM still passes on while it is being stopped.

The platform gives a VM that is to stop a grace time, after which its process is killed. Requests
go on to arrive on connections that are open, long after no new ones are opened.
"""

from collections import deque
from dataclasses import dataclass

__all__ = ["RunDurations", "StopTimes", "can_end_in_time"]

REMEMBERED_RUNS = 64
"""Number of the latest runs from which the likely duration of the next one is taken."""

LIKELY_SHARE = 0.9
"""Share of the runs that are not longer than the likely duration."""


@dataclass(frozen=True)
class StopTimes:
    """Times of a planned stop, in seconds of one clock.

    Parameters
    ----------
    diverted_at
        Time from which callers that open a connection are sent to other VMs.
    ends_at
        Time at which the last answers are to be complete.
    """

    diverted_at: float
    ends_at: float


def can_end_in_time(
    times: StopTimes, now: float, deadline: float, run_seconds: float, is_new: bool
) -> bool:
    """Return whether a request that is passed on now has its answer before the VM stops.

    Load pattern: one VM after the other is stopped under load. Requests that are passed on and cut
    at the end are lost, and may have run; refused at once, they are served by other VMs. Until
    callers are diverted, most are sent to this VM again, so it serves what it probably can; later
    it takes only requests whose callers do not wait beyond the end.

    Parameters
    ----------
    times
        Times of the stop.
    now, deadline
        Current time, and the time until which the caller waits, in seconds.
    run_seconds
        Likely duration of the run, in seconds.
    is_new
        Whether the request has just arrived; others came before, and have waited.

    Example
    -------
    >>> times = StopTimes(diverted_at=3.0, ends_at=7.0)
    >>> can_end_in_time(times, 1.0, 15.0, 2.0, True), can_end_in_time(times, 4.0, 15.0, 2.0, True)
    (True, False)
    >>> can_end_in_time(times, 4.0, 6.5, 2.0, True)
    True
    """
    if deadline <= times.ends_at:
        return True
    if is_new and now > times.diverted_at:
        return False
    return now + run_seconds <= times.ends_at


class RunDurations:
    """Durations of the latest runs of one kind, in seconds.

    Example
    -------
    >>> durations = RunDurations()
    >>> durations.likely
    0.0
    >>> for seconds in range(1, 11):
    ...     durations.record(float(seconds))
    >>> durations.likely
    9.0
    """

    def __init__(self) -> None:
        self._seconds: deque[float] = deque(maxlen=REMEMBERED_RUNS)

    def record(self, seconds: float) -> None:
        """Add the duration of a run."""
        self._seconds.append(seconds)

    @property
    def likely(self) -> float:
        """Duration that few runs exceed, or 0 if none has been seen."""
        if not self._seconds:
            return 0.0
        ordered = sorted(self._seconds)
        return ordered[max(0, round(LIKELY_SHARE * len(ordered)) - 1)]
