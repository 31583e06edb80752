"""Decide whose work goes on next if connections have sent more than is handled at once."""

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from itertools import count
from typing import NamedTuple

__all__ = ["LeastServedFirst"]

QUIET_SECONDS = 0.2
"""Time without work after which the turns that a key has had count no more."""

MAX_COUNTED_TURNS = 64
"""Number of turns from which on keys are served one after the other."""

OLDEST_SHARE = 8
"""Of so many turns, one goes to the key that has waited longest."""

CLEAN_UP_TURNS = 256
"""Number of turns after which keys without work are removed from memory."""


@dataclass(frozen=True)
class _Served:
    turns: int
    at: float


class _Place(NamedTuple):
    turns: int
    number: int


class LeastServedFirst:
    """Gives the next turn to the key that has had the fewest since its work began.

    Load pattern: some connections send thousands of tiny items in each read, without end, while
    others now and then send a little more than is handled at once. With one turn after the other,
    these wait for a turn of each of the first for every turn of their own. Here they go first until
    they have had as many; beyond some number of turns, all are served alike. A part of the turns
    goes to those that have waited longest, so none starves while ever new connections come.

    Parameters
    ----------
    now
        Returns the time in seconds.

    Example
    -------
    >>> order = LeastServedFirst(lambda: 0.0)
    >>> order.add("endless")
    >>> order.take()
    'endless'
    >>> order.add("endless")
    >>> order.add("sound")
    >>> order.take(), order.take(), order.take()
    ('sound', 'endless', None)
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._heap: list[tuple[_Place, Hashable]] = []
        self._place_by_waiting: dict[Hashable, _Place] = {}
        self._served_by_key: dict[Hashable, _Served] = {}
        self._numbers = count()
        self._taken = 0

    def add(self, key: Hashable) -> None:
        """Let a key that has no turn yet have one."""
        place = _Place(self._turns_of(key, self._now()), next(self._numbers))
        self._place_by_waiting[key] = place
        heapq.heappush(self._heap, (place, key))

    def take(self) -> Hashable | None:
        """Return the key whose turn is next, which has none any more, or None if none has."""
        if not self._place_by_waiting:
            self._heap.clear()
            return None
        key = self._oldest() if self._taken % OLDEST_SHARE == 0 else self._least_served()
        now = self._now()
        turns = self._place_by_waiting.pop(key).turns + 1
        self._served_by_key[key] = _Served(min(turns, MAX_COUNTED_TURNS), now)
        self._taken += 1
        if self._taken % CLEAN_UP_TURNS == 0:
            self._clean_up(now)
        return key

    def discard(self, key: Hashable) -> None:
        """Let a key have no turn, and forget it."""
        self._place_by_waiting.pop(key, None)
        self._served_by_key.pop(key, None)

    def _oldest(self) -> Hashable:
        # Keys are added in the order of their numbers.
        return next(iter(self._place_by_waiting))

    def _least_served(self) -> Hashable:
        while True:
            place, key = heapq.heappop(self._heap)
            if self._place_by_waiting.get(key) == place:
                return key

    def _turns_of(self, key: Hashable, now: float) -> int:
        served = self._served_by_key.get(key)
        return served.turns if served is not None and now - served.at <= QUIET_SECONDS else 0

    def _clean_up(self, now: float) -> None:
        self._heap = [each for each in self._heap if self._place_by_waiting.get(each[1]) == each[0]]
        heapq.heapify(self._heap)
        for key in tuple(self._served_by_key):
            if key not in self._place_by_waiting and not self._turns_of(key, now):
                del self._served_by_key[key]
