"""Clocks, which are passed as arguments to all code that needs the time.

``Clock.now`` is monotonic and is the time of the running event loop, so that tests can run the same
code in virtual time. ``Clock.wall`` is used only for times shown to people, for incarnation numbers
and for the hybrid logical clock and its stamps.
"""

import asyncio
import time
from typing import Protocol

__all__ = ["Clock", "LoopClock", "boot_time"]


def boot_time() -> float:
    """Return the seconds since the VM was started.

    They also pass while the VM is suspended, unlike the time of the event loop.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Clock(Protocol):
    """Source of time in seconds."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class LoopClock:
    """Clock of the running event loop.

    Parameters
    ----------
    wall_base
        Wall time at loop time zero, in seconds since the Unix epoch. If omitted, ``wall`` returns
        the system time.
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
