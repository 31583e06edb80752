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
    """Yield pieces of up to ``count`` items, and wait for another turn when one is over.

    There is one piece at least, which may be empty.
    """
    iterator = iter(items)
    key = object()
    ends_at = turns.end_of_turn()
    piece = tuple(islice(iterator, count))
    yield piece
    while len(piece) == count:
        if turns.clock() >= ends_at:
            await turns.wait(key)
            ends_at = turns.end_of_turn()
        piece = tuple(islice(iterator, count))
        if piece:
            yield piece


async def list_in_turns(
    items: Iterable[Item], turns: TurnQueue, count: int = ITEMS_PER_TURN
) -> list[Item]:
    """Return all items, which are made by up to ``count``, as many times as fit into a turn."""
    return [item async for piece in pieces_in_turns(items, turns, count) for item in piece]
