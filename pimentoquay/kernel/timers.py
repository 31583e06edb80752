"""Timer service of a process.

All delays of a process go through one service, so that a test can pause the whole process and
shutdown can cancel all of them.

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
    """Subscription to a timer.

    Parameters
    ----------
    on_cancel
        Function that removes the subscription from its service.
    """

    def __init__(self, on_cancel: Callable[["Subscription"], None]) -> None:
        self._handle: asyncio.TimerHandle | None = None
        self._on_cancel = on_cancel
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel all further calls."""
        self.cancelled = True
        if self._handle is not None:
            self._handle.cancel()
        self._on_cancel(self)

    def set_handle(self, handle: asyncio.TimerHandle) -> None:
        """Set the event loop's handle of the next call, which ``cancel`` cancels."""
        self._handle = handle


class TimerService:
    """Service that calls functions after a delay or periodically.

    Parameters
    ----------
    clock
        Clock of the process.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock = clock or LoopClock()
        self._subscriptions: set[Subscription] = set()
        self._paused = False
        self._delayed_calls: list[Callable[[], None]] = []

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.now()

    def after(self, delay: float, call: Callable[[], None]) -> Subscription:
        """Run ``call`` once after ``delay`` seconds."""
        subscription = Subscription(self._subscriptions.discard)
        self._subscriptions.add(subscription)
        loop = asyncio.get_running_loop()
        subscription.set_handle(
            loop.call_later(max(0.0, delay), self._fire, subscription, call, None)
        )
        return subscription

    def every(self, period: float, call: Callable[[], None]) -> Subscription:
        """Run ``call`` every ``period`` seconds, first after one period."""
        if period <= 0:
            raise ValueError(f"period must be positive, got {period} s")
        subscription = Subscription(self._subscriptions.discard)
        self._subscriptions.add(subscription)
        loop = asyncio.get_running_loop()
        subscription.set_handle(loop.call_later(period, self._fire, subscription, call, period))
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
        """Delay all calls until ``resume``, as if the whole process were stopped."""
        self._paused = True

    def resume(self) -> None:
        """Run the calls delayed since ``pause``, oldest first."""
        self._paused = False
        delayed_calls, self._delayed_calls = self._delayed_calls, []
        for call in delayed_calls:
            call()

    def close(self) -> None:
        """Cancel every subscription."""
        for subscription in list(self._subscriptions):
            subscription.cancel()

    def _fire(
        self, subscription: Subscription, call: Callable[[], None], period: float | None
    ) -> None:
        if self._paused:
            self._delayed_calls.append(lambda: self._fire(subscription, call, period))
            return
        if subscription.cancelled:
            return
        if period is None:
            self._subscriptions.discard(subscription)
        else:
            loop = asyncio.get_running_loop()
            subscription.set_handle(loop.call_later(period, self._fire, subscription, call, period))
        call()
