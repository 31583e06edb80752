"""Requests that were read, or have arrived, and are dropped with their connection."""

import asyncio
import os
import socket

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.scripted import small_buffers, until
from pimentoquay.http1.tests.test_requests_beside_a_close import ANSWER, GET, connected


async def read_to_end(sock, pause=0.0, size=65536):
    data, loop = b"", asyncio.get_running_loop()
    while True:
        await asyncio.sleep(pause)
        try:
            async with asyncio.timeout(20):
                part = await loop.sock_recv(sock, size)
        except ConnectionError as error:
            return data, repr(error)
        if not part:
            return data, "end"
        data += part


async def test_a_request_sent_ahead_is_answered_though_its_caller_reads_slowly():
    """It was read, and waits until little of the answer before it is unsent."""
    seen = []

    async def handle(request, reply):
        seen.append(request.target)
        reply.send(200, (), b"x" * 1_000_000 if request.target == b"/a" else b"second")

    server = HttpServer(handle, lambda: ServerLimits(idle_seconds=0.5))
    await server.listen("127.0.0.1", 0)
    try:
        async with small_buffers(server) as sock:
            sock.send(GET + GET.replace(b"/a", b"/b"))
            await until(lambda: seen)
            # The caller reads steadily, and takes longer than the idle time.
            data, how = await read_to_end(sock, pause=0.005, size=2048)
            assert data.count(ANSWER) == 2, how
    finally:
        server.abort()


async def test_a_request_that_has_arrived_is_no_follower_of_a_last_answer():
    """It arrives in the pass of the event loop in which a stopping server sends its answer."""
    go = asyncio.Event()
    seen = []

    async def handle(request, reply):
        seen.append(request.target)
        if len(seen) == 1:
            await go.wait()
            copy.send(GET.replace(b"/a", b"/b"))
        reply.send(200, (), b"")

    async with connected(has_answer=False, handler=handle) as (server, sock):
        copy = socket.socket(fileno=os.dup(sock.fileno()))
        with copy:
            sock.send(GET)
            await until(lambda: seen)
            server.drain()
            go.set()
            data, how = await read_to_end(sock)
            await asyncio.sleep(0.1)
            assert data.count(ANSWER) == 2 or not server.unanswered.count_by_reason, (
                how,
                server.unanswered.count_by_reason,
            )


async def test_a_head_that_arrives_in_two_parts_is_in_progress_at_the_end_of_a_drain():
    seen = []

    async def handle(request, reply):
        seen.append(request.target)
        await asyncio.sleep(10)

    async with connected(has_answer=False, handler=handle) as (server, sock):
        (connection,) = server.connections
        sock.send(GET[:10])
        await until(lambda: connection._first_byte_at is not None)
        server.drain()
        await server.close()
        # As ``Gateway._drain`` ends: nothing is in progress, and the idle ones are closed.
        assert server.requests_in_progress, "the gateway ends, though a request is being read"
        sock.send(GET[10:])
        await until(lambda: seen)


async def test_a_request_read_ahead_of_one_whose_answer_breaks_off_is_counted():
    async def handle(request, reply):
        await asyncio.sleep(0.1)
        raise asyncio.CancelledError

    async with connected(has_answer=False, handler=handle) as (server, sock):
        sock.send(GET + GET.replace(b"/a", b"/b"))
        data, how = await read_to_end(sock)
        assert server.unanswered.count_by_reason, (data, how)


async def test_a_recently_answered_connection_ends_with_its_caller():
    """The end of a caller is seen although the connection is not read any more."""

    async def handle(request, reply):
        reply.send(200, (), b"")

    async with connected(has_answer=False, handler=handle) as (server, sock):
        sock.send(GET)
        await asyncio.sleep(0.1)
        server.close_idle()
        await read_to_end(sock)
        sock.close()
        await asyncio.sleep(0.5)
        assert not server.connections


async def test_odd_heads_get_an_answer():
    async def handle(request, reply):
        reply.send(200, (), b"")

    for extra in (
        b"Content-Length: " + b"9" * 5000,
        b"Content-Length: " + b"0" * 5000,
        b"Content-Length: 1, 1",
        b"Transfer-Encoding: gzip",
        b"Expect: 100-continue",
        b"Connection: upgrade\r\nUpgrade: h2c",
    ):
        async with connected(has_answer=False, handler=handle) as (_, sock):
            sock.send(b"GET /a HTTP/1.1\r\nHost: a\r\n" + extra + b"\r\n\r\n")
            async with asyncio.timeout(3):
                part = await asyncio.get_running_loop().sock_recv(sock, 4096)
            assert part.startswith(b"HTTP/1.1 "), (extra[:40], part)


async def test_a_caller_that_still_reads_its_answer_is_not_idle():
    """Its idle time begins when it has the answer, not when that was written."""

    async def handle(request, reply):
        reply.send(200, (), b"x" * 100_000)

    server = HttpServer(handle, lambda: ServerLimits(idle_seconds=1.0))
    await server.listen("127.0.0.1", 0)
    loop = asyncio.get_running_loop()
    try:
        async with small_buffers(server) as sock:
            sock.send(GET)
            data = b""
            began = loop.time()
            async with asyncio.timeout(20):
                while not data.endswith(b"x" * 100) or data.count(b"x") < 100_000:
                    await asyncio.sleep(0.06)
                    part = await loop.sock_recv(sock, 4096)
                    assert part, f"ended after {len(data)} bytes"
                    data += part
                took = loop.time() - began
                sock.send(GET)
                part = await loop.sock_recv(sock, 4096)
            assert part.startswith(ANSWER), (took, part)
    finally:
        server.abort()
