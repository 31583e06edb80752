"""Cost of recording an entry's time line while nobody reads it: events and processor time.

The same requests are sent through a real entry with the time line and with one that drops all
events, alternately in one process, and the ratio of their processor times is computed.
"""

import asyncio
import statistics

from pimentoquay.bench.slopes.relay import SHORT_REQUESTS, PreparedAnswerEngine, time_requests
from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import LoopClock, TimeLine, plugin

__all__ = ["DroppingTimeLine", "timeline_slopes"]

EVENTS_PER_SAMPLE = 5000
PAIRS = 5
"""Number of measured ratios whose median is one sample."""


class DroppingTimeLine(TimeLine):
    """Time line that drops all events."""

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Drop an event."""


class CountingTimeLine(TimeLine):
    """Time line that counts events that belong to a request."""

    count = 0

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Count an event if it has a request id."""
        self.count += bool(request_id)


@plugin("slope", "timeline")
def timeline_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the time line of an entry.

    The slopes are the number of events per request, the time to record an event, and the ratio of
    the processor time of requests with the time line to that without it.
    """
    return asyncio.run(_timeline_slopes(repeats))


async def _timeline_slopes(repeats: int) -> tuple[Slope, ...]:
    clock = LoopClock()
    recording, dropping = TimeLine(clock, "vm", "entry"), DroppingTimeLine(clock, "vm", "entry")
    counting = CountingTimeLine(clock, "vm", "entry")
    await _time_requests(counting)
    # ``time_requests`` sends one more request than it times, and its events are counted as well.
    events = counting.count / (SHORT_REQUESTS + 1)
    event_times = time_per_call(
        lambda: recording.record(
            "granted", "rates-hall/0123456789abcdef", "rates-hall", "engine-1"
        ),
        EVENTS_PER_SAMPLE,
        repeats,
    )
    ratios = []
    for _ in range(repeats):
        ratios.append(
            statistics.median([await _time_ratio(recording, dropping) for _ in range(PAIRS)])
        )
    return (
        slope_of("events on the time line of the entry", "events", "request", [events]),
        slope_of("recording an event", "µs", "event", event_times),
        slope_of("processor time with the time line over without", "times", "request", ratios),
    )


async def _time_ratio(recording: TimeLine, dropping: TimeLine) -> float:
    """Return the ratio of processor times with the time line and without it.

    The order of the runs is with, without, without, with, so that a linear drift of the processor
    speed cancels out.
    """
    first, second = await _time_requests(recording), await _time_requests(dropping)
    third, fourth = await _time_requests(dropping), await _time_requests(recording)
    return (first + fourth) / (second + third)


async def _time_requests(timeline: TimeLine) -> float:
    return await time_requests(PreparedAnswerEngine(1), SHORT_REQUESTS, timeline)
