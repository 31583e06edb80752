"""Links between machines on loopback that delay, cut, refuse or reset what passes.

A proxy listens at an address of its own for each port of a machine. The source address of a
connection tells which machine opened it, so that single links can fail.
"""

import asyncio
import contextlib
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from pimentoquay.gateway.tests.process_launcher import CONNECTED

MAX_HELD_BYTES = 1024 * 1024
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkState(Enum):
    """What happens to the traffic of a link; the value of each member describes it."""

    OPEN = "passes"
    SILENT = "is held until the link heals, and connections are not answered"
    NEW_SILENT = "passes, but new connections are not answered"
    REFUSED = "passes, but new connections are refused"
    RESET = "is reset, and new connections are refused"


@dataclass
class Links:
    """States of all links by source and target address, and their proxies."""

    delay: float = 0.0
    state_by_link: dict = field(default_factory=dict)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)
    _servers: list = field(default_factory=list)
    _pipes: set = field(default_factory=set)
    _tasks: set = field(default_factory=set)

    def state(self, source, target):
        return self.state_by_link.get((source, target), LinkState.OPEN)

    def set(self, source, target, state):
        """Change a link; ``OPEN`` heals it."""
        if state is LinkState.OPEN:
            self.state_by_link.pop((source, target), None)
        else:
            self.state_by_link[source, target] = state
        if state is LinkState.RESET:
            for pipe in [each for each in self._pipes if each.link == (source, target)]:
                pipe.reset()
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_while_silent(self, link):
        while self.state(*link) is LinkState.SILENT:
            await self._changed.wait()

    async def listen(self, proxy, host, port):
        """Pass connections to a port of the proxy's address on to a machine."""
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Near(self, host, port), proxy, port, backlog=1024
        )
        self._servers.append(server)

    def start(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self):
        for server in self._servers:
            server.close()
        for pipe in tuple(self._pipes):
            pipe.reset()
        tasks = tuple(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class _End(asyncio.Protocol):
    """One end of a proxied connection, whose bytes are delivered at the other end later."""

    def __init__(self, links):
        self.links = links
        self.link = ("", "")
        self.transport: Any = None
        self.other: Any = None
        self._queue: deque[tuple[float, Any]] = deque()
        self._held = 0
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_made(self, transport):
        self.transport = transport

    def pause_writing(self):
        self._writable.clear()

    def resume_writing(self):
        self._writable.set()

    def data_received(self, data):
        self._held += len(data)
        if self._held > MAX_HELD_BYTES:
            self.transport.pause_reading()
        self._put(data)

    def eof_received(self):
        self._put(b"")
        return True

    def connection_lost(self, error):
        self._writable.set()
        self._put(None if error is None else error)

    def _put(self, item):
        self._queue.append((asyncio.get_running_loop().time() + self.links.delay, item))
        self._wake.set()

    def reset(self):
        """Reset the connection, which discards what has not been delivered."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()

    async def pump(self):
        """Deliver at the other end what came here, until the connection has ended."""
        loop = asyncio.get_running_loop()
        while True:
            while not self._queue:
                self._wake.clear()
                await self._wake.wait()
            due, item = self._queue[0]
            if due > loop.time():
                await asyncio.sleep(due - loop.time())
            await self.links.wait_while_silent(self.link)
            self._queue.popleft()
            other = self.other.transport
            if isinstance(item, bytes) and item:
                self._held -= len(item)
                if self._held <= MAX_HELD_BYTES // 2 and not self.transport.is_closing():
                    self.transport.resume_reading()
                if not other.is_closing():
                    other.write(item)
                    await self.other._writable.wait()
            elif item == b"":
                if not other.is_closing() and other.can_write_eof():
                    with contextlib.suppress(OSError):
                        other.write_eof()
            elif item is None:
                other.close()
                return
            else:
                self.other.reset()
                return


class _Near(_End):
    """The end that a machine has connected to."""

    def __init__(self, links, host, port):
        super().__init__(links)
        self._address = (host, port)

    def connection_made(self, transport):
        super().connection_made(transport)
        self.link = (transport.get_extra_info("peername")[0], self._address[0])
        self.links._pipes.add(self)
        self.links.start(self._open())

    def connection_lost(self, error):
        super().connection_lost(error)
        self.links._pipes.discard(self)

    def reset(self):
        super().reset()
        if self.other is not None and self.other.transport is not None:
            _End.reset(self.other)

    async def _open(self):
        links = self.links
        await asyncio.sleep(2 * links.delay)
        while links.state(*self.link) in (LinkState.SILENT, LinkState.NEW_SILENT):
            await links._changed.wait()
        if links.state(*self.link) is not LinkState.OPEN or self.transport.is_closing():
            self.transport.close()
            return
        far = _End(links)
        try:
            await asyncio.get_running_loop().create_connection(lambda: far, *self._address)
        except OSError:
            self.transport.close()
            return
        far.link, far.other, self.other = self.link, self, far
        if not self.transport.is_closing():
            self.transport.write(CONNECTED)
        await asyncio.gather(self.pump(), far.pump())
