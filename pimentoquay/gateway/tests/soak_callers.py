"""Callers of a soak that keep their connections until the process at the other end is gone."""

import asyncio
import random
import socket
import time
from collections import deque
from dataclasses import dataclass, field

from pimentoquay.gateway.tests.process_rig import (
    ProcessGateway,
    ProcessRig,
    event_bytes,
    event_count,
    plain_body,
)

PATHS = ("/look/a", "/look/big", "/order/a", "/order/big", "/digest/a", "/sheet/a")
WEIGHTS = (25, 12, 25, 8, 15, 15)
ONCE = ("/order", "/sheet")
DEADLINE_SECONDS = 12.0
GIVE_UP_SECONDS = 20.0
SLOW_BUFFER_BYTES = 8192
SLOW_READ_BYTES = 4096
RETURN_SECONDS = 0.3
KNOWN_SECONDS = 1.8
"""Time for which a caller that rests goes by the limit of idle time before, less than 2 s."""

REST_SHARE = 0.8
"""Share of the limit of idle time that such a caller uses."""

REST_STEP_SECONDS = 0.02
START_INTERVAL_SECONDS = 0.02
"""Time between the starts of two callers, as gateways and stand-ins have no connections yet."""


@dataclass
class Request:
    """A request and what came of it; ``end`` is empty until its answer or connection has ended.

    ``index`` counts the requests on its connection. ``is_joined`` if it was written in one piece
    with the request before, so that the other end reads both at once. ``end`` is "answer", "eof",
    "reset", or "given up" if the caller left.
    """

    id: str
    path: str
    gateway: str
    boot: int
    connection: str
    index: int
    sent_at: float = float("inf")
    head_at: float = float("inf")
    ended_at: float = float("inf")
    status: int = 0
    end: str = ""
    was_ahead: bool = False
    is_joined: bool = False
    is_slow: bool = False
    after_close: bool = False
    body: bytes = b""
    head: bytes = b""

    @property
    def may_run_once(self):
        return self.path.startswith(ONCE)

    @property
    def is_stream(self):
        return self.path.startswith(("/digest", "/sheet"))

    def data(self):
        lines = [
            f"POST {self.path} HTTP/1.1",
            "Host: shop.example",
            f"Pimentoquay-Request-Id: {self.id}",
            f"Pimentoquay-Deadline-Ms: {int(DEADLINE_SECONDS * 1000)}",
        ]
        if self.is_stream:
            lines += [
                "Pimentoquay-Model: m",
                "Pimentoquay-Token-Counts: 500,832",
                "Pimentoquay-Length-Hint: 400",
                f"Pimentoquay-Prompt-Prefix: 5c1e07a2:200,{self.id}:300",
            ]
        body = self.id.encode().ljust(600)
        return "\r\n".join((*lines, f"Content-Length: {len(body)}", "", "")).encode() + body

    def expected_body(self):
        if self.is_stream:
            numbers = range(1, event_count(self.id) + 1)
            return b"".join(event_bytes(self.id, number) for number in numbers)
        return plain_body(self.id, self.path)

    def fault_of_answer(self):
        """Return what is wrong with an answer that looks complete, or an empty string."""
        if self.status != 200:
            return ""
        if b"pimentoquay-server-stamp" not in self.head:
            return "success without an engine's signature"
        if self.body != self.expected_body():
            return f"not the engine's whole body ({len(self.body)} bytes)"
        return ""


