"""Cost of the head of a request, by its length, its header lines and the segments of its path.

A head is read by a connection of a server, looked up in a table of routes, and refused or passed
on; the cost of each part is measured alone. ``python -m
pimentoquay.bench.head_cost`` prints the costs.
"""

import asyncio
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from pimentoquay.http1 import HttpRequest, HttpServer, Reply, ServerLimits
from pimentoquay.http1.server_connection import ServerConnection
from pimentoquay.kernel.logs import logger
from pimentoquay.policy.fleet import FleetConfiguration, RepeatRule, Route, ServiceShare
from pimentoquay.policy.route_choice import RouteTable

__all__ = [
    "HEAD_LENGTHS",
    "HEADER_COUNTS",
    "SEGMENT_COUNTS",
    "HeadCost",
    "head_of",
    "head_memory",
    "lookup_seconds",
    "measure_head",
]

HEAD_LENGTHS = (400, 2000, 8000, 16_000)
"""Measured lengths of heads, in bytes."""

HEADER_COUNTS = (8, 60, 250, 800, 3100)
"""Measured numbers of header lines in a head of the greatest length."""

SEGMENT_COUNTS = (3, 100, 1000, 4000, 15_900)
"""Measured numbers of segments in a path of the greatest length."""

ROUTES = 3000
"""Number of routes of the table."""

HEADS_PER_MEASUREMENT = 30
LOOKUPS_PER_MEASUREMENT = 20
HELD_HEADS = 40
"""Number of requests whose memory is measured together."""

_HOST = "shop.example"
_FIRST_LINES = b"POST /look/a HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 1\r\n"


@dataclass(frozen=True)
class HeadCost:
    """Median and longest processor time of one head, in microseconds, and whether it passed."""

    length: int
    headers: int
    median_us: float
    longest_us: float
    is_served: bool


class _Transport(asyncio.Transport):
    """Transport of a connection that nobody reads; ``ended`` gets a result as bytes are written."""

    def __init__(self, ended: asyncio.Future[None]) -> None:
        super().__init__()
        self._ended = ended

    def write(self, data: Any) -> None:
        _end(self._ended)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: Any = None, low: Any = None) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def can_write_eof(self) -> bool:
        return False

    def pause_reading(self) -> None:
        pass

    def resume_reading(self) -> None:
        pass

    def abort(self) -> None:
        pass

    def close(self) -> None:
        pass


def head_of(length: int, headers: int) -> bytes:
    """Return a head of about ``length`` bytes with a number of header lines.

    Its last line takes what the others leave of the length.
    """
    names = (bytes((97 + i % 26, 97 + i // 26 % 26)) for i in range(max(0, headers - 3)))
    lines = b"".join(name + b":\r\n" for name in names)
    room = max(0, length - len(_FIRST_LINES) - len(lines) - 9)
    return _FIRST_LINES + lines + b"X-Pad: " + b"x" * room + b"\r\n\r\n"


def measure_head(length: int, headers: int) -> HeadCost:
    """Measure what a server spends on heads that each arrive on a connection of their own."""
    return asyncio.run(_measure(head_of(length, headers), headers))


async def _measure(head: bytes, headers: int) -> HeadCost:
    times, served = [], 0
    loop = asyncio.get_running_loop()
    for _ in range(HEADS_PER_MEASUREMENT):
        ended = loop.create_future()
        server, requests = _server(ended)
        connection = server.connect(ended)
        started = time.perf_counter()
        _receive(connection, head + b"x")
        await ended
        times.append((time.perf_counter() - started) * 1e6)
        served += len(requests)
        connection.connection_lost(None)
    median = statistics.median(times)
    return HeadCost(len(head), headers, median, max(times), served == HEADS_PER_MEASUREMENT)


def head_memory(length: int, headers: int) -> float:
    """Return the bytes of memory that a head takes whose body is awaited, without its connection.

    That is what it takes beyond one of a few short lines.
    """
    return _held_bytes(head_of(length, headers)) - _held_bytes(head_of(0, 4))


def _held_bytes(head: bytes) -> float:
    async def hold() -> float:
        ended = asyncio.get_running_loop().create_future()
        server, _ = _server(ended)
        connections = [server.connect(ended) for _ in range(HELD_HEADS)]
        tracemalloc.start()
        for connection in connections:
            _receive(connection, bytes(head))
        await asyncio.sleep(0.05)  # Turns of what was not handled at once.
        held = tracemalloc.get_traced_memory()[0] / HELD_HEADS
        tracemalloc.stop()
        for connection in connections:
            connection.connection_lost(None)
        return held

    return asyncio.run(hold())


class _MeasuredServer(HttpServer):
    """Server whose connections are made without a socket."""

    def connect(self, ended: asyncio.Future[None]) -> ServerConnection:
        connection = ServerConnection(self)
        connection.connection_made(_Transport(ended))
        return connection


def _server(ended: asyncio.Future[None]) -> tuple[_MeasuredServer, list[HttpRequest]]:
    requests: list[HttpRequest] = []

    async def handle(request: HttpRequest, reply: Reply) -> None:
        requests.append(request)
        _end(ended)

    return _MeasuredServer(handle, ServerLimits), requests


def _end(ended: asyncio.Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)


def _receive(connection: ServerConnection, data: bytes) -> None:
    for start in range(0, len(data), 16_384):
        piece = data[start : start + 16_384]
        connection.get_buffer(-1)[: len(piece)] = piece
        connection.buffer_updated(len(piece))


def lookup_seconds(segments: int, length: int = HEAD_LENGTHS[-1]) -> float:
    """Return the median time of the lookup of a route by a path, in seconds.

    The path has ``length`` bytes in a number of segments, of which the last takes what the others
    leave; the table has ``ROUTES`` routes.
    """
    path = "/look/" + "/" * (segments - 3)
    path += "x" * (length - len(path))
    table = _table()
    return _median_seconds(lambda: table.find(_HOST, path), LOOKUPS_PER_MEASUREMENT)


def _table() -> RouteTable:
    shares = (ServiceShare("desk", 1.0),)
    prefixes = ["/look/"] + [f"/part-{number % 50}/{number}/" for number in range(ROUTES - 1)]
    routes = tuple(
        Route(each, _HOST, each, RepeatRule.IDEMPOTENT, 1.0, 0.1, shares) for each in prefixes
    )
    return RouteTable(FleetConfiguration(1, routes, {}))


def _median_seconds(work: Callable[[], object], count: int) -> float:
    times = []
    for _ in range(count):
        started = time.perf_counter()
        work()
        times.append(time.perf_counter() - started)
    return statistics.median(times)


def main() -> None:
    """Print the costs."""
    logger.disable("pimentoquay")
    longest = HEAD_LENGTHS[-1]
    cases = [(length, 8) for length in HEAD_LENGTHS]
    cases += [(longest, headers) for headers in HEADER_COUNTS[1:]]
    for length, headers in cases:
        cost = measure_head(length, headers)
        memory = head_memory(length, headers)
        outcome = "served" if cost.is_served else "refused"
        print(
            f"head of {cost.length:6} bytes, {headers:5} headers: {cost.median_us:9.0f} µs "
            f"(longest {cost.longest_us:7.0f} µs), holds {memory / 1024:6.1f} KB, {outcome}"
        )
    for segments in SEGMENT_COUNTS:
        seconds = lookup_seconds(segments)
        print(
            f"lookup of a path of {longest} bytes, {segments:6} segments: {seconds * 1e6:9.1f} µs"
        )


if __name__ == "__main__":
    main()
