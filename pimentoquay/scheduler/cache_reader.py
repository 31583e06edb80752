"""Reads the prefix cache events of one engine.

The prefix index learns from prefill reports which blocks the requests of this scheduler found or
left in a cache. Events add the blocks that were cached before this VM became the owner of the
shard, and changes with other causes, such as evictions. They cost about 20 bytes for each block of
64 tokens that enters or leaves a cache, so they are read rarely.
"""

from pimentoquay.backends.base import CacheEvent, EngineClient

__all__ = ["CacheReader"]


class CacheReader:
    """Reads every event of an engine once, starting with its first.

    Parameters
    ----------
    period
        Seconds between two reads; 0 reads only at the start and after the engine was unreachable.
    """

    def __init__(self, period: float) -> None:
        self._period = period
        self._next_at = float("-inf")
        self._sequence = 0

    def is_due(self, now: float) -> bool:
        """Return whether the events should be read now."""
        return now >= self._next_at

    async def read(self, client: EngineClient, now: float) -> tuple[CacheEvent, ...]:
        """Return the events since the last read."""
        events = await client.cache_events(self._sequence)
        self._sequence = max((event.sequence for event in events), default=self._sequence)
        self._next_at = now + self._period if self._period else float("inf")
        return events

    def reset(self) -> None:
        """Start again at the first event.

        An engine that was unreachable may have restarted with an empty cache.
        """
        self._sequence = 0
        self._next_at = float("-inf")
