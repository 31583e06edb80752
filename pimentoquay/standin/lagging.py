"""A value that is seen some time after it was taken."""

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

__all__ = ["LaggingView"]

_IDLE_SECONDS = 5.0
"""How long snapshots are still taken after the last look."""

Value = TypeVar("Value")


class LaggingView(Generic[Value]):
    """Takes a snapshot at each period and shows the newest one, while somebody looks.

    Parameters
    ----------
    period
        Seconds between snapshots; 0 shows the value as it is.
    take
        Returns a snapshot.
    """

    def __init__(self, period: float, take: Callable[[], Value]) -> None:
        self._period = period
        self._take = take
        self._value: Value | None = None
        self._looked_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def look(self) -> Value:
        """Return the newest snapshot."""
        if self._period <= 0:
            return self._take()
        self._looked_at = asyncio.get_running_loop().time()
        if self._timer is None or self._value is None:
            self._refresh()
        assert self._value is not None
        return self._value

    def forget(self) -> None:
        """Drop the snapshot, so that the next look takes a new one."""
        self._value = None

    def _refresh(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        loop = asyncio.get_running_loop()
        self._value = self._take()
        self._timer = loop.call_later(self._period, self._on_period)

    def _on_period(self) -> None:
        self._timer = None
        if asyncio.get_running_loop().time() - self._looked_at < _IDLE_SECONDS:
            self._refresh()
