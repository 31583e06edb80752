"""The planned stop of this gateway: what it still takes, and when what is in progress ends."""

import asyncio
import contextlib
import math
from collections import defaultdict
from collections.abc import AsyncIterator

from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.policy.planned_stop import RunDurations, StopTimes, can_end_in_time

__all__ = ["PlannedStop"]

RETRY_AFTER_SECONDS = 0.05
"""Retry-After value of requests that are refused; other gateways serve them at once."""


class PlannedStop:
    """Planned stop of this gateway, which has not begun at first.

    ``refused`` counts the requests that came or waited too late to end before it.
    """

    def __init__(self) -> None:
        self.refused = 0
        self._times: StopTimes | None = None
        self._timeouts: set[asyncio.Timeout] = set()
        self._durations_by_route: defaultdict[str, RunDurations] = defaultdict(RunDurations)

    @property
    def ends_at(self) -> float:
        """Time at which the last answers are to be complete; infinite before the stop."""
        return self._times.ends_at if self._times is not None else math.inf

    def begin(self, times: StopTimes) -> None:
        """Let what is in progress end before the gateway stops."""
        self._times = times
        for timeout in self._timeouts:
            when = timeout.when()
            if not timeout.expired() and (when is None or when > times.ends_at):
                timeout.reschedule(times.ends_at)

    @contextlib.asynccontextmanager
    async def time_limit(self, seconds: float) -> AsyncIterator[asyncio.Timeout]:
        """Raise ``TimeoutError`` in the block after some seconds, or before the gateway stops."""
        now = asyncio.get_running_loop().time()
        async with asyncio.timeout_at(min(now + seconds, self.ends_at)) as timeout:
            self._timeouts.add(timeout)
            try:
                yield timeout
            finally:
                self._timeouts.discard(timeout)

    def record_run(self, route: str, seconds: float) -> None:
        """Record how long a run of a route took, in seconds."""
        self._durations_by_route[route].record(seconds)

    def refuse_if_late(self, route: str, deadline: float, is_new: bool) -> None:
        """Raise ``RefusedError`` if a request would not end before the gateway stops.

        Parameters
        ----------
        route, deadline
            Its route, and the time until which its caller waits. No engine runs it now.
        is_new
            Whether it has just arrived.
        """
        if self._times is None:
            return
        now = asyncio.get_running_loop().time()
        likely = self._durations_by_route[route].likely
        if not can_end_in_time(self._times, now, deadline, likely, is_new):
            self.refused += 1
            detail = "the gateway stops before it would end"
            raise RefusedError(ResultCode.SHUTTING_DOWN, detail, RETRY_AFTER_SECONDS)
