"""A server that answers with scripted bytes, and a wait that tests share."""

import asyncio
import contextlib
import socket
import struct

from pimentoquay.http1 import ConnectionPool, ReusePolicy

WAIT_SECONDS = 20.0
"""The longest wait for something that has to happen; no verdict depends on how long it takes."""


async def until(condition, what=""):
    """Wait until a condition holds."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


class ScriptedServer:
    """Each request on a connection gets the next script; a script may end the connection."""

    def __init__(self, *scripts, close=False, reset=False, extra_after=None):
        self.scripts = list(scripts)
        self.close = close
        self.reset = reset
        self.connections = 0
        self.requests = []

    async def handle(self, reader, writer):
        self.connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while self.scripts:
                head = await reader.readuntil(b"\r\n\r\n")
                length = next(
                    (
                        int(line.partition(b":")[2])
                        for line in head.split(b"\r\n")
                        if line.lower().startswith(b"content-length")
                    ),
                    0,
                )
                self.requests.append((head, await reader.readexactly(length)))
                writer.write(self.scripts.pop(0))
                await writer.drain()
                if self.reset:
                    await asyncio.sleep(0.05)
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    writer.transport.abort()
                    return
                if self.close:
                    break
            else:
                await reader.read()
        writer.close()


@contextlib.asynccontextmanager
async def scripted(*scripts, **options):
    made = ScriptedServer(*scripts, **options)
    server = await asyncio.start_server(made.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(f"127.0.0.1:{port}", 5.0, ReusePolicy(longest_idle=60.0))
    try:
        yield made, pool
    finally:
        pool.close()
        server.close()
