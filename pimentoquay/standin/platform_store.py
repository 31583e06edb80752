"""Stand-in for the platform's record store, read by offset or as the newest value of each key.

Each topic has a single partition. ``PlatformStore.fault`` simulates a failure of the store.
"""

import asyncio
import base64
import itertools
import json
import pickle
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import parse_qs

from pimentoquay.http1 import HttpRequest, HttpServer, Reply, ServerLimits

__all__ = ["PlatformStore", "StoreFault"]


MAX_RECORD_BYTES = 256 * 1024
"""Maximum size of a record that is appended over HTTP, in bytes."""

MAX_PAGE_BYTES = 1024 * 1024
"""Size of the records that one response holds, in bytes, unless a single one is larger."""

MAX_PAGE_RECORDS = 500
"""Number of newest records that one response holds."""


class StoreFault(Enum):
    """Fault that the store simulates; the value of each member describes its effect on calls."""

    NONE = "none"
    BUSY = "answers 503"
    RESET = "resets the connection"
    SILENT = "does not answer"
    LOST = "carries appends out and does not answer them"


@dataclass
class _Topic:
    first_offset: int = 0
    records: list[tuple[str, bytes]] = field(default_factory=list)

    @property
    def end(self) -> int:
        return self.first_offset + len(self.records)


class PlatformStore:
    """Record store that is used in process or served over HTTP.

    Attributes
    ----------
    fault
        Fault that is simulated for all calls over HTTP.
    calls
        Number of calls received over HTTP.
    era
        Number of the store's era, which rises with each restoration from a copy.
    page_size
        Maximum number of the newest records in one response.

    A key with bytes that are not UTF-8 has a lone surrogate for each of them.
    """

    def __init__(self) -> None:
        self.fault = StoreFault.NONE
        self.calls = 0
        self.era = 1
        self.page_size = 500
        self._copy: bytes | None = None
        self._topic_by_name: dict[str, _Topic] = {}
        self._newest_by_topic: dict[str, dict[str, tuple[int, bytes]]] = {}
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle, ServerLimits)

    async def serve(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Start to serve and return the address as IP:PORT."""
        await self._server.listen(host, port)
        return f"{host}:{self._server.port}"

    async def close(self) -> None:
        """Stop the server."""
        await self._server.close()

    async def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value is a tombstone for the key."""
        log = self._topic_by_name.setdefault(topic, _Topic())
        newest = self._newest_by_topic.setdefault(topic, {})
        offset = log.end
        log.records.append((key, value))
        if value:
            newest[key] = (offset, value)
        else:
            newest.pop(key, None)
        async with self._changed:
            self._changed.notify_all()
        return offset

    def make_copy(self) -> None:
        """Make the copy that ``restore`` brings back."""
        self._copy = pickle.dumps((self._topic_by_name, self._newest_by_topic))

    def restore(self) -> None:
        """Replace all records by those of the last copy; what was written since is lost."""
        if self._copy is None:
            raise ValueError("no copy of the store was made")
        self._topic_by_name, self._newest_by_topic = pickle.loads(self._copy)
        self.era += 1

    def delete_records(self, topic: str) -> None:
        """Delete all records of a topic; the newest value of each key can still be read by key."""
        log = self._topic_by_name.setdefault(topic, _Topic())
        log.first_offset, log.records = log.end, []

    def drop_key(self, topic: str, key: str) -> None:
        """Remove a key without appending a tombstone."""
        self._newest_by_topic.get(topic, {}).pop(key, None)

    async def _handle(self, request: HttpRequest, reply: Reply) -> None:
        self.calls += 1
        path, _, query = request.target.decode().partition("?")
        reply.default_headers = ((b"Store-Era", str(self.era).encode()),)
        parsed = parse_qs(query, errors="surrogateescape")
        arguments = {name: values[0] for name, values in parsed.items()}
        if self.fault is StoreFault.BUSY:
            reply.send(503, (), b"")
        elif self.fault is StoreFault.RESET:
            reply.abort()
        elif self.fault is StoreFault.SILENT:
            await asyncio.Event().wait()
        elif path == "/api/log-append":
            await self._append(arguments, request.body, reply)
        elif path == "/api/log-read":
            await self._read(arguments, reply)
        elif path == "/api/log-newest":
            self._newest(arguments, reply)
        else:
            reply.send(404, (), b"")

    async def _append(self, arguments: dict[str, str], body: bytes, reply: Reply) -> None:
        (length,) = struct.unpack_from(">I", body)
        if length > MAX_RECORD_BYTES:
            reply.send(413, (), b"")
            return
        content = body[4 : 4 + length]
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "surrogateescape")
        topic = arguments["topic"]
        end = self._topic_by_name.setdefault(topic, _Topic()).end
        if int(arguments.get("at", end)) != end:
            reply.send(412, (), json.dumps({"endOffset": end}).encode())
            return
        offset = await self.put(topic, key, content[key_end:])
        if self.fault is StoreFault.LOST:
            await asyncio.Event().wait()
        answer = {"offset": offset, "endOffset": offset + 1}
        reply.send(200, (), json.dumps(answer).encode())

    async def _read(self, arguments: dict[str, str], reply: Reply) -> None:
        log = self._topic_by_name.setdefault(arguments["topic"], _Topic())
        start = int(arguments["from"])
        if not log.first_offset <= start <= log.end:
            reply.send(410, (), json.dumps({"firstOffset": log.first_offset}).encode())
            return
        wait = int(arguments.get("waitMs", 0)) / 1000
        if start >= log.end and wait:
            await self._wait(log, start, wait)
        frames = [_frame(*each) for each in log.records[start - log.first_offset :]]
        page = frames[: _page_length(map(len, frames))]
        reply.send(200, (), struct.pack(">QQ", log.end, log.first_offset) + b"".join(page))

    async def _wait(self, log: _Topic, start: int, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds), self._changed:
                await self._changed.wait_for(lambda: log.end > start)
        except TimeoutError:
            return  # No record was appended in time, so the response contains no records.

    def _newest(self, arguments: dict[str, str], reply: Reply) -> None:
        topic = arguments["topic"]
        log = self._topic_by_name.setdefault(topic, _Topic())
        newest = sorted(self._newest_by_topic.get(topic, {}).items())
        left = [item for item in newest if item[0] > arguments.get("after", "")]
        page = left[: min(MAX_PAGE_RECORDS, _page_length(len(item[1][1]) for item in left))]
        items = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (offset, value) in page[: self.page_size]
        ]
        answer = {"items": items, "hasMore": len(items) < len(left), "endOffset": log.end}
        reply.send(200, (), json.dumps(answer).encode())


def _page_length(sizes: Iterable[int]) -> int:
    """Return the number of records that a page holds, which is one at least if there is any."""
    totals = itertools.accumulate(sizes)
    return max(
        1, sum(1 for _ in itertools.takewhile(lambda total: total <= MAX_PAGE_BYTES, totals))
    )


def _frame(key: str, value: bytes) -> bytes:
    name = key.encode("utf-8", "surrogateescape")
    content = bytes((len(name),)) + name + value
    return struct.pack(">I", len(content)) + content
