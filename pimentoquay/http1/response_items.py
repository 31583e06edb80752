"""What the events of a response count as, in items of work and in bytes."""

from typing import Any

import h11

__all__ = ["items_of", "length_of"]

DISCARD_ITEMS = 8
"""Items as which the end of a discarded response counts, since a new parser is made there."""

LINES_PER_ITEM = 8
"""Number of header lines that count as one item."""


def items_of(event: Any) -> int:
    """Return the number of items as which an event of a parser counts."""
    if isinstance(event, h11.EndOfMessage):
        return DISCARD_ITEMS
    if isinstance(event, h11.Response | h11.InformationalResponse):
        return 1 + len(event.headers) // LINES_PER_ITEM
    return 1


def length_of(header: tuple[bytes, bytes]) -> int:
    """Return the number of bytes of the name and value of a header."""
    name, value = header
    return len(name) + len(value)
