"""The platform's metadata store: topics of records, of which the keyed ones keep each newest.

The operators' configuration and the engines' entries are keyed records, and so are the system's
own. One call does one thing and is never repeated here.
"""

import asyncio
import base64
import binascii
import struct
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from pimentoquay.http1.client import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.kernel.errors import HttpError
from pimentoquay.platform.fields import DecodeError, object_of, optional, required

__all__ = [
    "CONFIGURATION_KEY",
    "CONFIGURATION_TOPIC",
    "ENGINE_TOPIC",
    "ORDER_TOPIC",
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
"""The system's own topic: where each VM listens for its peers."""

ORDER_TOPIC = "keyed.pimentoquay-orders"
"""The system's own topic: who gives orders; a record's offset is a fencing number."""

CONNECT_SECONDS = 0.5
"""How long a connection to the store may take; its answers take a few milliseconds."""

CALL_SECONDS = 1.5
"""How long an answer may take beside the wait that a read asks for."""

_GONE = 410
_CONFLICT = 412
_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class StoreError(Exception):
    """The store did not answer, or refused; ``written`` tells whether the call was sent."""

    def __init__(self, detail: str, written: bool = False) -> None:
        super().__init__(detail)
        self.written = written


class OffsetTakenError(StoreError):
    """Another record has the offset that an append asked for."""


class RecordsGoneError(StoreError):
    """The records asked for have been deleted."""


@dataclass(frozen=True)
class KeyedRecord:
    """One record of a keyed topic; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    offset: int


@dataclass(frozen=True)
class RecordPage:
    """Records in order, and the offset to read on from."""

    records: tuple[KeyedRecord, ...]
    next_offset: int


@dataclass(frozen=True)
class _NewestPage:
    """A part of a topic's newest records; ``last_key`` is None where there are no more."""

    records: tuple[KeyedRecord, ...]
    end_offset: int
    last_key: str | None


class StoreClient:
    """Calls of the store.

    Parameters
    ----------
    address
        The store's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        reuse = ReusePolicy(longest_idle=10.0)
        self.address = address
        self.calls = 0
        self._pool = ConnectionPool(address, CONNECT_SECONDS, reuse)

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; ``StoreError`` if they cannot be had."""
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        after: str | None = None
        while True:
            page = await self._newest_page(topic, after)
            records.extend(page.records)
            # Pages are no snapshot, so reading goes on from the end that the first one gives.
            if next_offset is None:
                next_offset = page.end_offset
            if page.last_key is None:
                return RecordPage(tuple(records), next_offset)
            after = page.last_key

    async def read(self, topic: str, from_offset: int, wait_seconds: float) -> RecordPage:
        """Return the records from an offset on, waiting for the first if there is none yet.

        ``RecordsGoneError`` if they have been deleted; ``StoreError`` if they cannot be had.
        """
        query = {"topic": topic, "part": 0, "from": from_offset}
        if wait_seconds > 0:
            query["waitMs"] = int(wait_seconds * 1000)
        body = await self._call("GET", "log-read", query, wait_seconds=wait_seconds)
        return _record_page(body, from_offset)

    async def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record under a key; ``StoreError.written`` if it may have been appended."""
        query = {"topic": topic, "part": 0}
        await self._call("POST", "log-append", query, _framed(key, value))

    async def end_of(self, topic: str) -> int:
        """Return the offset that the next record of a topic gets."""
        return (await self._newest_page(topic, None)).end_offset

    async def put_at(self, topic: str, offset: int, key: str, value: bytes) -> int | None:
        """Append a record if it gets this offset; return the offset, or ``None`` if it does not."""
        query = {"topic": topic, "part": 0, "at": offset}
        try:
            await self._call("POST", "log-append", query, _framed(key, value))
        except OffsetTakenError:
            return None
        return offset

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    async def _newest_page(self, topic: str, after: str | None) -> _NewestPage:
        query: dict[str, Any] = {"topic": topic, "part": 0}
        if after is not None:
            query["after"] = after
        body = await self._call("GET", "log-newest", query)
        try:
            return _decode_newest(body)
        except DecodeError as error:
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
                return await _whole_answer(exchange, call)
        except HttpError as error:
            raise StoreError(f"{call}: {error}", error.written) from None
        except TimeoutError:
            raise StoreError(f"{call}: no answer", True) from None


async def _whole_answer(exchange: Exchange, call: str) -> bytes:
    body = await exchange.read_body()
    if exchange.status == _GONE:
        raise RecordsGoneError(f"{call}: the records are gone")
    if exchange.status == _CONFLICT:
        raise OffsetTakenError(f"{call}: the offset is taken")
    if exchange.status != 200:
        raise StoreError(f"{call}: status {exchange.status}")
    return body


def _framed(key: str, value: bytes) -> bytes:
    name = key.encode()
    content = bytes((len(name),)) + name + value
    return _LENGTH.pack(len(content)) + content


def _decode_newest(body: bytes) -> _NewestPage:
    item = object_of(body, "newest records")
    page = [_newest_record(entry) for entry in optional(item, "items", list, [])]
    more = optional(item, "hasMore", bool, False) and bool(page) and page[-1] is not None
    return _NewestPage(
        tuple(record for record in page if record is not None),
        required(item, "endOffset", int),
        page[-1].key if more and page[-1] is not None else None,
    )


def _newest_record(item: Any) -> KeyedRecord | None:
    try:
        key = required(item, "key", str)
        value = base64.b64decode(required(item, "value", str), validate=True)
        return KeyedRecord(key, value, required(item, "offset", int))
    except (DecodeError, AttributeError, binascii.Error):
        return None


def _record_page(body: bytes, from_offset: int) -> RecordPage:
    if len(body) < _OFFSETS.size:
        raise StoreError(f"log-read: {len(body)} bytes, expected {_OFFSETS.size} or more", True)
    records = []
    position, offset = _OFFSETS.size, from_offset
    while position + _LENGTH.size <= len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        record = _keyed_record(body[position : position + length], offset)
        if record is not None:
            records.append(record)
        position += length
        offset += 1
    return RecordPage(tuple(records), offset)


def _keyed_record(content: bytes, offset: int) -> KeyedRecord | None:
    if not content or len(content) < 1 + content[0]:
        return None
    end = 1 + content[0]
    key = content[1:end].decode("utf-8", "replace")
    return KeyedRecord(key, content[end:] or None, offset)
