"""Decide whose work goes on next if connections have sent more than is handled at once."""

import heapq
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from itertools import count

__all__ = ["LeastServedFirst"]

QUIET_SECONDS = 0.2
"""Time without work after which the turns that a key has had count no more."""

MAX_COUNTED_TURNS = 64
"""Number of turns from which on keys are served one after the other."""

CLEAN_UP_TURNS = 256
"""Number of turns after which keys without work are removed from memory."""


@dataclass(frozen=True)
class _Served:
    turns: int
    at: float


class LeastServedFirst:
    """Gives the next turn to the key that has had the fewest since its work began.

    Load pattern: some connections send thousands of tiny items in each read, without end, while
    others now and then send a little more than is handled at once. With one turn after the other,
    these wait for a turn of each of the first for every turn of their own. Here they go first until
    they have had as many; beyond some number of turns, all are served alike, so none starves.

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
        self._heap: list[tuple[int, int, Hashable]] = []
        self._number_by_waiting: dict[Hashable, int] = {}
        self._served_by_key: dict[Hashable, _Served] = {}
        self._numbers = count()
        self._taken = 0

    def add(self, key: Hashable) -> None:
        """Let a key that has no turn yet have one."""
        number = self._number_by_waiting[key] = next(self._numbers)
        heapq.heappush(self._heap, (self._turns_of(key, self._now()), number, key))

    def take(self) -> Hashable | None:
        """Return the key whose turn is next, which has none any more, or None if none has."""
        while self._heap:
            turns, number, key = heapq.heappop(self._heap)
            if self._number_by_waiting.get(key) == number:
                del self._number_by_waiting[key]
                self._served_by_key[key] = _Served(min(turns + 1, MAX_COUNTED_TURNS), self._now())
                self._clean_up()
                return key
        return None

    def discard(self, key: Hashable) -> None:
        """Let a key have no turn, and forget it."""
        self._number_by_waiting.pop(key, None)
        self._served_by_key.pop(key, None)

    def _turns_of(self, key: Hashable, now: float) -> int:
        served = self._served_by_key.get(key)
        return served.turns if served is not None and now - served.at <= QUIET_SECONDS else 0

    def _clean_up(self) -> None:
        self._taken += 1
        if self._taken % CLEAN_UP_TURNS:
            return
        now = self._now()
        for key in tuple(self._served_by_key):
            if key not in self._number_by_waiting and not self._turns_of(key, now):
                del self._served_by_key[key]
