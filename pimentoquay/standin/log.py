"""Stand-in for the platform's append-only log, with a rate limit, retention and faults."""

import asyncio
from collections import deque
from dataclasses import dataclass

from pimentoquay.kernel.settings import setting
from pimentoquay.services.base import (
    LogOutcomeUnknownError,
    LogPage,
    LogRecord,
    LogUnavailableError,
)

__all__ = ["LogModel", "StandinLog"]

MAX_PAGE_RECORDS = 1000
"""Maximum number of records that one read returns."""


@dataclass(frozen=True)
class LogModel:
    """Durations and limits of the log."""

    append_rate: float = setting(
        help="maximum rate of appends to all streams together",
        default=300.0,
        low=0.1,
        high=1e6,
        unit="1/s",
    )
    append_wait: float = setting(
        help="maximum wait of an append over the rate; it is refused if it would wait longer",
        default=1.0,
        low=0.0,
        high=60.0,
        unit="s",
    )
    latency: float = setting(help="duration of a call", default=0.005, low=0.0, high=60.0, unit="s")
    retention: float = setting(
        help="time for which a record is kept", default=3600.0, low=0.1, high=1e9, unit="s"
    )


@dataclass(frozen=True)
class _StoredRecord:
    offset: int
    data: bytes
    appended_at: float


class _Stream:
    def __init__(self) -> None:
        self.next_offset = 0
        self.stored_records: deque[_StoredRecord] = deque()
        self.changed = asyncio.Event()


class StandinLog:
    """Streams of records with offsets from 0 on; it implements ``LogClient``.

    Parameters
    ----------
    model
        Durations and limits.
    """

    def __init__(self, model: LogModel | None = None) -> None:
        self.model = model or LogModel()
        self.appends = 0
        self._stream_by_name: dict[str, _Stream] = {}
        self._next_append_at = 0.0
        self._outage_until = 0.0
        self._slow_until = 0.0
        self._extra_delay = 0.0
        self._responses_to_lose = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset."""
        self._check_up()
        await self._wait_for_rate_limit()
        await self._delay()
        self._check_up()
        offset = self._store(self._stream(stream), data)
        if self._responses_to_lose > 0:
            self._responses_to_lose -= 1
            raise LogOutcomeUnknownError(f"the answer of an append to {stream} was lost")
        return offset

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return the records from an offset on; wait at most ``wait`` seconds if there are none."""
        self._check_up()
        await self._delay()
        source = self._stream(stream)
        if from_offset >= source.next_offset and wait > 0:
            try:
                async with asyncio.timeout(wait):
                    await source.changed.wait()
            except TimeoutError:
                pass
        self._check_up()
        return self._page(source, from_offset)

    def outage(self, seconds: float) -> None:
        """Reject all calls for some seconds; reads that are waiting fail at once."""
        self._outage_until = self._now() + seconds
        for stream in self._stream_by_name.values():
            self._wake_readers(stream)

    def slow(self, delay: float, seconds: float) -> None:
        """Delay each call by ``delay`` seconds during the next ``seconds`` seconds."""
        self._extra_delay = delay
        self._slow_until = self._now() + seconds

    def erase_records(self) -> None:
        """Delete all records; offsets start at 0 again."""
        for stream in self._stream_by_name.values():
            stream.next_offset = 0
            stream.stored_records.clear()
            self._wake_readers(stream)

    def lose_next_answers(self, count: int) -> None:
        """Carry out the next ``count`` appends but lose their responses."""
        self._responses_to_lose = count

    def records(self, stream: str) -> tuple[LogRecord, ...]:
        """Return all records still kept, for the checks of a test."""
        source = self._stream(stream)
        self._remove_expired(source)
        now = self._now()
        return tuple(
            LogRecord(stored.offset, stored.data, now - stored.appended_at)
            for stored in source.stored_records
        )

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_up(self) -> None:
        if self._now() < self._outage_until:
            raise LogUnavailableError("the log service is down")

    async def _wait_for_rate_limit(self) -> None:
        now = self._now()
        start = max(now, self._next_append_at)
        if start - now > self.model.append_wait:
            raise LogUnavailableError(f"over {self.model.append_rate:g} appends a second")
        self._next_append_at = start + 1.0 / self.model.append_rate
        if start > now:
            await asyncio.sleep(start - now)

    async def _delay(self) -> None:
        delay = self.model.latency
        if self._now() < self._slow_until:
            delay += self._extra_delay
        await asyncio.sleep(delay)

    def _stream(self, name: str) -> _Stream:
        if name not in self._stream_by_name:
            self._stream_by_name[name] = _Stream()
        return self._stream_by_name[name]

    def _store(self, stream: _Stream, data: bytes) -> int:
        offset = stream.next_offset
        stream.next_offset += 1
        stream.stored_records.append(_StoredRecord(offset, data, self._now()))
        self.appends += 1
        self._wake_readers(stream)
        return offset

    def _wake_readers(self, stream: _Stream) -> None:
        stream.changed.set()
        stream.changed = asyncio.Event()

    def _remove_expired(self, stream: _Stream) -> None:
        oldest = self._now() - self.model.retention
        while stream.stored_records and stream.stored_records[0].appended_at < oldest:
            stream.stored_records.popleft()

    def _page(self, stream: _Stream, from_offset: int) -> LogPage:
        self._remove_expired(stream)
        first = stream.stored_records[0].offset if stream.stored_records else stream.next_offset
        now = self._now()
        start = max(0, from_offset - first)
        chosen = list(stream.stored_records)[start : start + MAX_PAGE_RECORDS]
        records = tuple(
            LogRecord(stored.offset, stored.data, now - stored.appended_at) for stored in chosen
        )
        return LogPage(first, stream.next_offset, records)
