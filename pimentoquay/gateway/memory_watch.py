"""Watch the memory of the process, derive the budget from it, and return freed memory."""

import ctypes
import os

from pimentoquay.kernel.logs import logger
from pimentoquay.policy.byte_budget import ByteBudget
from pimentoquay.policy.process_limits import OwnMemory, ProcessLimits, budget_bytes

__all__ = ["MemoryWatch", "configure_allocator"]

WATCH_SECONDS = 1.0
"""Interval at which the memory of the process is read; it takes some 20 microseconds."""

TRIM_BYTES = 8 * 1024 * 1024
"""Freed bytes that stay with the process at which they are returned to the system."""

MMAP_BYTES = 128 * 1024
"""Size from which blocks are mapped one by one, so that they are returned when they are freed."""

_MMAP_THRESHOLD, _TRIM_THRESHOLD = -3, -1
"""Options of ``mallopt`` in glibc."""

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def configure_allocator() -> None:
    """Keep large blocks apart from the heap.

    By default glibc raises the threshold to the size of the largest freed block. Bodies come from
    the heap then, which shrinks only from its end, so that freed bodies stay with the process.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(_MMAP_THRESHOLD, MMAP_BYTES)
        mallopt(_TRIM_THRESHOLD, MMAP_BYTES)


class MemoryWatch:
    """Sets the limit of a budget to what the process leaves of its memory.

    ``resident_bytes`` is the size of the process at the last look.

    Parameters
    ----------
    limits
        Limits of the process.
    budget
        Budget of the bytes that are held for callers.
    """

    def __init__(self, limits: ProcessLimits, budget: ByteBudget) -> None:
        self.resident_bytes = 0
        self._limits = limits
        self._budget = budget
        self._own = OwnMemory()
        self._trim = getattr(ctypes.CDLL(None), "malloc_trim", None)

    def look(self) -> None:
        """Read the memory of the process, and return what is free in it if that is much."""
        try:
            file = os.open("/proc/self/statm", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:  # No descriptor is left; the next look may find one.
            return
        try:
            self.resident_bytes = int(os.read(file, 128).split()[1]) * _PAGE_BYTES
        finally:
            os.close(file)
        # The rest of a claim takes no memory yet; subtracting it would raise the budget by it.
        arrived = self._budget.arrived
        self._own.add(self.resident_bytes, arrived)
        own = self._own.estimate
        limit = budget_bytes(self._limits.memory_bytes, own)
        if abs(limit - self._budget.limit) > self._budget.limit // 8:
            logger.bind(
                budget_bytes=limit, own_bytes=own, memory_bytes=self._limits.memory_bytes
            ).info("budget for callers changed")
        self._budget.limit = limit
        free = self.resident_bytes - own - arrived
        if self._trim is not None and free > TRIM_BYTES:
            self._trim(0)
