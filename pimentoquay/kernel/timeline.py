"""Time line: a bounded list of events of a process, ordered by a hybrid logical clock.

Messages between processes may carry a stamp. ``HybridClock.observe`` advances the local clock past
it, so that the merged events of several processes are in causal order.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.kernel.clock import Clock

__all__ = ["Event", "HybridClock", "Stamp", "TimeLine"]

DEFAULT_CAPACITY = 4096
"""Number of events kept per process."""


@dataclass(frozen=True, order=True)
class Stamp:
    """Time of a hybrid logical clock: wall time in microseconds, then a counter."""

    wall_us: int
    count: int


class HybridClock:
    """Hybrid logical clock: each stamp is later than all stamps issued or observed before."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wall_us = 0
        self._count = 0

    def advance(self) -> tuple[int, int]:
        """Return the wall time and counter of a new stamp without creating a ``Stamp``."""
        wall_us = int(self._clock.wall() * 1e6)
        if wall_us > self._wall_us:
            self._wall_us, self._count = wall_us, 0
        else:
            self._count += 1
        return self._wall_us, self._count

    def tick(self) -> Stamp:
        """Return a new stamp."""
        return Stamp(*self.advance())

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to a stamp received from another process, if that is later."""
        if (stamp.wall_us, stamp.count) > (self._wall_us, self._count):
            self._wall_us, self._count = stamp.wall_us, stamp.count


@dataclass(frozen=True)
class Event:
    """Event of a process, such as a step of a request."""

    stamp: Stamp
    vm: str
    process: str
    kind: str
    request_id: str = ""
    workspace: str = ""
    detail: str = ""


_Record = tuple[tuple[int, int], str, str, str, str]
"""Stored event: (wall time, counter), kind, request id, workspace and detail."""


class TimeLine:
    """Newest events of this process; the oldest is dropped when ``capacity`` is exceeded.

    Events are stored as tuples and converted to objects only when they are requested.

    Parameters
    ----------
    clock
        Clock of the process.
    vm, process
        Names that each event carries.
    capacity
        Maximum number of events.
    """

    def __init__(
        self, clock: Clock, vm: str, process: str, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self.hybrid_clock = HybridClock(clock)
        self._vm = vm
        self._process = process
        self._records: deque[_Record] = deque(maxlen=capacity)
        self._sink: Callable[[Event], None] | None = None

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Append an event with the current time."""
        record = (self.hybrid_clock.advance(), kind, request_id, workspace, detail)
        self._records.append(record)
        if self._sink is not None:
            self._sink(self._event(record))

    def set_sink(self, sink: Callable[[Event], None]) -> None:
        """Call ``sink`` with every event recorded from now on."""
        self._sink = sink

    def events(self, request_id: str = "", workspace: str = "") -> tuple[Event, ...]:
        """Return the stored events, optionally only those of a request or workspace."""
        return tuple(
            self._event(record)
            for record in self._records
            if (not request_id or record[2] == request_id)
            and (not workspace or record[3] == workspace)
        )

    def _event(self, record: _Record) -> Event:
        return Event(Stamp(*record[0]), self._vm, self._process, *record[1:])
