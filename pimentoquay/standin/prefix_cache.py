"""The prefix cache of the stand-in engine, with cache events that come late and with gaps."""

import asyncio
import random
from collections import OrderedDict, deque
from dataclasses import dataclass

from pimentoquay.backends.base import CacheEvent
from pimentoquay.policy.prefixes import BLOCK_TOKENS

__all__ = ["PrefixCache"]

_EVENTS_KEPT = 4096


@dataclass(frozen=True)
class _TimedEvent:
    visible_at: float
    event: CacheEvent


class PrefixCache:
    """Prompt blocks by chained hash, the least recently used one dropped first.

    Parameters
    ----------
    capacity_tokens
        The memory of the cache.
    event_delay
        Seconds after which an event can be read.
    event_loss
        The share of events, from 0 to 1, that are never seen; their sequence numbers are
        skipped, so that a reader can see the gap.
    seed
        Seed of the choice of lost events.
    """

    def __init__(
        self, capacity_tokens: int, event_delay: float, event_loss: float, seed: int
    ) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._event_delay = event_delay
        self._event_loss = event_loss
        self._random = random.Random(seed)
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self._events: deque[_TimedEvent] = deque(maxlen=_EVENTS_KEPT)
        self._sequence = 0

    def match(self, hashes: tuple[int, ...]) -> int:
        """Return how many leading tokens of a prompt are cached, and mark them used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def insert(self, hashes: tuple[int, ...]) -> None:
        """Keep the blocks of a prompt, dropping others when memory runs out."""
        for block in hashes[: self._capacity_blocks]:
            if block not in self._blocks:
                self._emit(block, cached=True)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            block, _ = self._blocks.popitem(last=False)
            self._emit(block, cached=False)

    def events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the events after a sequence number that are old enough to be seen."""
        now = asyncio.get_running_loop().time()
        return tuple(
            timed.event
            for timed in self._events
            if timed.event.sequence > after and timed.visible_at <= now
        )

    def clear(self) -> None:
        """Forget every block, as a restart does; no event tells of it."""
        self._blocks.clear()

    def _emit(self, block: int, cached: bool) -> None:
        self._sequence += 1
        if self._random.random() < self._event_loss:
            return
        visible_at = asyncio.get_running_loop().time() + self._event_delay
        self._events.append(_TimedEvent(visible_at, CacheEvent(self._sequence, block, cached)))
