"""A lossy index of which engine caches which prompt prefix.

The index is a hint: cache events come late and with gaps, so every prefill's answer corrects
it. Hashes of a prompt's blocks are nested, the first block first, so the longest cached prefix
is found by bisection. An engine that runs out of memory drops the first block of a prompt first,
so that a prompt without it counts as not cached.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from pimentoquay.backends.base import CacheEvent
from pimentoquay.policy.prefixes import BLOCK_TOKENS

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Remembers the newest prefixes per engine, at most ``capacity`` blocks each."""

    def __init__(self, capacity: int = 4096, block_tokens: int = BLOCK_TOKENS) -> None:
        if capacity < 1:
            raise ValueError(f"capacity must be at least 1, got {capacity}")
        self._capacity = capacity
        self._block_tokens = block_tokens
        self._blocks_by_engine: dict[str, OrderedDict[int, None]] = {}

    def add(self, engine: str, prefix: Sequence[int]) -> None:
        """Note that an engine has computed a prompt."""
        blocks = self._blocks_by_engine.setdefault(engine, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > self._capacity:
            blocks.popitem(last=False)

    def drop(self, engine: str, prefix: Sequence[int]) -> None:
        """Note that an engine no longer has these blocks."""
        blocks = self._blocks_by_engine.get(engine)
        for block in prefix if blocks else ():
            blocks.pop(block, None)  # type: ignore[union-attr]

    def correct(self, engine: str, prefix: Sequence[int], cached_tokens: int) -> None:
        """Take the engine's answer: what it found cached, and all of the prompt from now on."""
        self.drop(engine, prefix[cached_tokens // self._block_tokens :])
        self.add(engine, prefix)

    def take_events(self, engine: str, events: Iterable[CacheEvent]) -> None:
        """Take an engine's cache events; those that were lost are made up for by answers."""
        for event in events:
            if event.cached:
                self.add(engine, (event.prefix,))
            else:
                self.drop(engine, (event.prefix,))

    def forget_engine(self, engine: str) -> None:
        """Drop everything about an engine."""
        self._blocks_by_engine.pop(engine, None)

    def cached_tokens(self, engine: str, prefix: Sequence[int]) -> int:
        """Return how many leading tokens of a prompt the engine probably has."""
        blocks = self._blocks_by_engine.get(engine)
        if not blocks or not prefix or prefix[0] not in blocks:
            return 0
        low, high = 1, len(prefix)
        while low < high:
            middle = (low + high + 1) // 2
            if prefix[middle - 1] in blocks:
                low = middle
            else:
                high = middle - 1
        return low * self._block_tokens