@dataclass
class Link:
    """A caller's connection; ``has_close`` if it ends after an answer that was read."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    gateway: ProcessGateway
    name: str
    sent: int = 0
    has_close: bool = False

    def __post_init__(self):
        self.boot = self.gateway.boot


@dataclass
class Caller:
    """Sends requests on one connection after the other, some ahead of the answer before."""

    rig: ProcessRig
    number: int
    random: random.Random
    requests: list
    ends_at: float
    rests: bool = False
    closed_early: list = field(default_factory=list)
    _waiting: deque = field(default_factory=deque)
    _connections: int = 0
    _count: int = 0

    def __post_init__(self):
        self.is_slow = self.number % 5 == 0
        self.sends_in_parts = self.number % 7 == 1
        self.goes_on_after_close = self.number % 3 == 0

    async def run(self):
        await asyncio.sleep(self.number * START_INTERVAL_SECONDS)
        while time.monotonic() < self.ends_at:
            gateways = [each for each in self.rig.gateways if not each.is_stopping]
            if not gateways:
                await asyncio.sleep(RETURN_SECONDS)
                continue
            gateway = self.random.choice(gateways)
            try:
                await self._use_connection(gateway)
            except OSError:
                await asyncio.sleep(RETURN_SECONDS)

    async def _use_connection(self, gateway):
        reader, writer = await self._connect(gateway)
        self._connections += 1
        self._link = Link(reader, writer, gateway, f"c{self.number}-{self._connections}")
        end = "given up"
        try:
            async with asyncio.timeout(GIVE_UP_SECONDS) as limit:
                while self._waiting or time.monotonic() < self.ends_at:
                    if self.rests and not self._waiting and not await self._rest():
                        break
                    await self._send_next()
                    if not self._waiting and not await reader.read(1):
                        break
                    limit.reschedule(asyncio.get_running_loop().time() + GIVE_UP_SECONDS)
                    await self._read_next()
        except asyncio.IncompleteReadError:
            end = "eof"
        except OSError as error:
            # TimeoutError is one, too.
            end = "given up" if isinstance(error, TimeoutError) else "reset"
        finally:
            for request in self._waiting:
                request.end, request.ended_at = end, time.monotonic()
            self._waiting.clear()
            writer.close()

    async def _rest(self):
        """Rest for as long as the limit allows, and return whether the connection may be used."""
        link, began_at = self._link, time.monotonic()
        if not link.sent or link.has_close:
            return True
        share = REST_SHARE * self.random.choice((0.3, 1.0))
        while (idle := time.monotonic() - began_at) <= share * self._idle_limit():
            if link.reader.at_eof():
                self.closed_early.append((link.gateway, link.boot, time.monotonic(), idle))
                return False
            await asyncio.sleep(REST_STEP_SECONDS)
        may_use = idle <= REST_SHARE * self._idle_limit() + REST_STEP_SECONDS
        return may_use and not link.reader.at_eof() and time.monotonic() < self.ends_at

    def _idle_limit(self):
        return self.rig.idle_seconds_at(time.monotonic() - KNOWN_SECONDS)

    async def _send_next(self):
        """Send the next request if none waits for its answer, and at times one ahead."""
        count = 1 + (self.random.random() < 0.2)
        if self._link.has_close:
            count = int(self.goes_on_after_close)
        requests = [self._next_request() for _ in range(len(self._waiting), count)]
        if len(requests) == 2 and not self.sends_in_parts:
            requests[1].is_joined = True
            self._link.writer.write(requests[0].data() + requests[1].data())
            requests[0].sent_at = requests[1].sent_at = time.monotonic()
            return
        for request in requests:
            await self._send(request)

    async def _send_ahead(self):
        """Send a request while an answer is read."""
        if len(self._waiting) == 1 and self.random.random() < 0.4:
            await self._send(self._next_request())

    async def _read_next(self):
        request = self._waiting[0]
        self._link.has_close |= await self._read_answer(self._link.reader, request)
        self._waiting.popleft()
        request.end, request.ended_at = "answer", time.monotonic()
        if request.status in (429, 502, 503):
            await asyncio.sleep(RETURN_SECONDS)

    async def _connect(self, gateway):
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self.is_slow:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            async with asyncio.timeout(2.0):
                await asyncio.get_running_loop().sock_connect(sock, (gateway.host, gateway.front))
            return await asyncio.open_connection(sock=sock, limit=SLOW_BUFFER_BYTES)
        except BaseException:
            sock.close()
            raise

    def _next_request(self):
        self._count += 1
        link = self._link
        request = Request(
            f"r{self.number}-{self._count}",
            self.random.choices(PATHS, WEIGHTS)[0],
            link.gateway.name,
            link.boot,
            link.name,
            link.sent,
            was_ahead=bool(self._waiting),
            is_slow=self.is_slow,
            after_close=link.has_close,
        )
        link.sent += 1
        self.requests.append(request)
        self._waiting.append(request)
        return request

    async def _send(self, request):
        writer = self._link.writer
        data = request.data()
        if self.sends_in_parts and self.random.random() < 0.4:
            for _ in range(2):
                cut = self.random.randrange(1, len(data) - 1)
                writer.write(data[:cut])
                data = data[cut:]
                await asyncio.sleep(self.random.choice((0.05, 0.3, 0.8)))
                if len(data) < 4:
                    break
        writer.write(data)
        request.sent_at = time.monotonic()

    async def _read_answer(self, reader, request):
        """Read an answer; return whether the connection ends after it.

        Slow callers send ahead when they have read a part of a call's answer.
        """
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        request.head_at = time.monotonic()
        request.head, request.status = head, int(head.split(b" ", 2)[1])
        may_send_ahead = self.is_slow and not request.is_stream
        may_send_ahead &= b"connection: close" not in head
        parts: list[bytes] = []
        if b"transfer-encoding: chunked" in head:
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                if parts and may_send_ahead:
                    await self._send_ahead()
                parts.append((await self._read(reader, size + 2))[:-2])
            await reader.readexactly(2)
        else:
            length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
            parts.append(await self._read(reader, length))
        request.body = b"".join(parts)
        fault = request.fault_of_answer()
        request.body = fault.encode()
        return b"connection: close" in head

    async def _read(self, reader, size):
        if not self.is_slow:
            return await reader.readexactly(size)
        parts = []
        while size:
            part = await reader.readexactly(min(size, SLOW_READ_BYTES))
            parts.append(part)
            size -= len(part)
            if size:
                await asyncio.sleep(0.02)
        return b"".join(parts)
