import asyncio
import contextlib

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.scripted import until

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


class RecordingHandler:
    def __init__(self):
        self.requests = []
        self.cancelled = 0
        self.release = asyncio.Event()

    async def handle(self, request, reply):
        self.requests.append(request)
        if request.target == b"/wait":
            try:
                await self.release.wait()
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        elif request.target == b"/break":
            reply.start(200, ())
            reply.write(b"half")
            reply.abort()
            return
        elif request.target == b"/fail":
            raise ValueError("a fault of the handler")
        reply.send(200, ((b"X-Len", str(len(request.body)).encode()),), request.body)


@contextlib.asynccontextmanager
async def running_server(limits=None):
    limits = limits or ServerLimits(header_bytes=1000, body_bytes=100)
    handler = RecordingHandler()
    server = HttpServer(handler.handle, lambda: limits)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        yield handler, server, reader, writer
    finally:
        writer.close()
        await server.close()


async def read_head(reader):
    async with asyncio.timeout(10):
        return await reader.readuntil(b"\r\n\r\n")


async def read_status(reader):
    return int((await read_head(reader)).split()[1])


async def test_pipelined_requests_are_answered_in_order():
    async with running_server() as (handler, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/1") + GET.replace(b"/a", b"/2"))
        assert await read_status(reader) == 200
        assert await read_status(reader) == 200
        assert [request.target for request in handler.requests] == [b"/1", b"/2"]


async def test_chunked_body_is_read_completely():
    async with running_server() as (handler, _, reader, writer):
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert await read_status(reader) == 200
        assert handler.requests[0].body == b"abcde"


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: 4\r\nContent-Length: 4\r\n",
        b"Content-Length: 4\r\nContent-Length: 5\r\n",
        b"Content-Length: 4, 4\r\n",
        b"Content-Length : 4\r\n",
    ],
)
async def test_ambiguous_body_length_is_rejected_and_closes_the_connection(framing):
    async with running_server() as (handler, _, reader, writer):
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n0\r\n\r\n" + GET)
        assert await read_status(reader) == 400
        assert await reader.read() == b""
        assert handler.requests == []


async def test_oversized_headers_and_bodies_are_rejected():
    async with running_server() as (_, _, reader, writer):
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
        assert await read_status(reader) == 413
    async with running_server() as (_, _, reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 2000)
        assert await read_status(reader) == 431


async def test_incomplete_headers_time_out():
    limits = ServerLimits(header_seconds=0.1)
    async with running_server(limits) as (_, _, reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nHost")
        assert await read_status(reader) == 408


async def test_handler_is_cancelled_when_its_caller_disconnects():
    async with running_server() as (handler, server, _, writer):
        writer.write(GET.replace(b"/a", b"/wait"))
        await until(lambda: handler.requests)
        writer.transport.abort()
        await until(lambda: handler.cancelled and not server.connections)


async def test_aborted_chunked_response_has_no_final_chunk():
    async with running_server() as (_, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/break"))
        rest = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(10):
                rest = await reader.read()
        assert not rest.endswith(b"0\r\n\r\n")


async def test_aborted_response_to_an_http_1_0_client_resets_the_connection():
    async with running_server() as (_, _, reader, writer):
        writer.write(b"GET /break HTTP/1.0\r\nHost: a\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(10):
                await reader.read()


async def test_failing_handler_is_answered_with_status_500():
    async with running_server() as (_, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/fail"))
        assert await read_status(reader) == 500


async def test_draining_server_finishes_requests_and_sends_connection_close():
    async with running_server() as (handler, server, reader, writer):
        writer.write(GET.replace(b"/a", b"/wait"))
        await until(lambda: handler.requests)
        server.drain()
        await server.close()
        handler.release.set()
        assert b"connection: close" in (await read_head(reader)).lower()
        async with asyncio.timeout(10):
            assert await reader.read() == b""


@pytest.mark.parametrize("begins_to_drain", ["before the requests", "during the first"])
async def test_a_draining_server_answers_the_requests_that_were_sent_ahead(begins_to_drain):
    """It closed the connection after the first answer, though it had read the others."""
    async with running_server() as (handler, server, reader, writer):
        if begins_to_drain == "before the requests":
            server.drain()
        writer.write(GET.replace(b"/a", b"/wait") + GET + GET[:10])
        await until(lambda: handler.requests)
        server.drain()
        await server.close()
        handler.release.set()
        assert b"connection: close" not in (await read_head(reader)).lower()
        assert b"connection: close" not in (await read_head(reader)).lower()
        server.close_idle()
        writer.write(GET[10:])
        assert b"connection: close" in (await read_head(reader)).lower()
        async with asyncio.timeout(10):
            assert await reader.read() == b""


async def test_a_body_is_asked_for_once_if_its_caller_waits_to_be_asked():
    async with running_server() as (handler, _, reader, writer):
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
        writer.write(head)
        assert await read_status(reader) == 100
        writer.write(b"ab")
        await asyncio.sleep(0.05)
        writer.write(b"cd")
        assert await read_status(reader) == 200
        assert handler.requests[0].body == b"abcd"


async def test_idle_connection_is_closed_after_its_timeout():
    limits = ServerLimits(idle_seconds=0.2)
    async with running_server(limits) as (_, _, reader, writer):
        writer.write(GET)
        await read_status(reader)
        async with asyncio.timeout(10):
            assert await reader.read() == b""


async def test_idle_connection_is_kept_by_a_limit_that_callers_may_still_know():
    handler = RecordingHandler()
    server = HttpServer(
        handler.handle, lambda: ServerLimits(idle_seconds=0.2), idle_limit=lambda since, now: 60.0
    )
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        writer.write(GET)
        await read_status(reader)
        (connection,) = server.connections
        await asyncio.sleep(0.3)
        connection._check_timeouts()
        writer.write(GET)
        assert await read_status(reader) == 200
    finally:
        writer.close()
        server.abort()


async def test_a_body_that_stalls_is_refused_by_the_limit_in_force():
    server = HttpServer(
        RecordingHandler().handle,
        lambda: ServerLimits(idle_seconds=0.2),
        idle_limit=lambda since, now: 60.0,
    )
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab")
        assert await read_status(reader) == 408
    finally:
        writer.close()
        server.abort()
