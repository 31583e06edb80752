"""Appends to a log stream and folds everything up to the own append, in the log's order.

An append counts once it has been folded. When its offset is the very next one after the fold,
nothing came between and nothing is read; so a sole writer never reads. An append whose answer was
lost is looked for on the stream.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from pimentoquay.kernel import PimentoquayError
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.services.base import LogClient, LogOutcomeUnknownError, LogUnavailableError

__all__ = ["FoldedStream", "NotAppendedError"]

Apply = Callable[[int, Any, float], None]


class NotAppendedError(PimentoquayError):
    """The log service surely took nothing of the append."""


class FoldedStream:
    """One stream and how far it has been folded.

    Parameters
    ----------
    log
        The log service.
    name
        The stream's name.
    apply
        Called with offset, message and age in seconds for each record, in order.
    restart
        Called when the stream has started anew, before it is folded from its first record.
    """

    def __init__(
        self, log: LogClient, name: str, apply: Apply, restart: Callable[[], None]
    ) -> None:
        self.next_offset = 0
        self._log = log
        self._name = name
        # Appends go one at a time, so that an offset below the fold can only mean a new stream.
        self._turn = asyncio.Lock()
        self._apply = apply
        self._restart = restart

    async def append(self, message: Any) -> int:
        """Append, fold up to the append and return its offset.

        ``NotAppendedError`` means that the log has not taken it; after any other error or a
        cancellation it may be on the log now or later. Messages must differ from each other.
        """
        async with self._turn:
            return await self._append(message)

    async def catch_up(self) -> None:
        """Fold everything that is on the stream."""
        async with self._turn:
            while not (await self._read_page())[1]:
                pass

    async def _append(self, message: Any) -> int:
        try:
            offset = await self._log.append(self._name, encode(message))
        except LogUnavailableError as error:
            raise NotAppendedError(error.code, error.detail) from error
        except LogOutcomeUnknownError:
            return await self._find(message)
        if offset < self.next_offset:
            self._restart()
            self.next_offset = 0
        if offset == self.next_offset:
            self._fold(offset, message, 0.0)
        while self.next_offset <= offset:
            await self._read_page()
        return offset

    async def _find(self, sought: Any) -> int:
        while True:
            offset, is_end = await self._read_page(sought)
            if offset is not None:
                return offset
            if is_end:
                raise LogOutcomeUnknownError(f"the append to {self._name} is not on it yet")

    async def _read_page(self, sought: Any = None) -> tuple[int | None, bool]:
        """Fold one page; return the offset of ``sought`` and whether the stream ended."""
        page = await self._log.read(self._name, self.next_offset, 0.0)
        if page.next_offset < self.next_offset:
            self._restart()
            self.next_offset = 0
            return None, False
        found = None
        for record in page.records:
            if record.offset < self.next_offset:
                continue
            try:
                message = decode(record.data)
            except CodecError:
                message = None
            self._fold(record.offset, message, record.age)
            if message is not None and message == sought:
                found = record.offset
        if not page.records:
            self.next_offset = max(self.next_offset, page.next_offset)
        return found, self.next_offset >= page.next_offset

    def _fold(self, offset: int, message: Any, age: float) -> None:
        self.next_offset = offset + 1
        if message is not None:
            self._apply(offset, message, age)
