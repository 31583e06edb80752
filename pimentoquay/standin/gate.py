"""A gate that lets one holder through at a time, the lowest priority number first."""

import asyncio
import heapq
import itertools

__all__ = ["PriorityGate"]


class PriorityGate:
    """Serves waiters one at a time by priority, then in order of arrival."""

    def __init__(self) -> None:
        self._busy = False
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()

    @property
    def is_busy(self) -> bool:
        """Whether somebody holds the gate."""
        return self._busy

    async def acquire(self, priority: int) -> None:
        """Wait for the gate; every acquirer must ``release`` it."""
        if not self._busy:
            self._busy = True
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Hand the gate to the next waiter."""
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False
