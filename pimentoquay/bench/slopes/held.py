"""Memory that a request in progress holds in an entry process.

For the caller's side, the entry's real server handles requests to which a stand-in engine sends one
frame and then nothing. For the engine's side, the HTTP client of an engine reads responses that
stay open. The peers of both are plain sockets in a thread, whose own memory is negligible.
"""

import asyncio
import gc
import socket
import threading
import tracemalloc
from collections.abc import AsyncGenerator, AsyncIterator

from pimentoquay.backends.base import DecodeOrder
from pimentoquay.backends.engine_http import HttpEngineClient
from pimentoquay.bench.slopes.relay import FRAME, PreparedAnswerEngine, entry_on_loopback
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["held_slopes"]

HELD = 100
"""Number of requests held at the same time."""

REQUEST = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n"
FIRST_FRAME = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (
    len(FRAME),
    FRAME,
)
READ_BYTES = 65536


class HoldingEngine(PreparedAnswerEngine):
    """Engine that sends one frame of an answer and keeps the stream open."""

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Yield one frame, then wait until cancelled."""
        yield FRAME
        await asyncio.Event().wait()

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Accept a cancellation without effect."""


@plugin("slope", "held")
def held_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure with ``tracemalloc`` the memory that a request in progress holds in an entry."""
    caller_side = [asyncio.run(_measure_caller_side()) for _ in range(repeats)]
    engine_side = [asyncio.run(_measure_engine_side()) for _ in range(repeats)]
    both_sides = [
        caller + engine
        for caller, engine in zip(sorted(caller_side), sorted(engine_side), strict=True)
    ]
    return (
        slope_of("memory of a held request, caller's side", "B", "request", caller_side),
        slope_of("memory of a held request, engine's side", "B", "request", engine_side),
        slope_of("memory of a held request, both sides", "B", "request", both_sides),
    )


async def _measure_caller_side() -> float:
    async with entry_on_loopback(HoldingEngine(1)) as address:
        callers = [await asyncio.to_thread(_call, address)]
        before = _start_tracing()
        for _ in range(HELD):
            callers.append(await asyncio.to_thread(_call, address))
        used = _stop_tracing(before)
        for caller in callers:
            caller.close()
        return used


def _call(address: tuple[str, int]) -> socket.socket:
    """Send one request and return its connection after the first frame was received."""
    caller = socket.create_connection(address)
    caller.sendall(REQUEST)
    answer = b""
    while FRAME not in answer:
        answer += caller.recv(READ_BYTES)
    return caller


async def _measure_engine_side() -> float:
    with socket.create_server(("127.0.0.1", 0), backlog=HELD) as listener:
        accepted: list[socket.socket] = []
        thread = threading.Thread(target=_answer_and_hold, args=(listener, accepted, HELD + 1))
        thread.start()
        host, port = listener.getsockname()
        client = HttpEngineClient(f"{host}:{port}")
        streams = [await _open_stream(client)]
        before = _start_tracing()
        for _ in range(HELD):
            streams.append(await _open_stream(client))
        used = _stop_tracing(before)
        for stream in streams:
            await stream.aclose()  # type: ignore[attr-defined]
        await client.close()
        thread.join()
        for connection in accepted:
            connection.close()
        return used


async def _open_stream(client: HttpEngineClient) -> AsyncIterator[bytes]:
    stream = client.decode(DecodeOrder("r", 0, False))
    await anext(stream)
    return stream


def _answer_and_hold(listener: socket.socket, accepted: list[socket.socket], count: int) -> None:
    """Answer ``count`` connections with one frame each and keep them open."""
    for _ in range(count):
        connection, _ = listener.accept()
        connection.recv(READ_BYTES)
        connection.sendall(FIRST_FRAME)
        accepted.append(connection)


def _start_tracing() -> int:
    gc.collect()
    tracemalloc.start()
    return tracemalloc.get_traced_memory()[0]


def _stop_tracing(before: int) -> float:
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / HELD
