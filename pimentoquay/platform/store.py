"""Client of the platform's metadata store, which holds topics of records.

A keyed topic keeps the latest record of each key. The operators' configuration, the engines'
entries and the records of the gateways are in keyed topics. A failed call is not retried here.
"""

import asyncio
import base64
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice
from typing import Any
from urllib.parse import urlencode

from pimentoquay.http1.client import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.http1.headers import find_header
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.input_checks import check_key, refuse
from pimentoquay.kernel.turn_loops import list_in_turns
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform.fields import DecodeError, checked, optional, parse_json, required
from pimentoquay.policy.store_pages import NewestPage, NewestPages, check_breadth
from pimentoquay.policy.store_position import MAX_ERA, StoreEra, era_of, offset_of, position_of

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "ENGINE_TOPIC",
    "ORDER_TOPIC",
    "PROMPT_TOPIC",
    "STREAM_TOPIC",
    "VERSION_TOPIC",
    "VM_TOPIC",
    "KeyedRecord",
    "RecordPage",
    "RecordsGoneError",
    "StoreClient",
    "StoreError",
]

CONFIGURATION_TOPIC = "keyed.op"
CONFIGURATION_KEY = "config"
ENGINE_TOPIC = "keyed.servers"
VM_TOPIC = "keyed.pimentoquay-vms"
"""Topic in which each gateway writes the address at which its VM listens for peers."""

ORDER_TOPIC = "keyed.pimentoquay-orders"
"""Topic in which a gateway claims the role of sending stage orders.

The position of its record is its fencing token.
"""

PROMPT_TOPIC = "keyed.pimentoquay-prompts"
"""Topic in which gateways keep the quarantines of prompts that crash engines."""

VERSION_TOPIC = "keyed.pimentoquay-versions"
"""Topic in which a gateway keeps the software versions that have served lately."""

STREAM_TOPIC = "keyed.pimentoquay-streams"
"""Topic in which a gateway keeps the versions at which streams began."""

CONNECT_SECONDS = 0.5
"""Timeout for connecting to the store, which responds within a few milliseconds."""

CALL_SECONDS = 1.5
"""Timeout of a call, in addition to the wait time that a read requests."""

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Maximum size of a response, in bytes. The store sends up to 1 MB of records, in base64."""

MAX_READ_RECORDS = 16 * 1024
"""Maximum number of records that are taken from one response; the next read begins after them."""

_ERA = b"store-era"
MAX_ERA_DIGITS = len(str(MAX_ERA)) + 1
_GONE = 410
_CONFLICT = 412
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class StoreError(Exception):
    """The store did not respond to a call or rejected it; ``written`` is whether it was sent."""

    def __init__(self, detail: str, written: bool = False) -> None:
        super().__init__(detail)
        self.written = written


class OffsetTakenError(StoreError):
    """An append requested an offset that another record already has."""


class RecordsGoneError(StoreError):
    """The requested records have been deleted, or belong to an earlier era of the store."""


@dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic; ``value`` is None if the key was removed.

    ``position`` orders the records of all eras of the store; see ``policy.store_position``.
    """

    key: str
    value: bytes | None
    position: int


@dataclass(frozen=True)
class RecordPage:
    """Records in their order, where the next read starts, and where the topic ended."""

    records: tuple[KeyedRecord, ...]
    next_position: int
    end_position: int


