"""Slope of memory: what a request in progress holds at an entry.

The near side is an entry's real server with requests that an engine answers by one frame and then
keeps open. The far side is the HTTP client of an engine with answers that are kept open. Callers
and engines are bare sockets in a thread, which hold next to nothing.
"""

import asyncio
import gc
import socket
import threading
import tracemalloc
from collections.abc import AsyncGenerator, AsyncIterator

from pimentoquay.backends.base import DecodeOrder
from pimentoquay.backends.engine_http import HttpEngineClient
from pimentoquay.bench.slopes.relay import FRAME, ReadyEngine, entry_on_loopback
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["held_slopes"]

HELD = 100
REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
FIRST_FRAME = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (
    len(FRAME),
    FRAME,
)
READ_BYTES = 65536


class HoldingEngine(ReadyEngine):
    """Yields one frame and no end."""

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Yield the frame, then wait until cancelled."""
        yield FRAME
        await asyncio.Event().wait()

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Free nothing."""


@plugin("slope", "held")
def held_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the memory that a request in progress holds at an entry, by tracemalloc."""
    near = [asyncio.run(_near()) for _ in range(repeats)]
    far = [asyncio.run(_far()) for _ in range(repeats)]
    both = [one + other for one, other in zip(sorted(near), sorted(far), strict=True)]
    return (
        slope_of("memory of a held request, caller's side", "B", "request", near),
        slope_of("memory of a held request, engine's side", "B", "request", far),
        slope_of("memory of a held request, both sides", "B", "request", both),
    )


async def _near() -> float:
    async with entry_on_loopback(HoldingEngine(1)) as address:
        callers = [await asyncio.to_thread(_call, address)]
        before = _start()
        for _ in range(HELD):
            callers.append(await asyncio.to_thread(_call, address))
        used = _stop(before)
        for caller in callers:
            caller.close()
        return used


def _call(address: tuple[str, int]) -> socket.socket:
    """Send one request and return its connection once the first frame has come."""
    caller = socket.create_connection(address)
    caller.sendall(REQUEST)
    answer = b""
    while FRAME not in answer:
        answer += caller.recv(READ_BYTES)
    return caller


async def _far() -> float:
    with socket.create_server(("127.0.0.1", 0), backlog=HELD) as listener:
        accepted: list[socket.socket] = []
        thread = threading.Thread(target=_serve, args=(listener, accepted, HELD + 1))
        thread.start()
        host, port = listener.getsockname()
        client = HttpEngineClient(f"{host}:{port}")
        streams = [await _open(client)]
        before = _start()
        for _ in range(HELD):
            streams.append(await _open(client))
        used = _stop(before)
        for stream in streams:
            await stream.aclose()  # type: ignore[attr-defined]
        await client.close()
        thread.join()
        for connection in accepted:
            connection.close()
        return used


async def _open(client: HttpEngineClient) -> AsyncIterator[bytes]:
    stream = client.decode(DecodeOrder("r", 0, False))
    await anext(stream)
    return stream


def _serve(listener: socket.socket, accepted: list[socket.socket], count: int) -> None:
    """Answer some connections with one frame each and keep them open."""
    for _ in range(count):
        connection, _ = listener.accept()
        connection.recv(READ_BYTES)
        connection.sendall(FIRST_FRAME)
        accepted.append(connection)


def _start() -> int:
    gc.collect()
    tracemalloc.start()
    return tracemalloc.get_traced_memory()[0]


def _stop(before: int) -> float:
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / HELD
