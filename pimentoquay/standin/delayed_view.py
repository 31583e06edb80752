"""View of a value that is refreshed periodically and therefore lags behind it."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["DelayedView"]

_IDLE_TIMEOUT_SECONDS = 5.0
"""Time after the last read for which snapshots are still taken, in seconds."""

Value = TypeVar("Value")


class DelayedView(Generic[Value]):
    """Snapshot of a value that is refreshed once per period while it is being read.

    Refreshing stops ``_IDLE_TIMEOUT_SECONDS`` after the last read; the next read starts it again.

    Parameters
    ----------
    period
        Time between snapshots, in seconds; 0 takes a snapshot at each read.
    take_snapshot
        Function that returns a snapshot of the value.
    """

    def __init__(self, period: float, take_snapshot: Callable[[], Value]) -> None:
        self._period = period
        self._take_snapshot = take_snapshot
        self._value: Value | None = None
        self._last_read_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def latest(self) -> Value:
        """Return the latest snapshot."""
        if self._period <= 0:
            return self._take_snapshot()
        self._last_read_at = asyncio.get_running_loop().time()
        if self._timer is None or self._value is None:
            self._refresh()
        assert self._value is not None
        return self._value

    def forget(self) -> None:
        """Discard the snapshot, so that the next read takes a new one."""
        self._value = None

    def _refresh(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._value = self._take_snapshot()
        self._timer = loop.call_later(self._period, self._on_period)

    def _on_period(self) -> None:
        self._timer = None
        if asyncio.get_running_loop().time() - self._last_read_at < _IDLE_TIMEOUT_SECONDS:
            self._refresh()
