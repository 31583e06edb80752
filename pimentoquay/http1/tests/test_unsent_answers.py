"""Answers that wait in the server's transports until slow callers read them."""

import asyncio
import contextlib
import math
import socket
import struct

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits, system_state
from pimentoquay.http1 import server_connection as connection_module
from pimentoquay.http1.tests.scripted import small_buffers, until

REQUEST = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
BODY = b"x" * 1_000_000


class Answerer:
    """Sends the same answer to all requests; ``expires_at`` is when the callers stop waiting."""

    def __init__(self):
        self.ended = 0
        self.expires_at = math.inf

    async def handle(self, request, reply):
        reply.expires_at = self.expires_at
        reply.send(200, (), BODY)
        self.ended += 1


@contextlib.asynccontextmanager
async def running_server():
    answerer = Answerer()
    server = HttpServer(answerer.handle, ServerLimits)
    await server.listen("127.0.0.1", 0)
    try:
        yield answerer, server
    finally:
        server.abort()


@contextlib.asynccontextmanager
async def slow_caller(server):
    """Send a request, and read nothing yet."""
    async with small_buffers(server) as sock:
        await asyncio.get_running_loop().sock_sendall(sock, REQUEST)
        yield sock


async def read_all(sock):
    data = b""
    async with asyncio.timeout(10):
        while part := await asyncio.get_running_loop().sock_recv(sock, 65536):
            data += part
    return data


async def test_an_answer_counts_as_in_progress_until_a_slow_caller_has_taken_it():
    """The process of a planned stop ended with the rest of such answers in its transports."""
    async with running_server() as (answerer, server), slow_caller(server) as sock:
        await until(lambda: answerer.ended == 1, "answered")
        server.drain()
        await server.close()
        assert server.requests_in_progress == 1
        data = await read_all(sock)
        assert data.endswith(BODY)
        await until(lambda: server.requests_in_progress == 0, "sent")


async def test_answers_of_many_slow_callers_are_all_in_progress():
    async with running_server() as (answerer, server), contextlib.AsyncExitStack() as stack:
        socks = [await stack.enter_async_context(slow_caller(server)) for _ in range(30)]
        await until(lambda: answerer.ended == 30, "answered")
        assert server.requests_in_progress == 30
        await server.close()
        answers = await asyncio.gather(*(read_all(sock) for sock in socks))
        assert all(data.endswith(BODY) for data in answers)
        await until(lambda: server.requests_in_progress == 0, "sent")


@pytest.mark.parametrize("has_left", [True, False])
async def test_an_answer_that_its_caller_no_longer_waits_for_is_not_in_progress(has_left):
    async with running_server() as (answerer, server):
        if not has_left:
            answerer.expires_at = asyncio.get_running_loop().time() + 0.3
        async with slow_caller(server) as sock:
            await until(lambda: answerer.ended == 1, "answered")
            assert server.requests_in_progress == 1
            if has_left:
                sock.close()
            await until(lambda: server.requests_in_progress == 0, "left")


async def test_a_connection_that_was_reset_does_not_keep_the_others_from_being_closed():
    """A gateway that stopped ended by OSError when a caller had reset its idle connection."""
    async with running_server() as (_, server):
        address = server._server.sockets[0].getsockname()
        writers = [(await asyncio.open_connection(*address))[1] for _ in range(2)]
        await until(lambda: len(server.connections) == 2, "connected")
        linger = struct.pack("ii", 1, 0)
        for writer in writers:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            sock._sock.close()
        server.close_idle()
        for writer in writers:
            writer.transport.abort()


@pytest.mark.parametrize("is_expired", [True, False])
async def test_a_caller_that_reads_nothing_does_not_keep_its_connection(monkeypatch, is_expired):
    """Four such callers held all connections of a server, as closing waited for them to read."""
    monkeypatch.setattr(connection_module, "LINGER_SECONDS", 0.05)
    limit = "EXPIRED_SECONDS" if is_expired else "MAX_SECONDS"
    monkeypatch.setattr(system_state, limit, 0.3)
    async with running_server() as (answerer, server):
        if is_expired:
            answerer.expires_at = asyncio.get_running_loop().time()
        server.drain()
        async with slow_caller(server):
            await until(lambda: answerer.ended == 1, "answered")
            await until(lambda: not server.connections, "closed")


@pytest.mark.parametrize("is_expired", [True, False])
async def test_a_steady_reader_gets_an_answer_that_takes_long_to_read(monkeypatch, is_expired):
    """A limit on the whole time of closing would cut its answer."""
    monkeypatch.setattr(connection_module, "LINGER_SECONDS", 0.05)
    for limit in ("EXPIRED_SECONDS", "MAX_SECONDS"):
        monkeypatch.setattr(system_state, limit, 0.5)
    loop = asyncio.get_running_loop()
    async with running_server() as (answerer, server):
        if is_expired:
            answerer.expires_at = loop.time()
        server.drain()
        async with slow_caller(server) as sock:
            data, began_at = b"", loop.time()
            while part := await asyncio.wait_for(loop.sock_recv(sock, 20_000), 10):
                data += part
                await asyncio.sleep(1.5 * len(part) / len(BODY))
            assert data.endswith(BODY)
            assert loop.time() - began_at > 1.0
