"""Prefix cache of a stand-in engine, whose cache events are delayed and partly lost."""

import asyncio
import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from pimentoquay.backends.base import CacheEvent
from pimentoquay.policy.prefixes import BLOCK_TOKENS

__all__ = ["PrefixCache"]

_MAX_EVENTS = 4096


@dataclass(frozen=True)
class _DelayedEvent:
    visible_at: float
    event: CacheEvent


class PrefixCache:
    """Cached prompt blocks, identified by chained hash, with least-recently-used eviction.

    Parameters
    ----------
    capacity_tokens
        Capacity of the cache, in tokens.
    event_delay
        Time after which an event can be read, in seconds.
    event_loss
        Fraction of events, from 0 to 1, that are lost. Their sequence numbers are skipped, so
        that a reader can detect the gap.
    seed
        Seed of the random choice of lost events.
    """

    def __init__(
        self, capacity_tokens: int, event_delay: float, event_loss: float, seed: int
    ) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._event_delay = event_delay
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[_DelayedEvent] = deque(maxlen=_MAX_EVENTS)
        self._sequence = 0

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return the number of leading tokens that are cached, and mark their blocks as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def insert(self, hashes: tuple[int, ...]) -> None:
        """Add the blocks of a prompt and evict others if the capacity is exceeded."""
        for block in hashes[: self._capacity_blocks]:
            if block not in self._blocks:
                self._emit(block, cached=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._emit(block, cached=False)

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number whose delay has passed."""
        now = asyncio.get_running_loop().time()
        return tuple(
            timed.event
            for timed in self._events
            if timed.event.sequence > after and timed.visible_at <= now
        )

    def clear(self) -> None:
        """Remove all blocks, as a restart does; no event reports this."""
        self._blocks.clear()

    def _emit(self, block: int, cached: bool) -> None:
        self._sequence += 1
        if self._random.random() < self._event_loss:
            return
        visible_at = asyncio.get_running_loop().time() + self._event_delay
        self._events.append(_DelayedEvent(visible_at, CacheEvent(self._sequence, block, cached)))
