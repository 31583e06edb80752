"""Decide whether pages of the newest records of a topic can be those of a sound store.

Load pattern: a faulty store sends pages without end, pages that repeat, or pages of several hundred
thousand tiny items. The gateway then keeps the list that it has, and tries again later.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Generic, Protocol, TypeVar

from pimentoquay.policy.store_position import era_of

__all__ = ["NewestPage", "NewestPages", "check_breadth"]

MAX_PAGE_COMMAS = 16 * 1024
"""Maximum number of commas in a page of 500 records; the values have none, other than the keys."""

MAX_PAGES = 400
"""Maximum number of pages of a topic."""

MAX_TOPIC_BYTES = 16 * 1024 * 1024
"""Maximum size of the newest records of a topic that are held, in bytes; the lists of the largest
deployments have less than a third."""

RECORD_BYTES = 100
"""Size in bytes that a record has beside its key and value in memory, at least."""


class _Record(Protocol):
    @property
    def key(self) -> str: ...
    @property
    def value(self) -> bytes | None: ...
    @property
    def position(self) -> int: ...


Record = TypeVar("Record", bound=_Record)


@dataclass(frozen=True)
class NewestPage(Generic[Record]):
    """One page of a topic's newest records; ``last_key`` is None if it is the last page."""

    records: Sequence[Record]
    end_position: int
    last_key: str | None


def check_breadth(page: bytes) -> bytes:
    """Return a page, before it is parsed; raise ``ValueError`` if it holds too many items."""
    commas = page.count(b",")
    if commas > MAX_PAGE_COMMAS:
        raise ValueError(f"a page of {commas} items or fields")
    return page


class NewestPages(Generic[Record]):
    """Collects the pages of one read of the newest records of a topic.

    ``next_position`` is that from which later records are read, and ``last_key`` the key after
    which the next page begins, or None before the first page and after the last one.

    Parameters
    ----------
    drops_oldest
        Whether the oldest records are dropped from a topic that is too large, instead of an error;
        for topics of which each record is of use without the others.

    Example
    -------
    >>> pages = NewestPages()
    >>> pages.add(NewestPage((), 7, None)), pages.next_position
    (False, 7)
    """

    def __init__(self, drops_oldest: bool = False) -> None:
        self._drops_oldest = drops_oldest
        self._record_by_number: dict[int, Record] = {}
        self._oldest_first: list[tuple[int, int]] = []
        self._added = 0
        self.next_position = -1
        self.last_key: str | None = None
        self._begun_after: set[str] = set()
        self._bytes = 0
        self._pages = 0

    @property
    def records(self) -> list[Record]:
        """The records that are held, in the order in which they came."""
        return list(self._record_by_number.values())

    def add(self, page: NewestPage[Record]) -> bool:
        """Add a page; return whether another follows.

        Raises
        ------
        ValueError
            If the store was restored between two pages, or a page repeats, or there are too many.
        """
        # Records may change between pages, so the next read starts at the first page's end.
        if not self._pages:
            self.next_position = page.end_position
        if era_of(page.end_position) != era_of(self.next_position):
            raise ValueError("the store was restored between two pages")
        last_key = page.last_key
        self._pages += 1
        for record in page.records:
            self._hold(record)
        if last_key is not None and last_key in self._begun_after:
            raise ValueError("a page repeats")
        if self._bytes > MAX_TOPIC_BYTES or (last_key is not None and self._pages >= MAX_PAGES):
            raise ValueError(f"{self._pages} pages and no end")
        if last_key is not None:
            self._begun_after.add(last_key)
        self.last_key = last_key
        return last_key is not None

    def _hold(self, record: Record) -> None:
        self._added += 1
        self._record_by_number[self._added] = record
        self._bytes += _size_of(record)
        if self._drops_oldest:
            heappush(self._oldest_first, (record.position, self._added))
            while self._bytes > MAX_TOPIC_BYTES:
                _, number = heappop(self._oldest_first)
                self._bytes -= _size_of(self._record_by_number.pop(number))


def _size_of(record: _Record) -> int:
    return len(record.key) + len(record.value or b"") + RECORD_BYTES
