"""The time line: a bounded list of events per process, ordered by a hybrid logical clock.

Every message between processes may carry a stamp; ``HybridClock.observe`` moves the local
stamp past it, so that merged events of several processes keep cause before effect.
"""

from collections import deque
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
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return a stamp later than all stamps issued or observed."""
        wall_us = int(self._clock.wall() * 1e6)
        if wall_us > self._last.wall_us:
            self._last = Stamp(wall_us, 0)
        else:
            self._last = Stamp(self._last.wall_us, self._last.count + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Move past a stamp received from another process."""
        self._last = max(self._last, stamp)


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


class TimeLine:
    """The newest events of this process, oldest dropped first."""

    def __init__(
        self, clock: Clock, vm: str, process: str, capacity: int = DEFAULT_CAPACITY
    ) -> None:
        self.hybrid_clock = HybridClock(clock)
        self._vm = vm
        self._process = process
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(
        self, kind: str, request_id: str = "", workspace: str = "", detail: str = ""
    ) -> None:
        """Append one event stamped now."""
        stamp = self.hybrid_clock.tick()
        self._events.append(
            Event(stamp, self._vm, self._process, kind, request_id, workspace, detail)
        )

    def events(self, request_id: str = "", workspace: str = "") -> tuple[Event, ...]:
        """Return the kept events, filtered by request and workspace when given."""
        return tuple(
            event
            for event in self._events
            if (not request_id or event.request_id == request_id)
            and (not workspace or event.workspace == workspace)
        )
