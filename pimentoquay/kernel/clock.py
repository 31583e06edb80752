"""Clocks, passed into everything that needs the time.

``Clock.now`` is monotonic and follows the running event loop, so that virtual time in tests
drives the same code. ``Clock.wall`` is for people and for the hybrid logical clock only.
"""

import asyncio
import time
from typing import Protocol

__all__ = ["Clock", "LoopClock"]


class Clock(Protocol):
    """A source of time in seconds."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class LoopClock:
    """The clock of the running event loop.

    Parameters
    ----------
    wall_base
        Seconds since the Unix epoch at loop time zero; the machine's clock is used when omitted.
    """

    def __init__(self, wall_base: float | None = None) -> None:
        self._wall_base = wall_base

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        if self._wall_base is None:
            return time.time()
        return self._wall_base + self.now()
