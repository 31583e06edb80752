"""Callers that write without end, and counts of what is done in a pass of the event loop."""

import asyncio
import contextlib
import socket

import h11

ONE_BYTE_CHUNKS = b"1\r\nx\r\n" * 5000

FEW_ITEMS = 16
"""Stated limit of the items of a sound connection that are handled as soon as they are read."""


@contextlib.asynccontextmanager
async def endless_callers(server, count, beginning, block):
    """Connect callers that write without end and read what comes; yields how many have begun."""
    loop = asyncio.get_running_loop()
    begun = []

    async def write(sock):
        await loop.sock_sendall(sock, beginning + block)
        begun.append(sock)
        while True:
            await loop.sock_sendall(sock, block)
            await asyncio.sleep(0)

    async def read(sock):
        while await loop.sock_recv(sock, 65536):
            pass

    async with contextlib.AsyncExitStack() as stack:
        tasks = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            await loop.sock_connect(sock, ("127.0.0.1", server.port))
            tasks += [asyncio.create_task(each(sock)) for each in (write, read)]
        try:
            yield begun
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


@contextlib.contextmanager
def counted_per_pass(count):
    """Yield a list that gets, in each pass of the event loop, by how much a count has risen."""
    loop = asyncio.get_running_loop()
    rises: list[int] = []
    last = count()
    handle: asyncio.Handle | None = None

    def tick():
        nonlocal last, handle
        now = count()
        rises.append(now - last)
        last = now
        handle = loop.call_soon(tick)

    tick()
    yield rises
    if handle is not None:
        handle.cancel()


async def most_in_one_pass(count, is_done):
    """Return by how much a count grows at most in one pass of the event loop, until a check holds.

    The first pass counts too.
    """
    most, before = 0, count()
    async with asyncio.timeout(30.0):
        while not is_done():
            await asyncio.sleep(0)
            most, before = max(most, count() - before), count()
    return most


def count_parsed(monkeypatch):
    """Return a list with the number of items that all connections have parsed."""
    parsed = [0]
    next_event = h11.Connection.next_event

    def counting(connection):
        parsed[0] += 1
        return next_event(connection)

    monkeypatch.setattr(h11.Connection, "next_event", counting)
    return parsed
