"""Appends to a log stream and applies all records up to the appended one in log order.

An append is complete when it has been applied. If its offset directly follows the last applied
record, there are no other records to read, so a sole writer never reads. If the response to an
append was lost, the record is searched for on the stream.
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
    """Raised when the log service certainly did not store an append."""


class FoldedStream:
    """A log stream whose records are applied in order, each once.

    Parameters
    ----------
    log
        Client of the log service.
    name
        Name of the stream.
    apply
        Called with offset, message and age in seconds for each record, in order.
    restart
        Called when the log has been reset, before the stream is applied from its first record.

    Attributes
    ----------
    next_offset
        Offset after the last applied record.
    """

    def __init__(
        self, log: LogClient, name: str, apply: Apply, restart: Callable[[], None]
    ) -> None:
        self.next_offset = 0
        self._log = log
        self._name = name
        # With one append at a time, an offset below next_offset can only mean that the log was
        # reset.
        self._append_lock = asyncio.Lock()
        self._apply = apply
        self._restart = restart

    async def append(self, message: Any) -> int:
        """Append a message, apply all records up to it and return its offset.

        No two messages may be equal, because a message is recognised by its content when the
        response to its append was lost. After any error but ``NotAppendedError``, or after a
        cancellation, the message may be on the log now or later.

        Raises
        ------
        NotAppendedError
            If the log did not store the message.
        """
        async with self._append_lock:
            return await self._append(message)

    async def catch_up(self) -> None:
        """Apply all records that are on the stream."""
        async with self._append_lock:
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
                raise LogOutcomeUnknownError(f"the append is not yet on stream {self._name}")

    async def _read_page(self, sought: Any = None) -> tuple[int | None, bool]:
        """Apply one page; return the offset of ``sought``, if found, and whether it is the last."""
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
