"""Approximate index of the prompt prefixes that each engine has cached.

Cache events arrive late and with gaps, so the index may be wrong and is corrected by the result of
every prefill. The hash of each block covers all blocks before it, so the longest cached prefix is
found by bisection. An engine that runs out of memory evicts the first block of a prompt first, so a
prompt without its first block counts as not cached.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

from pimentoquay.backends.base import CacheEvent
from pimentoquay.policy.prefixes import BLOCK_TOKENS

__all__ = ["PrefixIndex"]


class PrefixIndex:
    """Index of the most recently used prefix blocks of each engine.

    Load pattern: prompts that share a prefix, such as a system prompt or an earlier conversation.

    Parameters
    ----------
    capacity
        Maximum number of blocks per engine.
    block_tokens
        Number of tokens in a block.
    """

    def __init__(self, capacity: int = 4096, block_tokens: int = BLOCK_TOKENS) -> None:
        if capacity < 1:
            raise ValueError(f"capacity must be at least 1, got {capacity}")
        self._capacity = capacity
        self._block_tokens = block_tokens
        self._blocks_by_engine: dict[str, OrderedDict[int, None]] = {}

    def add(self, engine: str, prefix: Sequence[int]) -> None:
        """Add the blocks of a prompt that an engine has computed."""
        blocks = self._blocks_by_engine.setdefault(engine, OrderedDict())
        for block in prefix:
            blocks[block] = None
            blocks.move_to_end(block)
        while len(blocks) > self._capacity:
            blocks.popitem(last=False)

    def drop(self, engine: str, prefix: Sequence[int]) -> None:
        """Remove blocks that an engine has evicted."""
        blocks = self._blocks_by_engine.get(engine)
        for block in prefix if blocks else ():
            blocks.pop(block, None)  # type: ignore[union-attr]

    def correct(self, engine: str, prefix: Sequence[int], cached_tokens: int) -> None:
        """Correct the index by the result of a prefill.

        ``cached_tokens`` is the number of tokens that the engine found in its cache. The engine now
        has the whole prompt cached.
        """
        self.drop(engine, prefix[cached_tokens // self._block_tokens :])
        self.add(engine, prefix)

    def apply_events(self, engine: str, events: Iterable[CacheEvent]) -> None:
        """Apply the cache events of an engine; the results of prefills make up for lost events."""
        for event in events:
            if event.cached:
                self.add(engine, (event.prefix,))
            else:
                self.drop(engine, (event.prefix,))

    def forget_engine(self, engine: str) -> None:
        """Remove all blocks of an engine."""
        self._blocks_by_engine.pop(engine, None)

    def cached_tokens(self, engine: str, prefix: Sequence[int]) -> int:
        """Return the number of leading tokens of a prompt that the engine has probably cached."""
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
