"""Loops over many items, whose work is done in bounded turns.

Example
-------
::

    records = await list_in_turns((parse(each) for each in entries), turns)
    async for piece in pieces_in_turns(records, turns, 256):
        apply(piece)
"""

from collections.abc import AsyncIterator, Iterable
from itertools import islice
from typing import TypeVar

from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue

__all__ = ["list_in_turns", "pieces_in_turns"]

Item = TypeVar("Item")


async def pieces_in_turns(
    items: Iterable[Item], turns: TurnQueue, count: int = ITEMS_PER_TURN
) -> AsyncIterator[tuple[Item, ...]]:
    """Yield pieces of up to ``count`` items, each after the first in a later turn.

    There is one piece at least, which may be empty.
    """
    iterator = iter(items)
    key = object()
    piece = tuple(islice(iterator, count))
    yield piece
    while len(piece) == count:
        await turns.wait(key)
        piece = tuple(islice(iterator, count))
        if piece:
            yield piece


async def list_in_turns(
    items: Iterable[Item], turns: TurnQueue, count: int = ITEMS_PER_TURN
) -> list[Item]:
    """Return all items, of which up to ``count`` are made in one turn."""
    return [item async for piece in pieces_in_turns(items, turns, count) for item in piece]
