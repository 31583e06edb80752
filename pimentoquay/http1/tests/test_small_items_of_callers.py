"""Callers that send many small items: chunks of few bytes, or requests one after the other."""

import asyncio
import contextlib
import socket
import struct
import tracemalloc

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.endless_callers import (
    FEW_ITEMS,
    ONE_BYTE_CHUNKS,
    count_parsed,
    counted_per_pass,
    endless_callers,
)
from pimentoquay.http1.tests.scripted import small_buffers, until
from pimentoquay.kernel.turns import ITEMS_PER_TURN

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
WAIT = b"GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"

MAX_MEMORY_BYTES = 2 * 1024 * 1024
"""Stated limit of the memory that six connections may use for what is unread."""


class Server(HttpServer):
    """Answers with the same body; ``/wait`` waits until it is cancelled."""

    def __init__(self, limits=None, answer=b""):
        super().__init__(self._handle, lambda: limits or ServerLimits())
        self.answer = answer
        self.begun, self.ended, self.cancelled, self.bodies = 0, 0, 0, []

    async def _handle(self, request, reply):
        self.begun += 1
        self.bodies.append(request.body)
        if request.target == b"/wait":
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled += 1
        reply.send(200, (), self.answer)
        self.ended += 1


@contextlib.asynccontextmanager
async def running(**options):
    server = Server(**options)
    await server.listen("127.0.0.1", 0)
    try:
        yield server
    finally:
        server.abort()


async def request_from(server, data=GET):
    async with asyncio.timeout(20):
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(data)
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    return int(head.split()[1])


@pytest.mark.parametrize("callers", [6, 200])
async def test_a_sound_request_waits_for_few_items_beside_bodies_of_one_byte_chunks(
    callers, monkeypatch
):
    """A read of 256 KB was parsed at once, so no other request was served beside six callers."""
    parsed = count_parsed(monkeypatch)
    limits = ServerLimits(body_bytes=10**9)
    async with (
        running(limits=limits) as server,
        endless_callers(server, callers, CHUNKED, ONE_BYTE_CHUNKS) as begun,
    ):
        await until(lambda: len(begun) == callers, "all have begun")
        with counted_per_pass(lambda: parsed[0]) as items:
            assert [await request_from(server) for _ in range(5)] == [200] * 5
        assert max(items) <= ITEMS_PER_TURN + FEW_ITEMS


async def test_requests_sent_ahead_begin_in_turns_over_all_connections():
    """A request began as soon as the one before it had ended, on each connection alike."""
    callers, requests = 30, 40
    async with running() as server:
        with counted_per_pass(lambda: server.begun) as begun:
            await asyncio.gather(*(_send_all(server, GET * requests) for _ in range(callers)))
        assert server.ended == callers * requests
        passes = [number for number in begun if number]
        assert len(passes) >= callers * (requests - 1)


