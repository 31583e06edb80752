"""Time that also passes while a process or its VM is suspended."""

from collections.abc import Callable

from pimentoquay.kernel.clock import boot_time

__all__ = ["ElapsedTime"]


class ElapsedTime:
    """Seconds since the start, by the faster of the event loop's clock and the VM's boot clock.

    The event loop's clock stands still while a VM is suspended; in tests with virtual time, the
    boot clock nearly does.

    Parameters
    ----------
    now
        Returns the monotonic time in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._value = self._steady = now()
        self._boot = boot_time()

    def now(self) -> float:
        """Return the time in seconds."""
        steady, boot = self._now(), boot_time()
        self._value += max(steady - self._steady, boot - self._boot, 0.0)
        self._steady, self._boot = steady, boot
        return self._value
