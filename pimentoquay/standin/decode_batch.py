"""Continuous batching: each decode step adds one token to every running stream."""

import asyncio
from collections.abc import AsyncGenerator, Callable

from pimentoquay.backends.base import EngineLostError
from pimentoquay.standin.frames import FrameBuilder

__all__ = ["DecodeBatch", "DecodeStream"]


class DecodeStream:
    """Answer of one attempt, which is emitted token by token and read by any number of readers.

    Parameters
    ----------
    tokens
        All tokens of the answer.
    frames
        Builder of the frames.
    finish_reason
        Finish reason that is sent with the end of the answer.
    on_finished
        Called when the last token has been emitted.
    """

    def __init__(
        self,
        tokens: tuple[str, ...],
        frames: FrameBuilder,
        finish_reason: str,
        on_finished: Callable[[], None],
    ) -> None:
        self.tokens = tokens
        self.on_finished = on_finished
        self.emitted = 0
        self.readers = 0
        self.idle_since = asyncio.get_running_loop().time()
        self._frames = frames
        self._finish_reason = finish_reason
        self._failure = ""
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def is_finished(self) -> bool:
        """Whether every token has been emitted."""
        return self.emitted >= len(self.tokens)

    @property
    def is_failed(self) -> bool:
        """Whether the stream failed."""
        return bool(self._failure)

    def emit(self) -> None:
        """Emit the next token and wake the readers."""
        self.emitted += 1
        self._wake_readers()

    def fail(self, reason: str) -> None:
        """Mark the stream as failed; its readers raise ``EngineLostError``."""
        self._failure = reason
        self._wake_readers()

    async def read(self, offset: int) -> AsyncGenerator[bytes, None]:
        """Yield the frames from token ``offset`` on until the answer ends."""
        self.readers += 1
        position = offset
        try:
            while True:
                if self._failure:
                    raise EngineLostError(self._failure)
                if position < self.emitted:
                    end = self.emitted
                    yield self._frames.tokens(self.tokens, position, end)
                    position = end
                elif self.is_finished:
                    yield self._frames.end(self._finish_reason)
                    return
                else:
                    await self._wait()
        finally:
            self.readers -= 1
            self.idle_since = asyncio.get_running_loop().time()

    async def _wait(self) -> None:
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _wake_readers(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class DecodeBatch:
    """Streams that an engine decodes together.

    Parameters
    ----------
    step_seconds
        Function that returns the duration of a step in seconds, given the number of streams.
    """

    def __init__(self, step_seconds: Callable[[int], float]) -> None:
        self._step_seconds = step_seconds
        self._streams: list[DecodeStream] = []
        self._is_step_scheduled = False

    def add(self, stream: DecodeStream) -> None:
        """Add a stream, which takes part from the next step on."""
        self._streams.append(stream)
        if not self._is_step_scheduled:
            self._schedule_step()

    def _schedule_step(self) -> None:
        self._is_step_scheduled = True
        delay = self._step_seconds(len(self._streams))
        asyncio.get_running_loop().call_later(delay, self._step)

    def _step(self) -> None:
        self._is_step_scheduled = False
        self._streams = [stream for stream in self._streams if not stream.is_failed]
        for stream in self._streams:
            stream.emit()
            if stream.is_finished:
                stream.on_finished()
        self._streams = [stream for stream in self._streams if not stream.is_finished]
        if self._streams:
            self._schedule_step()
