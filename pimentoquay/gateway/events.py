"""Splitting a stream of server-sent events into whole events."""

import re
from dataclasses import dataclass

__all__ = ["EventSplitter", "StreamEvent"]

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id: ?([0-9]+)(?=[\r\n])")

MAX_EVENT_BYTES = 1024 * 1024
"""The longest event; more without an end is not a stream of events."""


@dataclass(frozen=True)
class StreamEvent:
    """One whole event as it was sent; ``id`` is None if it has none."""

    data: bytes
    id: int | None


class EventSplitter:
    r"""Collects bytes until an event is whole.

    Example
    -------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    [StreamEvent(data=b'id: 1\ndata: a\n\n', id=1)]
    >>> splitter.rest
    b'id: 2\nda'
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that have become whole; ``ValueError`` if one is too long."""
        buffer = self.rest + data
        events = []
        start = 0
        for end in _END.finditer(buffer):
            part = buffer[start : end.end()]
            found = _ID.search(part)
            events.append(StreamEvent(part, int(found[1]) if found else None))
            start = end.end()
        self.rest = buffer[start:]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise ValueError(f"an event of over {MAX_EVENT_BYTES} bytes")
        return events