async def _send_all(server, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    writer.write(data)
    answers = 0
    async with asyncio.timeout(20):
        while answers < data.count(b"\r\n\r\n"):
            await reader.readuntil(b"\r\n\r\n")
            answers += 1
    writer.close()


async def test_memory_is_bounded_while_callers_send_requests_ahead_without_end():
    """Reading went on after each request, so memory grew for as long as callers wrote."""
    async with running() as server, endless_callers(server, 6, b"", GET * 5000):
        await until(lambda: server.ended >= 10, "begun")
        tracemalloc.start()
        try:
            ended = server.ended
            await until(lambda: server.ended >= ended + 500, "served")
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert peak < MAX_MEMORY_BYTES


async def test_the_parts_of_a_body_take_no_more_memory_than_its_bytes():
    chunks = 30_000
    async with running() as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        data = CHUNKED + b"2\r\nxy\r\n" * chunks + LAST_CHUNK
        tracemalloc.start()
        try:
            writer.write(data)
            await until(lambda: server.ended, "served")
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            writer.close()
        assert server.bodies == [b"xy" * chunks]
        assert peak < len(data) + MAX_MEMORY_BYTES / 6 + 4 * 2 * chunks


@pytest.mark.parametrize(("ahead", "resets"), [(110_000, False), (400_000, True)])
async def test_a_caller_that_leaves_while_it_is_not_read_cancels_its_request(ahead, resets):
    """Without reading, the end of a connection went unnoticed until the request had ended."""
    async with running() as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(WAIT + b"x" * ahead)
        await until(lambda: server.begun, "begun")
        transport = next(iter(server.connections))._transport
        await until(lambda: not transport.is_reading(), "paused")
        if resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        else:
            await writer.drain()
            writer.close()
        await until(lambda: server.cancelled and not server.connections, "cancelled")
        assert server.ended == 0


async def test_requests_sent_ahead_wait_while_their_caller_reads_no_answers():
    """The answers to all of them were kept in memory until the caller read them."""
    answer = b"x" * 1_000_000
    async with running(answer=answer) as server, small_buffers(server) as sock:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, GET * 8)
        await until(lambda: server.ended, "answered")
        for _ in range(100):
            await asyncio.sleep(0)
        assert server.ended == 1
        assert server.requests_in_progress == 1
        received = 0
        async with asyncio.timeout(20):
            while received < 8 * len(answer):
                received += len(await loop.sock_recv(sock, 65536))
        assert server.ended == 8


async def test_a_body_whose_framing_is_far_longer_than_its_bytes_is_refused():
    limits = ServerLimits(body_bytes=1000)
    extended = (b"1;" + b"e" * 8000 + b"\r\nx\r\n") * 100
    async with running(limits=limits) as server:
        assert await request_from(server, CHUNKED + extended) == 413
        assert await request_from(server, CHUNKED + b"1\r\nx\r\n" * 1000 + LAST_CHUNK) == 200


async def test_a_connection_with_requests_sent_ahead_is_in_progress_between_them():
    """A planned stop that looks just then would end with requests that were read whole."""
    async with running() as server:
        seen = []

        def look():
            if 0 < server.ended < 40:
                seen.append(server.requests_in_progress)
            return 0

        with counted_per_pass(look):
            await _send_all(server, GET * 40)
        assert seen
        assert min(seen) == 1


async def test_a_connection_with_a_request_sent_ahead_is_not_closed_as_idle():
    async with running() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(GET * 20)
        async with asyncio.timeout(20):
            for _ in range(20):
                assert b"200" in await reader.readuntil(b"\r\n\r\n")
                server.close_idle()
        writer.close()


async def test_a_caller_that_ends_its_direction_is_taken_to_have_left():
    """A half-closed connection can't be told from a closed one when its end is read."""
    async with running() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(WAIT)
        await until(lambda: server.begun, "begun")
        writer.write_eof()
        await until(lambda: server.cancelled, "cancelled")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()


async def test_a_request_whose_body_arrives_is_in_progress():
    """A planned stop ended without an answer to it if nothing else was in progress."""
    async with running() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        writer.write(CHUNKED + b"1\r\nx\r\n")
        await until(lambda: server.requests_in_progress == 1, "in progress")
        writer.write(LAST_CHUNK)
        assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200")
        await until(lambda: server.requests_in_progress == 0, "answered")
        writer.close()


async def test_a_connection_whose_turn_fails_is_closed(monkeypatch):
    """Its caller waited for an answer until its time was over."""
    async with running() as server:
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)

        def fail(connection, data):
            raise ValueError("broken")

        monkeypatch.setattr("pimentoquay.http1.request_body.RequestBody.append", fail)
        monkeypatch.setattr("pimentoquay.http1.server_connection.ITEMS_AT_ONCE", 1)
        writer.write(CHUNKED + b"1\r\nx\r\n" + LAST_CHUNK)
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionError):
                assert await reader.read() == b""
        await until(lambda: not server.connections, "closed")
        writer.close()
