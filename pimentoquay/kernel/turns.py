"""Queue of work that one read left over, continued in bounded turns.

A read of some kilobytes may hold thousands of small items. A connection handles as many of them at
once as one turn allows, stops reading, and lets the queue continue. In each pass of the event loop
turns are run for about a millisecond, so that everything else on the loop goes on in between,
however many connections have work left.

Example
-------
::

    def data_received(self, data):
        self.unread += data
        if self.handle_items(ITEMS_PER_TURN):
            self.transport.pause_reading()
            self.turns.add(self, self.continue_items)
"""

import asyncio
import time
from collections import deque
from collections.abc import Callable, Hashable
from typing import Protocol

from pimentoquay.kernel.logs import logger

__all__ = ["ITEMS_PER_TURN", "RoundRobin", "TurnOrder", "TurnQueue"]

ITEMS_PER_TURN = 32
"""Number of items, such as chunks, heads or events, that are handled in one turn.

Parsing an item takes some 20 to 50 microseconds, so a turn takes about a millisecond.
"""


TURN_SECONDS = 0.001
"""Time in seconds after which no further turn, and no further part of one, is begun in a pass."""

MAX_TURNS_PER_PASS = 32
"""Number of turns after which no further one is begun in one pass, however short they are."""


class TurnOrder(Protocol):
    """Decides whose turn is next."""

    def add(self, key: Hashable) -> None:
        """Let a key that has no turn yet have one."""

    def take(self) -> Hashable | None:
        """Return the key whose turn is next, which has none any more, or None if none has."""

    def discard(self, key: Hashable) -> None:
        """Let a key have no turn."""


class RoundRobin:
    """One turn after the other, in the order in which they were asked for."""

    def __init__(self) -> None:
        self._keys: deque[Hashable] = deque()

    def add(self, key: Hashable) -> None:
        """Let a key that has no turn yet have one."""
        self._keys.append(key)

    def take(self) -> Hashable | None:
        """Return the key whose turn is next, which has none any more, or None if none has."""
        return self._keys.popleft() if self._keys else None

    def discard(self, key: Hashable) -> None:
        """Let a key have no turn."""
        if key in self._keys:
            self._keys.remove(key)


class TurnQueue:
    """Runs turns for a bounded time in each pass of the event loop.

    ``turns`` counts those that were run, and ``clock`` returns the time by which they are measured.

    Parameters
    ----------
    order
        Decides whose turn is next.
    clock
        Returns the time in seconds.
    """

    def __init__(
        self,
        order: TurnOrder | None = None,
        clock: Callable[[], float] = time.perf_counter,
    ) -> None:
        self.turns = 0
        self.clock = clock
        self._order: TurnOrder = order if order is not None else RoundRobin()
        self._turn_by_key: dict[Hashable, Callable[[], bool]] = {}
        self._is_scheduled = False
        self._has_granted = False

    def add(self, key: Hashable, turn: Callable[[], bool]) -> None:
        """Call ``turn`` in later passes until it returns False, which says that no work is left.

        A key has one turn at a time; a second one replaces the first.
        """
        if key not in self._turn_by_key:
            self._order.add(key)
        self._turn_by_key[key] = turn
        self._schedule()

    def discard(self, key: Hashable) -> None:
        """Run no further turn of a key, whose connection has ended."""
        if self._turn_by_key.pop(key, None) is not None:
            self._order.discard(key)

    async def wait(self, key: Hashable) -> None:
        """Wait until it is the turn of a task that has work left.

        The work is done after the turn, so no other turn is run in the same pass.
        """
        future = asyncio.get_running_loop().create_future()

        def grant() -> bool:
            if not future.done():
                future.set_result(None)
            self._has_granted = True
            return False

        self.add(key, grant)
        try:
            await future
        finally:
            if not future.done() or future.cancelled():
                self.discard(key)

    def end_of_turn(self) -> float:
        """Return the time of ``clock`` at which a turn that begins now is over."""
        return self.clock() + TURN_SECONDS

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_pass)

    def _run_pass(self) -> None:
        self._is_scheduled = self._has_granted = False
        ends_at = self.end_of_turn()
        for _ in range(MAX_TURNS_PER_PASS):
            key = self._order.take()
            if key is None:
                break
            self._run_turn(key)
            if self._has_granted or self.clock() >= ends_at:
                break
        if self._turn_by_key:
            self._schedule()

    def _run_turn(self, key: Hashable) -> None:
        turn = self._turn_by_key.pop(key)
        self.turns += 1
        try:
            has_more = turn()
        except Exception as error:
            logger.opt(exception=error).error("a turn failed; its work is dropped")
            has_more = False
        if has_more and key not in self._turn_by_key:
            self._order.add(key)
            self._turn_by_key[key] = turn
