"""The timer service that parts subscribe to.

Every wait of a process goes through one service, so that a test can pause a whole process and
so that shutdown ends all of them at once.

Example
-------
::

    subscription = timers.every(1.0, part.renew)
    timers.after(0.25, part.expire)
    subscription.cancel()
"""

import asyncio
from collections.abc import Callable

from pimentoquay.kernel.clock import Clock, LoopClock

__all__ = ["Subscription", "TimerService"]


class Subscription:
    """One subscription to the timer service."""

    def __init__(self, forget: Callable[["Subscription"], None]) -> None:
        self._handle: asyncio.TimerHandle | None = None
        self._forget = forget
        self.cancelled = False

    def cancel(self) -> None:
        """Stop all later calls."""
        self.cancelled = True
        if self._handle is not None:
            self._handle.cancel()
        self._forget(self)

    def arm(self, handle: asyncio.TimerHandle) -> None:
        """Remember the loop's handle of the next call."""
        self._handle = handle


class TimerService:
    """Calls subscribers back after a delay or at a fixed period.

    Parameters
    ----------
    clock
        The process's clock.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or LoopClock()
        self._subscriptions: set[Subscription] = set()
        self._paused = False
        self._held: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.now()

    def after(self, delay: float, call: Callable[[], None]) -> Subscription:
        """Call once after ``delay`` seconds."""
        subscription = Subscription(self._subscriptions.discard)
        self._subscriptions.add(subscription)
        loop = asyncio.get_running_loop()
        subscription.arm(loop.call_later(max(0.0, delay), self._fire, subscription, call, None))
        return subscription

    def every(self, period: float, call: Callable[[], None]) -> Subscription:
        """Call every ``period`` seconds until cancelled; the first call is one period away."""
        if period <= 0:
            raise ValueError(f"period must be positive, got {period} s")
        subscription = Subscription(self._subscriptions.discard)
        self._subscriptions.add(subscription)
        loop = asyncio.get_running_loop()
        subscription.arm(loop.call_later(period, self._fire, subscription, call, period))
        return subscription

    async def sleep(self, delay: float) -> None:
        """Wait for ``delay`` seconds."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        subscription = self.after(delay, lambda: done.done() or done.set_result(None))
        try:
            await done
        finally:
            subscription.cancel()

    def pause(self) -> None:
        """Hold back every call until ``resume``, as if the whole process were stopped."""
        self._paused = True

    def resume(self) -> None:
        """Deliver the calls held back since ``pause``, oldest first."""
        self._paused = False
        held, self._held = self._held, []
        for call in held:
            call()

    def close(self) -> None:
        """Cancel every subscription."""
        for subscription in list(self._subscriptions):
            subscription.cancel()

    def _fire(
        self, subscription: Subscription, call: Callable[[], None], period: float | None
    ) -> None:
        if self._paused:
            self._held.append(lambda: self._fire(subscription, call, period))
            return
        if subscription.cancelled:
            return
        if period is None:
            self._subscriptions.discard(subscription)
        else:
            loop = asyncio.get_running_loop()
            subscription.arm(loop.call_later(period, self._fire, subscription, call, period))
        call()
