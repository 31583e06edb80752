"""Slopes of the time line that nobody reads: events of a request, and what recording them costs.

The same requests run through a real entry with the time line and with one that drops every event,
in turn in one process, so that the ratio is of the same run.
"""

import asyncio
import statistics

from pimentoquay.bench.slopes.relay import SHORT_REQUESTS, ReadyEngine, time_requests
from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import LoopClock, TimeLine, plugin

__all__ = ["DroppingTimeLine", "timeline_slopes"]

EVENTS = 5000
PAIRS = 5
"""Comparisons of which a sample is the median."""


class DroppingTimeLine(TimeLine):
    """A time line that keeps nothing."""

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Drop the event."""


class CountingTimeLine(TimeLine):
    """A time line that counts the events of requests."""

    count = 0

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Count the event."""
        self.count += bool(request_id)


@plugin("slope", "timeline")
def timeline_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure events of a request, the cost of one, and requests with and without them."""
    return asyncio.run(_timeline_slopes(repeats))


async def _timeline_slopes(repeats: int) -> tuple[Slope, ...]:
    clock = LoopClock()
    kept, dropped = TimeLine(clock, "vm", "entry"), DroppingTimeLine(clock, "vm", "entry")
    counting = CountingTimeLine(clock, "vm", "entry")
    await _time(counting)
    # The time of a first request, before the requests that are timed, counts as well.
    events = counting.count / (SHORT_REQUESTS + 1)
    each = time_per_call(
        lambda: kept.record("granted", "rates-hall/0123456789abcdef", "rates-hall", "engine-1"),
        EVENTS,
        repeats,
    )
    ratios = []
    for _ in range(repeats):
        ratios.append(statistics.median([await _ratio(kept, dropped) for _ in range(PAIRS)]))
    return (
        slope_of("events on the time line of the entry", "events", "request", [events]),
        slope_of("recording an event", "µs", "event", each),
        slope_of("processor time with the time line over without", "times", "request", ratios),
    )


async def _ratio(kept: TimeLine, dropped: TimeLine) -> float:
    """Return the times of two runs with the time line over those of two runs without.

    The runs go with, without, without, with, so that a drift of the machine's speed cancels.
    """
    first, second = await _time(kept), await _time(dropped)
    third, fourth = await _time(dropped), await _time(kept)
    return (first + fourth) / (second + third)


async def _time(timeline: TimeLine) -> float:
    return await time_requests(ReadyEngine(1), SHORT_REQUESTS, timeline)
