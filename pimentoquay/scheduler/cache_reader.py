"""Reading the cache events of one engine.

Answers teach the prefix index what an owner's own prefills found and left. Events tell a new owner
what was cached before it, and every owner what it did not cause. They cost about 20 bytes for each
block of 64 tokens that enters or leaves a cache, and so are read seldom.
"""

from pimentoquay.backends.base import CacheEvent, EngineClient

__all__ = ["CacheReader"]


class CacheReader:
    """Reads an engine's events from its beginning on, each once.

    Parameters
    ----------
    period
        Seconds between two reads; 0 reads only at the start and after the engine was lost.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._next_at = float("-inf")
        self._sequence = 0

    def is_due(self, now: float) -> bool:
        """Tell whether the events should be read now."""
        return now >= self._next_at

    async def read(self, client: EngineClient, now: float) -> tuple[CacheEvent, ...]:
        """Return the events that came since the last read."""
        events = await client.cache_events(self._sequence)
        self._sequence = max((event.sequence for event in events), default=self._sequence)
        self._next_at = now + self._period if self._period else float("inf")
        return events

    def reset(self) -> None:
        """Begin anew, as an engine that was lost may have started with an empty cache."""
        self._sequence = 0
        self._next_at = float("-inf")
