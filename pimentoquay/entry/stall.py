"""Detection of stalled streams, based on the rate of the tokens received so far."""

import asyncio
from collections.abc import AsyncIterator

from pimentoquay.backends.base import EngineLostError

__all__ = ["detect_stall"]

STALL_TOKENS = 15
"""Length of a gap that counts as a stall, as a multiple of the time per token."""

MIN_STALL_SECONDS = 1.0
"""Minimum gap that counts as a stall, in seconds.

Engines pause decoding during a long prefill of another request, which is not a stall.
"""


async def detect_stall(stream: AsyncIterator[bytes], token_seconds: float) -> AsyncIterator[bytes]:
    """Relay a stream, and raise an error if the engine sends nothing for too long.

    The maximum gap is ``STALL_TOKENS`` times the mean time per chunk so far, or times
    ``token_seconds`` if that is longer, and at least ``MIN_STALL_SECONDS``. Only time spent
    waiting for the engine counts, so a slow caller causes no stall. Each chunk costs two clock
    readings and sets no timer.

    Parameters
    ----------
    stream
        Chunks of an engine's answer.
    token_seconds
        Expected time per token, in seconds.

    Raises
    ------
    EngineLostError
        If the gap exceeds the maximum.
    """
    stall_timer = _StallTimer(token_seconds)
    try:
        while True:
            chunk = await stall_timer.next_chunk(stream)
            if chunk is None:
                return
            yield chunk
    finally:
        stall_timer.close()


class _StallTimer:
    """Timer that cancels the wait for a chunk once the stream counts as stalled.

    It is rescheduled when it fires, not for each chunk.
    """

    def __init__(self, token_seconds: float) -> None:
        self._loop = asyncio.get_running_loop()
        self._token_seconds = token_seconds
        self._chunks = 0
        self._waited_seconds = 0.0
        self._waiting_since = 0.0
        self._waiting_task: asyncio.Task[None] | None = None
        self._is_stalled = False
        self._timer = self._loop.call_later(self._max_gap_seconds(), self._check)

    async def next_chunk(self, stream: AsyncIterator[bytes]) -> bytes | None:
        """Return the next chunk, or ``None`` at the end of the stream."""
        self._waiting_since = self._loop.time()
        self._waiting_task = asyncio.current_task()
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
            self._waiting_task = None
        self._waited_seconds += self._loop.time() - self._waiting_since
        self._chunks += 1
        return chunk

    def close(self) -> None:
        """Stop the timer."""
        self._timer.cancel()

    def _check(self) -> None:
        gap = self._loop.time() - self._waiting_since if self._waiting_task is not None else 0.0
        remaining = self._max_gap_seconds() - gap
        if self._waiting_task is not None and remaining <= 0:
            self._is_stalled = True
            self._waiting_task.cancel()
            return
        self._timer = self._loop.call_later(max(remaining, 0.001), self._check)

    def _max_gap_seconds(self) -> float:
        mean_seconds = self._waited_seconds / self._chunks if self._chunks else 0.0
        return max(MIN_STALL_SECONDS, STALL_TOKENS * max(self._token_seconds, mean_seconds))
