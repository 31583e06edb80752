"""The platform's append-only log: offsets, append rate, retention, outages, lost answers."""

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

PAGE_RECORDS = 1000
"""The most records that one read returns."""


@dataclass(frozen=True)
class LogModel:
    """Costs and limits of the log."""

    append_rate: float = setting(
        help="appends taken, all streams together", default=300.0, low=0.1, high=1e6, unit="1/s"
    )
    append_wait: float = setting(
        help="longest wait of an append over the rate before it is refused",
        default=1.0,
        low=0.0,
        high=60.0,
        unit="s",
    )
    latency: float = setting(help="time of a call", default=0.005, low=0.0, high=60.0, unit="s")
    retention: float = setting(
        help="how long a record is kept", default=3600.0, low=0.1, high=1e9, unit="s"
    )


@dataclass(frozen=True)
class _Kept:
    offset: int
    data: bytes
    at: float


class _Stream:
    def __init__(self) -> None:
        self.next_offset = 0
        self.kept: deque[_Kept] = deque()
        self.changed = asyncio.Event()


class StandinLog:
    """Streams of records; it implements ``LogClient``.

    Parameters
    ----------
    model
        Costs and limits.
    """

    def __init__(self, model: LogModel | None = None) -> None:
        self.model = model or LogModel()
        self.appends = 0
        self._stream_by_name: dict[str, _Stream] = {}
        self._next_append_at = 0.0
        self._outage_until = 0.0
        self._slow_until = 0.0
        self._slowness = 0.0
        self._lost_answers = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append and return the offset."""
        self._check_up()
        await self._wait_for_turn()
        await self._delay()
        self._check_up()
        offset = self._store(self._stream(stream), data)
        if self._lost_answers > 0:
            self._lost_answers -= 1
            raise LogOutcomeUnknownError(f"the answer of an append to {stream} was lost")
        return offset

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on, waiting up to ``wait`` seconds for the first."""
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
        """Take no call for a while; waiting reads fail at once."""
        self._outage_until = self._now() + seconds
        for stream in self._stream_by_name.values():
            self._wake(stream)

    def slow(self, delay: float, seconds: float) -> None:
        """Add ``delay`` seconds to each call for a while."""
        self._slowness = delay
        self._slow_until = self._now() + seconds

    def start_anew(self) -> None:
        """Lose every record; offsets start at 0 again."""
        for stream in self._stream_by_name.values():
            stream.next_offset = 0
            stream.kept.clear()
            self._wake(stream)

    def lose_next_answers(self, count: int) -> None:
        """Let the next appends take effect with their answers lost."""
        self._lost_answers = count

    def records(self, stream: str) -> tuple[LogRecord, ...]:
        """Return every record still kept, for checkers."""
        source = self._stream(stream)
        self._forget_old(source)
        now = self._now()
        return tuple(LogRecord(kept.offset, kept.data, now - kept.at) for kept in source.kept)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _check_up(self) -> None:
        if self._now() < self._outage_until:
            raise LogUnavailableError("the log service is down")

    async def _wait_for_turn(self) -> None:
        now = self._now()
        turn = max(now, self._next_append_at)
        if turn - now > self.model.append_wait:
            raise LogUnavailableError(f"over {self.model.append_rate:g} appends a second")
        self._next_append_at = turn + 1.0 / self.model.append_rate
        if turn > now:
            await asyncio.sleep(turn - now)

    async def _delay(self) -> None:
        delay = self.model.latency
        if self._now() < self._slow_until:
            delay += self._slowness
        await asyncio.sleep(delay)

    def _stream(self, name: str) -> _Stream:
        if name not in self._stream_by_name:
            self._stream_by_name[name] = _Stream()
        return self._stream_by_name[name]

    def _store(self, stream: _Stream, data: bytes) -> int:
        offset = stream.next_offset
        stream.next_offset += 1
        stream.kept.append(_Kept(offset, data, self._now()))
        self.appends += 1
        self._wake(stream)
        return offset

    def _wake(self, stream: _Stream) -> None:
        stream.changed.set()
        stream.changed = asyncio.Event()

    def _forget_old(self, stream: _Stream) -> None:
        oldest = self._now() - self.model.retention
        while stream.kept and stream.kept[0].at < oldest:
            stream.kept.popleft()

    def _page(self, stream: _Stream, from_offset: int) -> LogPage:
        self._forget_old(stream)
        first = stream.kept[0].offset if stream.kept else stream.next_offset
        now = self._now()
        start = max(0, from_offset - first)
        chosen = list(stream.kept)[start : start + PAGE_RECORDS]
        records = tuple(LogRecord(kept.offset, kept.data, now - kept.at) for kept in chosen)
        return LogPage(first, stream.next_offset, records)
