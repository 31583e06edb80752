"""Division of lists into messages and records of bounded size.

Load pattern: a list that grows with the fleet, such as that of all engines, is told to a peer that
connects. In one message it takes the sender and the receiver long to encode and to decode, while
nothing else is served, and beyond a size it cannot be sent at all.
"""

from collections.abc import Callable, Iterable, Iterator
from typing import TypeVar

__all__ = ["iterate_parts", "split_by_size"]

Item = TypeVar("Item")


def split_by_size(
    items: Iterable[Item], size_of: Callable[[Item], int], max_bytes: int
) -> tuple[tuple[Item, ...], ...]:
    """Divide items into parts, in their order.

    An item that is larger than a part may be is in a part of its own.

    Parameters
    ----------
    items
        The items of one list.
    size_of
        Returns the size of an item in bytes.
    max_bytes
        Maximum size of the items of one part, in bytes.

    Example
    -------
    >>> split_by_size(("aa", "b", "cc", "dddd"), len, 3)
    (('aa', 'b'), ('cc',), ('dddd',))
    """
    return tuple(iterate_parts(items, size_of, max_bytes))


def iterate_parts(
    items: Iterable[Item], size_of: Callable[[Item], int], max_bytes: int
) -> Iterator[tuple[Item, ...]]:
    """Yield the parts of ``split_by_size``; no item is looked at before its part is asked for."""
    part: list[Item] = []
    part_bytes = 0
    for item in items:
        size = size_of(item)
        if part and part_bytes + size > max_bytes:
            yield tuple(part)
            part, part_bytes = [], 0
        part.append(item)
        part_bytes += size
    if part:
        yield tuple(part)
