import asyncio

from pimentoquay.backends.base import CacheEvent
from pimentoquay.policy import BLOCK_TOKENS, PrefixIndex
from pimentoquay.scheduler.cache_reader import CacheReader


class FakeCacheEngine:
    """Engine with a list of cache events; events with a ``lost`` sequence number are missing."""

    def __init__(self, lost=()):
        self.events = []
        self.sequence = 0
        self._lost = lost

    def emit(self, block, cached=True):
        self.sequence += 1
        if self.sequence not in self._lost:
            self.events.append(CacheEvent(self.sequence, block, cached))

    async def cache_events(self, after):
        return tuple(event for event in self.events if event.sequence > after)


def read(reader, engine, now):
    return asyncio.run(reader.read(engine, now))


def test_each_event_is_read_once_until_the_engine_is_lost():
    engine, reader = FakeCacheEngine(), CacheReader(period=2.0)
    engine.emit(1)
    engine.emit(2)
    assert [event.prefix for event in read(reader, engine, 0.0)] == [1, 2]
    assert not reader.is_due(1.9) and reader.is_due(2.0)
    engine.emit(3)
    assert [event.prefix for event in read(reader, engine, 2.0)] == [3]
    reader.reset()
    assert reader.is_due(2.1)
    assert len(read(reader, engine, 2.1)) == 3


def test_without_a_period_events_are_read_at_first_only():
    reader = CacheReader(period=0.0)
    assert reader.is_due(0.0)
    read(reader, FakeCacheEngine(), 0.0)
    assert not reader.is_due(1e9)


def test_an_index_with_lost_events_is_corrected_by_prefill_reports():
    chain = tuple(range(10, 18))
    engine, index = FakeCacheEngine(lost=(3, 11)), PrefixIndex()
    for block in chain:
        engine.emit(block)
    for block in chain[:3]:
        engine.emit(block, cached=False)
    index.apply_events("e", read(CacheReader(0.0), engine, 0.0))
    # Without its first block, a prefix cannot use the cached later blocks.
    assert index.cached_tokens("e", chain) == 0
    index.correct("e", chain, 0)
    assert index.cached_tokens("e", chain) == len(chain) * BLOCK_TOKENS
    index.correct("e", (*chain[:4], 99), 4 * BLOCK_TOKENS)
    assert index.cached_tokens("e", (*chain[:4], 99)) == 5 * BLOCK_TOKENS
