"""Timeouts of attempts whose failure is taken as a sign of what became of another process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["attempt_timeout", "has_stood_still"]

STALL_SHARE = 0.25
"""A timeout that ends later by more than this share of it shows that the process stood still."""


def has_stood_still(late_seconds: float, timeout_seconds: float) -> bool:
    """Return whether a timeout ended so late that the process did not run meanwhile."""
    return late_seconds > STALL_SHARE * timeout_seconds


@contextlib.asynccontextmanager
async def attempt_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` if a block takes too long while this process runs.

    The event loop may stand still, for lack of processor time for example. Replies then wait to be
    read while the timeout passes, so an end that comes late gives the block its time once more.

    Parameters
    ----------
    seconds
        Timeout of the block, in seconds; twice that at most passes while the process runs.

    Example
    -------
    ::

        async with attempt_timeout(0.1):
            await connect(address)
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + seconds
    async with asyncio.timeout(None) as timeout:

        def end(may_extend: bool = True) -> None:
            nonlocal handle
            now = loop.time()
            if may_extend and has_stood_still(now - due_at, seconds):
                handle = loop.call_at(now + seconds, end, False)
            else:
                timeout.reschedule(now)

        handle = loop.call_at(due_at, end)
        try:
            yield
        finally:
            handle.cancel()
