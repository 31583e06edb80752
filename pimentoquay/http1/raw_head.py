"""Head of a request while it arrives: its lines, its cost and what it takes in memory."""

import re

__all__ = ["HEADER_BYTES", "LINES_PER_ITEM", "RawHead"]

HEADER_BYTES = 144
"""Memory of a parsed header beyond the bytes of its name and value: three objects and a place."""

LINES_PER_ITEM = 8
"""Number of header lines whose parsing takes as long as another item, some 20 microseconds."""

_END = re.compile(rb"\n\r?\n")
"""End of a head, as the parser finds it."""


class RawHead:
    r"""Measures of a head as its bytes go to the parser, which keeps them.

    ``length`` is the number of bytes, without those that follow the head, and ``is_complete``
    whether its end has arrived.

    Parameters
    ----------
    data
        First bytes of the request.

    Example
    -------
    >>> head = RawHead(b"GET / HTTP/1.1\r\nHost: a\r\n")
    >>> head.add(b"Accept: b\r\n\r\nGET")
    >>> head.lines, head.length, head.is_complete
    (2, 38, True)
    """

    def __init__(self, data: bytes = b"") -> None:
        self.length = 0
        self.is_complete = False
        self._newlines = 0
        self._last = b""
        self.add(data)

    @property
    def lines(self) -> int:
        """Number of header lines, without the request line."""
        return max(0, self._newlines - (2 if self.is_complete else 1))

    @property
    def size(self) -> int:
        """Memory in bytes that the head takes once it is parsed."""
        return self.length + HEADER_BYTES * self.lines

    @property
    def items(self) -> int:
        """Number of items as which the head counts in a turn."""
        return 1 + self.lines // LINES_PER_ITEM if self.is_complete else 1

    def add(self, piece: bytes) -> None:
        """Measure bytes that have arrived."""
        if self.is_complete:
            return
        overlap = len(self._last)
        window = self._last + piece
        end = _END.search(window)
        count = (end.end() if end is not None else len(window)) - overlap
        self.is_complete = end is not None
        self.length += count
        self._newlines += piece.count(b"\n", 0, count)
        self._last = window[-2:]
