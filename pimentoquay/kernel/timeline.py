"""The time line: a bounded list of events per process, ordered by a hybrid logical clock.

Every message between processes may carry a stamp; ``HybridClock.observe`` moves the local
stamp past it, so that merged events of several processes keep cause before effect.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.kernel.clock import Clock

__all__ = ["Event", "HybridClock", "Stamp", "TimeLine"]

DEFAULT_CAPACITY = 4096
"""Events kept per process."""


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical clock reading: wall time in microseconds, then a counter."""

    wall_us: int
    count: int


class HybridClock:
    """Issues stamps that never go back and that follow every stamp observed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._wall_us = 0
        self._count = 0

    def advance(self) -> tuple[int, int]:
        """Return the wall time and counter of a new stamp, without making the object."""
        wall_us = int(self._clock.wall() * 1e6)
        if wall_us > self._wall_us:
            self._wall_us, self._count = wall_us, 0
        else:
            self._count += 1
        return self._wall_us, self._count

    def tick(self) -> Stamp:
        """Return a stamp later than all stamps issued or observed."""
        return Stamp(*self.advance())

    def observe(self, stamp: Stamp) -> None:
        """Move past a stamp received from another process."""
        if (stamp.wall_us, stamp.count) > (self._wall_us, self._count):
            self._wall_us, self._count = stamp.wall_us, stamp.count


@dataclass(frozen=True)
class Event:
    """One thing that happened in one process."""

    stamp: Stamp
    vm: str
    process: str
    kind: str
    request_id: str = ""
    workspace: str = ""
    detail: str = ""


_Record = tuple[tuple[int, int], str, str, str, str]
"""Wall time and counter, kind, request id, workspace and detail of an event not yet asked for."""


class TimeLine:
    """The newest events of this process, oldest dropped first.

    Events are kept as tuples and become objects when somebody asks for them.
    """

    def __init__(
        self, clock: Clock, vm: str, process: str, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self.hybrid_clock = HybridClock(clock)
        self._vm = vm
        self._process = process
        self._records: deque[_Record] = deque(maxlen=capacity)
        self._write: Callable[[Event], None] | None = None

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Append one event stamped now."""
        record = (self.hybrid_clock.advance(), kind, request_id, workspace, detail)
        self._records.append(record)
        if self._write is not None:
            self._write(self._event(record))

    def write_to(self, write: Callable[[Event], None]) -> None:
        """Hand every later event to ``write`` as well."""
        self._write = write

    def events(self, request_id: str = "", workspace: str = "") -> tuple[Event, ...]:
        """Return the kept events, filtered by request and workspace when given."""
        return tuple(
            self._event(record)
            for record in self._records
            if (not request_id or record[2] == request_id)
            and (not workspace or record[3] == workspace)
        )

    def _event(self, record: _Record) -> Event:
        return Event(Stamp(*record[0]), self._vm, self._process, *record[1:])
