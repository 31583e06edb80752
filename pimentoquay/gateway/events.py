"""Split a stream of server-sent events into complete events."""

import re
from dataclasses import dataclass

from pimentoquay.kernel.errors import ResponseTooLargeError

__all__ = ["EventSplitter", "StreamEvent"]

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([0-9]{1,18})(?=[\r\n])")
_LINES = re.compile(rb"(?:(?::[^\r\n]*+|[a-z][a-z0-9_-]*+(?::[^\r\n]*+)?)?[\r\n]++)*+")
"""Lines of an event stream, each of which is a comment, a field or empty."""

_PIECE = re.compile(rb"(?:^|[\r\n])(?!event[:\r\n]|retry[:\r\n])[^:\r\n]")
"""Field by which an event is more than a comment; the type and the retry time alone are not."""

MAX_END_BYTES = 4
"""Length of the longest end of an event, in bytes."""

MAX_EVENT_BYTES = 64 * 1024
"""Maximum size of an event; a response with more bytes before an event's end is invalid."""


@dataclass(frozen=True)
class StreamEvent:
    """A complete event with its bytes as sent; ``id`` is None if it has no number below 10^18."""

    data: bytes
    id: int | None

    @property
    def is_piece(self) -> bool:
        """Whether it is a piece of the answer, and not only a comment."""
        return _PIECE.search(self.data) is not None

    @property
    def has_foreign_lines(self) -> bool:
        """Whether some of its lines cannot stand in an event stream."""
        return _LINES.fullmatch(self.data) is None


class EventSplitter:
    r"""Incremental splitter, which searches each byte for the end of an event once.

    Example
    -------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(data=b'id: 1\ndata: a\n\n', id=1)]
    >>> splitter.remainder
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0

    @property
    def remainder(self) -> bytes:
        """Bytes of an incomplete event, or of those that are not returned yet."""
        return bytes(self._buffer)

    def feed(self, data: bytes, max_events: int | None = None) -> list[StreamEvent]:
        """Add bytes and return the events that are complete now, up to a number if one is given.

        If as many are returned, call it without bytes for the next ones. ``ResponseTooLargeError``
        if one is longer than ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        events: list[StreamEvent] = []
        start, search_at = 0, max(0, self._searched - MAX_END_BYTES + 1)
        while max_events is None or len(events) < max_events:
            end = _END.search(self._buffer, search_at)
            if end is None:
                self._searched = len(self._buffer) - start
                break
            part = bytes(self._buffer[start : end.end()])
            found = _ID.search(part)
            events.append(StreamEvent(part, int(found[1]) if found else None))
            start = search_at = end.end()
            self._searched = 0
        del self._buffer[:start]
        if self._searched > MAX_EVENT_BYTES:
            raise ResponseTooLargeError(f"event is longer than {MAX_EVENT_BYTES} bytes", True)
        return events
