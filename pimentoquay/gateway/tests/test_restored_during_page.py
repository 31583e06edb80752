"""A store that is restored while a long page is applied in turns, or while it is written."""

from types import SimpleNamespace
from typing import Any

import pytest

from pimentoquay.gateway.feed import StoreFeed
from pimentoquay.gateway.origin_store import OriginStore
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.store import KeyedRecord, RecordPage, StoreError
from pimentoquay.policy.store_position import StoreEra, era_of, position_of


async def test_peers_are_told_of_a_restored_store_though_a_page_was_being_applied():
    """The page of the era before used up the mark, and told its own position in its place."""
    era = StoreEra()
    era.raise_to(1)
    published: list[Any] = []
    applied: list[Any] = []

    def apply(piece):
        applied.append(piece)
        if len(applied) == 1:
            era.raise_to(2)
        return ()

    fleet: Any = SimpleNamespace(
        has_engine_list=True,
        apply_engine_records=apply,
        apply_engine_snapshot=lambda records, position: None,
        record_list_read=lambda position: None,
        engine_list=SimpleNamespace(start_relisting_grace=lambda now: None),
    )
    unused: Any = None
    store: Any = SimpleNamespace(era=era)
    timers: Any = SimpleNamespace(now=lambda: 0.0)
    feed = StoreFeed(
        store,
        fleet,
        unused,
        timers,
        unused,
        lambda: True,
        published.append,
        lambda: None,
        TurnQueue(),
    )
    page = tuple(KeyedRecord(f"e{n}", b"x", n) for n in range(600))
    await feed._apply_engines(page, 600, False)
    await feed._apply_engines((), position_of(2, 500), True)
    assert [era_of(each.engines_position) for each in published] == [2]


def origin_store(store, origins):
    """Return a store of origins beside stand-ins for the store and for what is known."""
    unused: Any = None
    timers: Any = SimpleNamespace(now=lambda: 0.0)
    known: Any = SimpleNamespace(store_again=lambda: None, **origins)
    return OriginStore("vm-1", store, timers, known, lambda: True, unused, TurnQueue())


async def test_versions_read_before_a_restoration_do_not_count_as_stored_after_it():
    """They were loaded as ones of the new era, so they were never written again."""
    era = StoreEra()
    era.raise_to(1)
    loaded: list[Any] = []
    entry = b'{"service":"llm","version":"v1"}'

    async def read_latest(topic, drops_oldest=False):
        if "streams" in topic:
            era.raise_to(2)
            return RecordPage((), 0, 0)
        return RecordPage((KeyedRecord("k", entry, 0),), 1, 1)

    store = SimpleNamespace(era=era, read_latest=read_latest)
    reader = origin_store(store, {"load": lambda *each: loaded.append(each)})
    with pytest.raises(StoreError, match="restored"):
        await reader._load()
    assert loaded == []


async def test_a_version_written_during_a_restoration_does_not_count_as_stored():
    era = StoreEra()
    era.raise_to(1)
    stored: list[Any] = []

    async def put(topic, key, value):
        era.raise_to(2)

    due = SimpleNamespace(service="llm", software="v1", is_only=False)
    known = {
        "life_seconds": 5.0,
        "batches": SimpleNamespace(next_batch=lambda slots: None),
        "versions_due": lambda: [due],
        "record_stored": stored.append,
    }
    with pytest.raises(StoreError, match="restored"):
        await origin_store(SimpleNamespace(era=era, put=put), known)._write()
    assert stored == []
