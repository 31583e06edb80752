"""A test server that responds with prepared bytes, and a wait for a condition."""

import asyncio
import contextlib
import socket
import struct

from pimentoquay.http1 import ConnectionPool, ReusePolicy

WAIT_SECONDS = 20.0
"""Timeout in seconds of waiting for an expected event; no test measures the time it takes."""


async def until(condition, what=""):
    """Wait until a condition is true."""
    async with asyncio.timeout(WAIT_SECONDS):
        while True:
            if condition():
                return
            await asyncio.sleep(0.005)


BUFFER_BYTES = 4096
"""Size of the buffers that the system is asked for; it takes some more."""


@contextlib.asynccontextmanager
async def small_buffers(server):
    """Yield a socket connected to a server, with small buffers of the system at both ends."""
    with socket.socket() as sock:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        address = ("127.0.0.1", server.port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        await until(lambda: connection_of(server, sock) is not None, "accepted")
        accepted = connection_of(server, sock).get_extra_info("socket")
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        yield sock


def connection_of(server, sock):
    """Return the transport of a server to a client's socket, or None."""
    for connection in server.connections:
        if connection._transport.get_extra_info("peername") == sock.getsockname():
            return connection._transport
    return None


class ScriptedServer:
    """Sends the next script as the response to each request.

    Parameters
    ----------
    scripts
        Raw bytes of the responses, in order.
    close
        Close each connection after its first response.
    reset
        Reset the connection after the first response.
    """

    def __init__(self, *scripts, close=False, reset=False, extra_after=None):
        self.scripts = list(scripts)
        self.close = close
        self.reset = reset
        self.connections = 0
        self.requests = []
        self._writer_by_task = {}

    async def close_connections(self):
        """Abort all connections, and wait for their tasks, so that none outlives the loop."""
        for writer in self._writer_by_task.values():
            writer.transport.abort()
        await asyncio.gather(*self._writer_by_task, return_exceptions=True)

    def next_script(self, head):
        """Return the response to a request with a head."""
        return self.scripts.pop(0)

    async def handle(self, reader, writer):
        self.connections += 1
        self._writer_by_task[asyncio.current_task()] = writer
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
                writer.write(self.next_script(head))
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
    """Run a ``ScriptedServer`` and yield it with a connection pool for it."""
    scripted_server = ScriptedServer(*scripts, **options)
    server = await asyncio.start_server(scripted_server.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = ConnectionPool(f"127.0.0.1:{port}", 5.0, ReusePolicy(max_idle_seconds=60.0))
    try:
        yield scripted_server, pool
    finally:
        pool.close()
        server.close()
        await scripted_server.close_connections()
