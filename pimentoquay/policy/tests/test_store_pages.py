"""Pages of the newest records of a topic, of sound stores and of those that send without end."""

import itertools
import random
from dataclasses import dataclass

import pytest

from pimentoquay.policy.store_pages import NewestPage, NewestPages, check_breadth
from pimentoquay.policy.store_position import position_of

MAX_TOPIC_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True)
class Record:
    key: str
    value: bytes | None
    position: int = 0


def read(pages):
    """Read pages until none follows; return what was collected."""
    collected: NewestPages[Record] = NewestPages()
    for page in pages:
        if not collected.add(page):
            break
    return collected


def endless_pages(make_keys, size):
    for number in itertools.count():
        keys = make_keys(number)
        yield NewestPage([Record(key, bytes(size)) for key in keys], 7, keys[-1])


@pytest.mark.parametrize("seed", range(4))
def test_the_list_of_the_largest_deployment_is_read_whole(seed):
    rng = random.Random(seed)
    records = [Record(f"engine-{n}", bytes(rng.randint(800, 1700))) for n in range(2800)]
    pages: list[list[Record]] = []
    start = 0
    while start < len(records):
        pages.append(records[start : start + rng.randint(300, 500)])
        start += len(pages[-1])
    ends = [5 + number for number in range(len(pages))]
    collected = read(
        NewestPage(page, end, page[-1].key if page is not pages[-1] else None)
        for page, end in zip(pages, ends, strict=True)
    )
    assert collected.records == records
    assert collected.next_position == 5


@pytest.mark.parametrize("size", [0, 1500, 250_000])
@pytest.mark.parametrize("count", [1, 500])
def test_pages_without_end_are_refused_before_they_fill_the_memory(size, count):
    collected: NewestPages[Record] = NewestPages()
    pages = endless_pages(lambda number: [f"k{number}-{n}" for n in range(count)], size)
    with pytest.raises(ValueError, match="no end"):
        for page in itertools.islice(pages, 1000):
            collected.add(page)
    held = sum(len(each.key) + len(each.value or b"") for each in collected.records)
    assert held <= MAX_TOPIC_BYTES + count * (size + 200)


@pytest.mark.parametrize("size", [0, 1500, 250_000])
def test_pages_without_end_are_refused_though_the_oldest_records_are_dropped(size):
    collected: NewestPages[Record] = NewestPages(drops_oldest=True)
    pages = endless_pages(lambda number: [f"k{number}-{n}" for n in range(100)], size)
    with pytest.raises(ValueError, match="no end"):
        for page in itertools.islice(pages, 1000):
            collected.add(page)
            assert sum(len(each.value or b"") for each in collected.records) <= MAX_TOPIC_BYTES


@pytest.mark.parametrize("period", [1, 2, 5])
def test_pages_that_repeat_are_refused(period):
    collected: NewestPages[Record] = NewestPages()
    pages = endless_pages(lambda number: [f"k{number % period}"], 10)
    with pytest.raises(ValueError, match="repeats"):
        for page in itertools.islice(pages, 1000):
            collected.add(page)
    assert len(collected.records) == period + 1


def test_pages_of_two_eras_are_refused():
    collected: NewestPages[Record] = NewestPages()
    collected.add(NewestPage([Record("a", b"")], position_of(1, 5), "a"))
    with pytest.raises(ValueError, match="restored"):
        collected.add(NewestPage([Record("b", b"")], position_of(2, 5), None))


def test_a_page_of_many_thousand_items_is_refused_before_it_is_parsed():
    check_breadth(b'{"key":"k","value":"eA==","offset":1},' * 500)
    with pytest.raises(ValueError, match="items"):
        check_breadth(b"1," * 100_000)
