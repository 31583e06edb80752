"""Timeouts of attempts whose failure is taken as a sign of what became of another process."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

__all__ = ["attempt_timeout", "has_stood_still"]

STALL_SHARE = 0.25
"""A timeout that ends later by more than this share of it shows that the process stood still."""

STEPS = 4
"""Number of steps of an attempt's timeout; one in which the process stood still does not count."""


def has_stood_still(late_seconds: float, timeout_seconds: float) -> bool:
    """Return whether a timeout ended so late that the process did not run meanwhile."""
    return late_seconds > STALL_SHARE * timeout_seconds


@contextlib.asynccontextmanager
async def attempt_timeout(seconds: float) -> AsyncIterator[None]:
    """Raise ``TimeoutError`` if a block takes too long while this process runs.

    The event loop may stand still, for lack of processor time for example. Replies then wait to be
    read while the timeout passes, so each of its steps that ends late is given once more.

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
    step = seconds / STEPS
    steps = repeats = 0
    async with asyncio.timeout(None) as timeout:

        def end_step(due_at: float) -> None:
            nonlocal handle, steps, repeats
            now = loop.time()
            if repeats < STEPS and has_stood_still(now - due_at, step):
                repeats += 1
                due_at = now
            else:
                steps += 1
            if steps == STEPS:
                timeout.reschedule(now)
            else:
                handle = loop.call_at(due_at + step, end_step, due_at + step)

        first_at = loop.time() + step
        handle = loop.call_at(first_at, end_step, first_at)
        try:
            yield
        finally:
            handle.cancel()
