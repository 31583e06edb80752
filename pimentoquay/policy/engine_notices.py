"""Notices that engines give about themselves in their responses: leaving, or a requested pause.

Failure pattern: an engine is shut down while the store, or a peer with an older copy of its
records, still lists it as ready. The engine says so in its own responses before the list does, and
that notice is final for this start of the engine, whatever the list says later.

Load pattern: an overloaded engine rejects requests and states for how long it wants none. Callers
that come back earlier only keep it overloaded, so nothing at all is sent to it until then.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import takewhile

__all__ = ["EngineNotices", "EngineStart"]

LEAVING_RETENTION_SECONDS = 600.0
"""Time for which a leaving notice is kept, in seconds; engines exit well before it ends."""

MAX_PAUSE_SECONDS = 300.0
"""Longest pause that an engine can request, in seconds.

A larger value would take the engine out of service for good, so it is treated as this one.
"""

IN_TRANSIT_SECONDS = 0.3
"""Time for which requests that already have memory at a pausing engine may still be sent to it."""


@dataclass(frozen=True)
class EngineStart:
    """One start of an engine; an engine that starts again has a higher ``incarnation``.

    ``restarts`` counts the starts since then that its entry does not show yet.
    """

    id: str
    incarnation: int
    restarts: int = 0


@dataclass(frozen=True)
class _Pause:
    since: float
    until: float


class EngineNotices:
    """Leaving notices and requested pauses of the engines that one VM knows.

    ``pauses_requested`` counts the pauses that engines have requested, ``sends_withheld`` the
    requests that were not sent because of one.

    Example
    -------
    >>> notices = EngineNotices()
    >>> engine = EngineStart("dec-1", 1)
    >>> notices.record_pause(engine, 2.0, now=10.0)
    >>> notices.accepts_work(engine, now=11.0), notices.accepts_work(engine, now=12.0)
    (False, True)
    """

    def __init__(self) -> None:
        self.pauses_requested = 0
        self.sends_withheld = 0
        self._left_at_by_start: dict[EngineStart, float] = {}
        self._pause_by_start: dict[EngineStart, _Pause] = {}

    @property
    def leaving(self) -> tuple[EngineStart, ...]:
        """Starts of engines that are leaving."""
        return tuple(self._left_at_by_start)

    def record_leaving(self, starts: Iterable[EngineStart], now: float) -> tuple[EngineStart, ...]:
        """Record that engines are leaving; return those for which that was not known."""
        new = tuple(each for each in starts if each not in self._left_at_by_start)
        for each in new:
            self._left_at_by_start[each] = now
        # The oldest notices come first, so those that are kept need not be looked at.
        oldest = takewhile(
            lambda item: now - item[1] > LEAVING_RETENTION_SECONDS, self._left_at_by_start.items()
        )
        for each, _ in tuple(oldest):
            del self._left_at_by_start[each]
        return new

    def record_pause(self, start: EngineStart, seconds: float, now: float) -> None:
        """Record that an engine wants no requests for a time.

        ``ValueError`` if the time is negative or not a number.
        """
        if math.isnan(seconds) or seconds < 0:
            raise ValueError(f"pause of {start.id}: {seconds} s")
        self.pauses_requested += 1
        until = now + min(seconds, MAX_PAUSE_SECONDS)
        known = self._pause_by_start.get(start)
        if known is None or known.until <= now:
            self._pause_by_start[start] = _Pause(now, until)
        elif until > known.until:
            self._pause_by_start[start] = _Pause(known.since, until)

    def is_leaving(self, start: EngineStart) -> bool:
        """Return whether an engine has announced that it leaves."""
        return start in self._left_at_by_start

    def pause_seconds(self, start: EngineStart, now: float) -> float:
        """Return the seconds until an engine accepts requests again; 0.0 if it does now."""
        pause = self._pause_by_start.get(start)
        if pause is None:
            return 0.0
        if pause.until <= now:
            del self._pause_by_start[start]
            return 0.0
        return pause.until - now

    def accepts_work(self, start: EngineStart, now: float) -> bool:
        """Return whether an engine may be chosen for a request."""
        return not self.is_leaving(start) and self.pause_seconds(start, now) == 0.0

    def may_send(self, start: EngineStart, now: float) -> bool:
        """Return whether a request for which the engine was chosen earlier may still be sent.

        A refusal is counted in ``sends_withheld``.
        """
        if self.pause_seconds(start, now) == 0.0:
            return True
        if now - self._pause_by_start[start].since < IN_TRANSIT_SECONDS:
            return True
        self.sends_withheld += 1
        return False
