"""Answers of the stand-in engine that are written a second time on their connection."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentoquay.http1 import HttpRequest, Reply, find_header

__all__ = ["LateCopies", "Served"]

LEAD_SECONDS = 0.01
"""Time in seconds by which a copy leaves the engine before the answer that it precedes."""


@dataclass
class Served:
    """A request on a connection, and what was written as its answer."""

    target: str
    request_id: str
    data: bytes = b""

    @property
    def status(self) -> int:
        """Status of the answer, or 0 if there is none."""
        return int(self.data.split(b" ", 2)[1]) if self.data else 0


class LateCopies:
    """Writes copies of earlier answers, at the points that a test chooses.

    Attributes
    ----------
    before
        Called with a request and those before it on its connection when the engine begins to
        handle it; returns the one whose answer is written again first, or None.
    after
        Called with a request that has been answered; returns the time in seconds after which its
        answer is written again, zero for the same segment, or None.
    written
        Requests whose answers were written again.
    """

    def __init__(self) -> None:
        self.before: Callable[[Served, list[Served]], Served | None] = lambda served, earlier: None
        self.after: Callable[[Served], float | None] = lambda served: None
        self.written: list[Served] = []

    async def begin(self, request: HttpRequest, reply: Reply) -> Served:
        """Begin to record the answer to a request, and write the copy that precedes it."""
        connection = reply._connection
        if not isinstance(connection._transport, _Recorder):
            connection._transport = _Recorder(connection._transport)
        recorder = connection._transport
        request_id = find_header(request.headers, b"pimentoquay-request-id") or b""
        served = Served(request.target.decode(), request_id.decode())
        earlier = list(recorder.served)
        recorder.served.append(served)
        copied = self.before(served, earlier)
        if copied is not None:
            self._write(recorder, copied)
            await asyncio.sleep(LEAD_SECONDS)
        return served

    def end(self, served: Served, reply: Reply) -> None:
        """Write the copy that follows an answer."""
        recorder = reply._connection._transport
        seconds = self.after(served)
        if seconds == 0.0:
            self._write(recorder, served)
        elif seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, self._write, recorder, served)

    def _write(self, recorder: "_Recorder", copied: Served) -> None:
        self.written.append(copied)
        recorder.write_copy(copied.data)


class _Recorder:
    """Transport of a connection that keeps what is written as the answer to each request."""

    def __init__(self, transport: Any) -> None:
        self.served: list[Served] = []
        self._transport = transport

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        if self.served:
            self.served[-1].data += data
        self._transport.write(data)

    def write_copy(self, data: bytes) -> None:
        self._transport.write(data)
