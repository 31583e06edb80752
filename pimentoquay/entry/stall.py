"""Notices a stream that has stopped, from the pace at which its tokens came."""

import asyncio
from collections.abc import AsyncIterator

from pimentoquay.backends.base import EngineLostError

__all__ = ["unstalled"]

STALL_TOKENS = 15
"""Tokens that could have come in a gap that counts as a stall."""

LEAST_STALL_SECONDS = 1.0
"""The shortest gap that counts as a stall; engines pause for a long prefill of another request."""


async def unstalled(stream: AsyncIterator[bytes], token_seconds: float) -> AsyncIterator[bytes]:
    """Relay a stream, and raise ``EngineLostError`` once nothing has come of it for too long.

    The gap allowed follows the stream's own pace where that is slower than ``token_seconds``. Only
    time spent waiting for the engine counts, so a slow caller is no stall. A chunk costs two looks
    at the clock; no timer is set for it.
    """
    watch = _Watch(token_seconds)
    try:
        while True:
            chunk = await watch.next_of(stream)
            if chunk is None:
                return
            yield chunk
    finally:
        watch.close()


class _Watch:
    """One timer for a whole stream, which looks again when a stall would be due."""

    def __init__(self, token_seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._token_seconds = token_seconds
        self._chunks = 0
        self._waited = 0.0
        self._waiting_since = 0.0
        self._waiting: asyncio.Task[None] | None = None
        self._is_stalled = False
        self._timer = self._loop.call_later(self._longest_gap(), self._look)

    async def next_of(self, stream: AsyncIterator[bytes]) -> bytes | None:
        """Return the next chunk, or ``None`` at the end."""
        self._waiting_since = self._loop.time()
        self._waiting = asyncio.current_task()
        try:
            chunk = await anext(stream)
        except StopAsyncIteration:
            return None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if self._is_stalled and task is not None and task.uncancel() == 0:
                gap = self._loop.time() - self._waiting_since
                raise EngineLostError(f"no token for {gap:.1f} s") from None
            raise
        finally:
            self._waiting = None
        self._waited += self._loop.time() - self._waiting_since
        self._chunks += 1
        return chunk

    def close(self) -> None:
        """Stop watching."""
        self._timer.cancel()

    def _look(self) -> None:
        gap = self._loop.time() - self._waiting_since if self._waiting is not None else 0.0
        remaining = self._longest_gap() - gap
        if self._waiting is not None and remaining <= 0:
            self._is_stalled = True
            self._waiting.cancel()
            return
        self._timer = self._loop.call_later(max(remaining, 0.001), self._look)

    def _longest_gap(self) -> float:
        pace = self._waited / self._chunks if self._chunks else 0.0
        return max(LEAST_STALL_SECONDS, STALL_TOKENS * max(self._token_seconds, pace))