class StoreClient:
    """Client of the store; ``calls`` counts the calls made.

    The store may be restored from an older copy, which it shows by a higher era in its responses.
    A response of an earlier era than the highest known one is rejected.

    Parameters
    ----------
    address
        Address of the store as ``host:port``.
    era
        Highest era known to this VM, which is raised by the store's responses.
    turns
        Handles long pages in turns.
    """

    def __init__(
        self, address: str, era: StoreEra | None = None, turns: TurnQueue | None = None
    ) -> None:
        reuse = ReusePolicy(max_idle_seconds=10.0)
        self.address = address
        self.era = era or StoreEra()
        self.calls = 0
        self._turns = turns if turns is not None else TurnQueue()
        self._pool = ConnectionPool(address, CONNECT_SECONDS, reuse, turns=self._turns)

    async def read_latest(self, topic: str, drops_oldest: bool = False) -> RecordPage:
        """Return each key's latest record, see ``NewestPages``; raise ``StoreError`` on failure."""
        pages = NewestPages[KeyedRecord](drops_oldest)
        has_more = True
        while has_more:
            page = await self._read_latest_page(topic, pages.last_key)
            try:
                has_more = pages.add(page)
            except ValueError as error:
                raise StoreError(f"log-newest: {error}", True) from None
        return RecordPage(tuple(pages.records), pages.next_position, pages.next_position)

    async def read(self, topic: str, from_position: int, wait_seconds: float) -> RecordPage:
        """Return the records from a position on, waiting up to ``wait_seconds`` if there is none.

        Raise ``RecordsGoneError`` if they have been deleted or the position is not of the store's
        present era, ``StoreError`` on other failures.
        """
        era = era_of(from_position)
        if era != self.era.value:
            raise RecordsGoneError(f"log-read: era {era} is over")
        query = {"topic": topic, "part": 0, "from": offset_of(from_position)}
        if wait_seconds > 0:
            query["waitMs"] = int(wait_seconds * 1000)
        body = await self._call("GET", "log-read", query, wait_seconds=wait_seconds)
        if era != self.era.value:
            # The same offsets may name other records now.
            raise RecordsGoneError(f"log-read: the store was restored, era {self.era.value}")
        return await _parse_record_page(body, from_position, self._turns)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record; after a ``StoreError`` with ``written`` it may have been appended."""
        query = {"topic": topic, "part": 0}
        await self._call("POST", "log-append", query, _encode_record(key, value))

    async def read_end_position(self, topic: str) -> int:
        """Return the position that the next record of a topic will get."""
        return (await self._read_latest_page(topic, None)).end_position

    async def put_at(self, topic: str, position: int, key: str, value: bytes) -> int | None:
        """Append a record if it gets this position; return the position, or ``None`` if not.

        Also ``None`` if the store was restored meanwhile: the record then has the offset that was
        asked for, but nothing tells which records stood before it.
        """
        era = era_of(position)
        if era != self.era.value:
            return None
        query = {"topic": topic, "part": 0, "at": offset_of(position)}
        try:
            await self._call("POST", "log-append", query, _encode_record(key, value))
        except OffsetTakenError:
            return None
        return position if era == self.era.value else None

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _read_latest_page(self, topic: str, after: str | None) -> NewestPage[KeyedRecord]:
        more = {} if after is None else {"after": after}
        body = await self._call("GET", "log-newest", {"topic": topic, "part": 0, **more})
        try:
            return await _parse_latest_page(body, self.era.value, self._turns)
        except ValueError as error:
            raise StoreError(f"log-newest: {error}", True) from None

    async def _call(
        self,
        method: str,
        call: str,
        query: dict[str, Any],
        body: bytes = b"",
        wait_seconds: float = 0.0,
    ) -> bytes:
        target = f"/api/{call}?{urlencode(query)}".encode()
        headers = ((b"Host", self.address.encode()),)
        self.calls += 1
        try:
            async with (
                asyncio.timeout(wait_seconds + CALL_SECONDS),
                self._pool.exchange(method.encode(), target, headers, body) as exchange,
            ):
                self._check_era(exchange, call)
                return await _read_response(exchange, call)
        except HttpError as error:
            raise StoreError(f"{call}: {error}", error.written) from None
        except TimeoutError:
            raise StoreError(f"{call}: no response", True) from None

    def _check_era(self, exchange: Exchange, call: str) -> None:
        """Raise the known era to that of a response; reject a response of an earlier era."""
        value = (find_header(exchange.headers, _ERA) or b"").strip()
        era = int(value[:MAX_ERA_DIGITS]) if value.isdigit() else self.era.value
        if not self.era.value <= era <= MAX_ERA:
            raise StoreError(f"{call}: response of era {era}, now {self.era.value}", True)
        self.era.raise_to(era)


async def _read_response(exchange: Exchange, call: str) -> bytes:
    body = await exchange.read_body(MAX_BODY_BYTES)
    if exchange.status == _GONE:
        raise RecordsGoneError(f"{call}: records have been deleted")
    if exchange.status == _CONFLICT:
        raise OffsetTakenError(f"{call}: offset is taken")
    if exchange.status != 200:
        raise StoreError(f"{call}: status {exchange.status}")
    return body


def _encode_record(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(content)) + content


async def _parse_latest_page(body: bytes, era: int, turns: TurnQueue) -> NewestPage[KeyedRecord]:
    item = parse_json(check_breadth(body), "newest records")
    entries = optional(item, "items", list, [])
    page = await list_in_turns((_parse_latest_record(entry, era) for entry in entries), turns)
    records = tuple(record for record in page if record is not None)
    more = optional(item, "hasMore", bool, False) and bool(entries)
    if more and not records:
        raise DecodeError("no record of a page can be read")
    # The next page repeats those at the end of this one that cannot be read.
    last_key = records[-1].key if more else None
    return NewestPage(records, position_of(era, required(item, "endOffset", int)), last_key)


def _parse_latest_record(item: Any, era: int) -> KeyedRecord | None:
    try:
        entry = checked(item, "record", dict)
        key = check_key(required(entry, "key", str))
        value = base64.b64decode(required(entry, "value", str), validate=True)
        return KeyedRecord(key, value, position_of(era, required(entry, "offset", int)))
    except ValueError as error:
        refuse("record", item.get("key") if isinstance(item, dict) else item, error)
        return None


async def _parse_record_page(body: bytes, from_position: int, turns: TurnQueue) -> RecordPage:
    try:
        end = position_of(era_of(from_position), _OFFSETS.unpack_from(body)[0])
    except (struct.error, ValueError) as error:
        raise StoreError(f"log-read: {error}", True) from None
    frames = islice(enumerate(_split_records(body), from_position), MAX_READ_RECORDS)
    parsed = await list_in_turns((_parse_record(each, at) for at, each in frames), turns)
    records = tuple(each for each in parsed if each is not None)
    return RecordPage(records, from_position + len(parsed), end)


def _split_records(body: bytes) -> Iterator[bytes]:
    start = _OFFSETS.size
    while start + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, start)
        start += _LENGTH.size + length
        yield body[start - length : start]


def _parse_record(content: bytes, position: int) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    try:
        key = content[1:end].decode()
    except UnicodeDecodeError as error:
        refuse("record", content[1:end], error)
        return None
    return KeyedRecord(key, content[end:] or None, position)
