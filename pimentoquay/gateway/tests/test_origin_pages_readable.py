"""Origins of streams in the store: what writers may write never keeps a reader from loading."""

import math
from types import SimpleNamespace
from typing import Any

import pytest

from pimentoquay.gateway.origin_store import SPARE_SLOTS, WRITE_SECONDS, OriginStore
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.store import KeyedRecord, RecordPage
from pimentoquay.policy.store_pages import MAX_TOPIC_BYTES, NewestPage, NewestPages
from pimentoquay.policy.store_position import StoreEra
from pimentoquay.policy.stored_origins import MAX_BATCH_BYTES


class PagedStore:
    """A store whose topic of streams holds a full batch in each slot of some writers."""

    def __init__(self, slots, writers, oldest):
        self.era = StoreEra()
        self.records = [
            KeyedRecord(f"vm-{writer} {slot}", b"x" * MAX_BATCH_BYTES, (slot - oldest) % slots)
            for writer in range(writers)
            for slot in range(slots)
        ]
        self.read: list[KeyedRecord] = []

    async def read_latest(self, topic, drops_oldest=False):
        if "streams" not in topic:
            return RecordPage((), 1, 1)
        pages = NewestPages[KeyedRecord](drops_oldest)
        per_page = 1024 * 1024 // (MAX_BATCH_BYTES * 4 // 3)
        for start in range(0, len(self.records), per_page):
            part = self.records[start : start + per_page]
            is_last = start + per_page >= len(self.records)
            pages.add(NewestPage(part, 1, None if is_last else part[-1].key))
        self.read = pages.records
        return RecordPage(tuple(pages.records), 1, 1)


@pytest.mark.parametrize(("writers", "oldest"), [(1, 0), (1, 100), (3, 200)])
async def test_full_batches_in_all_slots_of_a_writer_do_not_keep_a_gateway_from_loading(
    writers, oldest
):
    """Routes of 60 s: a gateway that started never loaded, so it never wrote a version either."""
    slots = math.ceil(62.0 / WRITE_SECONDS) + SPARE_SLOTS
    store: Any = PagedStore(slots, writers, oldest)
    loaded: list[Any] = []
    origins: Any = SimpleNamespace(store_again=lambda: None, load=lambda *each: loaded.append(each))
    timers: Any = SimpleNamespace(now=lambda: 0.0)
    unused: Any = None
    reader = OriginStore("vm-9", store, timers, origins, lambda: True, unused, TurnQueue())
    assert await reader._try(reader._load)
    assert len(loaded) == 1
    # As many as can be held, and of all records the newest.
    size = sum(len(each.value or b"") for each in store.read)
    assert MAX_TOPIC_BYTES - 2 * MAX_BATCH_BYTES < size <= MAX_TOPIC_BYTES
    newest = sorted((each.position for each in store.records), reverse=True)[: len(store.read)]
    assert sorted((each.position for each in store.read), reverse=True) == newest
