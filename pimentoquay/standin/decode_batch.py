"""Continuous batching: every running stream gains one token at each step."""

import asyncio
from collections.abc import AsyncGenerator, Callable

from pimentoquay.backends.base import EngineLostError
from pimentoquay.standin.frames import FrameBuilder

__all__ = ["DecodeBatch", "DecodeStream"]


class DecodeStream:
    """The answer of one attempt, emitted so far and still to come.

    Parameters
    ----------
    tokens
        The whole answer.
    frames
        The builder of its frames.
    finish_reason
        Why the answer ends, as the caller is told.
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
        """Whether the stream was broken."""
        return bool(self._failure)

    def emit(self) -> None:
        """Add one token and wake the readers."""
        self.emitted += 1
        self._wake()

    def fail(self, reason: str) -> None:
        """Break the stream; its readers get ``EngineLostError``."""
        self._failure = reason
        self._wake()

    async def read(self, offset: int) -> AsyncGenerator[bytes, None]:
        """Yield the frames from a token on, until the answer ends."""
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

    def _wake(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class DecodeBatch:
    """The streams that an engine decodes together.

    Parameters
    ----------
    step_seconds
        Returns how long the next step takes for a number of streams.
    """

    def __init__(self, step_seconds: Callable[[int], float]) -> None:
        self._step_seconds = step_seconds
        self._streams: list[DecodeStream] = []
        self._is_armed = False

    def add(self, stream: DecodeStream) -> None:
        """Let a stream take part from the next step on."""
        self._streams.append(stream)
        if not self._is_armed:
            self._arm()

    def _arm(self) -> None:
        self._is_armed = True
        delay = self._step_seconds(len(self._streams))
        asyncio.get_running_loop().call_later(delay, self._step)

    def _step(self) -> None:
        self._is_armed = False
        self._streams = [stream for stream in self._streams if not stream.is_failed]
        for stream in self._streams:
            stream.emit()
            if stream.is_finished:
                stream.on_finished()
        self._streams = [stream for stream in self._streams if not stream.is_finished]
        if self._streams:
            self._arm()
