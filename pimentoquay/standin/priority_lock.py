"""Lock whose waiters acquire it by priority."""

import asyncio
import heapq
import itertools

__all__ = ["PriorityLock"]


class PriorityLock:
    """Lock that is acquired by the lowest priority number first, then in order of arrival."""

    def __init__(self) -> None:
        self._is_held = False
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()

    @property
    def is_busy(self) -> bool:
        """Whether the lock is held."""
        return self._is_held

    async def acquire(self, priority: int) -> None:
        """Wait for the lock; the caller must ``release`` it."""
        if not self._is_held:
            self._is_held = True
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), granted))
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release the lock, or pass it to the next waiter."""
        while self._waiting:
            _, _, granted = heapq.heappop(self._waiting)
            if not granted.done():
                granted.set_result(None)
                return
        self._is_held = False
