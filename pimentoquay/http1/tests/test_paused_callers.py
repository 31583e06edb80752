"""Checks of a caller that is not read, for having left."""

import asyncio

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.server_connection import ServerConnection


async def test_a_caller_that_is_paused_again_and_again_is_checked_once_per_interval(monkeypatch):
    """Each pause began a series of checks that went on if reading was paused again by then."""
    checks = 0
    check = ServerConnection._check_caller

    def counted(self):
        nonlocal checks
        checks += 1
        check(self)

    monkeypatch.setattr(ServerConnection, "_check_caller", counted)

    async def handle(request, reply):
        reply.send(204, (), b"")

    server = HttpServer(handle, ServerLimits)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    head = b"GET / HTTP/1.1\r\nHost: a\r\nX-Pad: " + b"a" * 8000 + b"\r\n\r\n"

    async def send():
        while True:
            writer.write(head * 8)
            await writer.drain()

    async def receive():
        while await reader.read(65536):
            pass

    tasks = [asyncio.create_task(send()), asyncio.create_task(receive())]
    await asyncio.sleep(2.0)
    checks = 0
    await asyncio.sleep(1.0)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    server.abort()
    assert checks <= 20
