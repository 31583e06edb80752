import asyncio
import contextlib

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.scripted import until

GET = b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n"


class Served:
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
async def serving(limits=None):
    limits = limits or ServerLimits(header_bytes=1000, body_bytes=100)
    served = Served()
    server = HttpServer(served.handle, lambda: limits)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        yield served, server, reader, writer
    finally:
        writer.close()
        await server.close()


async def read_head(reader):
    async with asyncio.timeout(10):
        return await reader.readuntil(b"\r\n\r\n")


async def status_of(reader):
    return int((await read_head(reader)).split()[1])


async def test_requests_sent_together_are_answered_in_order():
    async with serving() as (served, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/1") + GET.replace(b"/a", b"/2"))
        assert await status_of(reader) == 200
        assert await status_of(reader) == 200
        assert [request.target for request in served.requests] == [b"/1", b"/2"]


async def test_a_body_in_chunks_is_read_whole():
    async with serving() as (served, _, reader, writer):
        head = b"POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert await status_of(reader) == 200
        assert served.requests[0].body == b"abcde"


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
async def test_a_request_whose_end_is_in_doubt_is_refused_with_all_that_follows(framing):
    async with serving() as (served, _, reader, writer):
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\n" + framing + b"\r\n0\r\n\r\n" + GET)
        assert await status_of(reader) == 400
        assert await reader.read() == b""
        assert served.requests == []


async def test_limits_of_headers_and_bodies():
    async with serving() as (_, _, reader, writer):
        writer.write(b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n")
        assert await status_of(reader) == 413
    async with serving() as (_, _, reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 2000)
        assert await status_of(reader) == 431


async def test_headers_that_do_not_end_are_refused_in_time():
    limits = ServerLimits(header_seconds=0.1)
    async with serving(limits) as (_, _, reader, writer):
        writer.write(b"GET /a HTTP/1.1\r\nHost")
        assert await status_of(reader) == 408


async def test_the_handler_ends_when_its_caller_leaves():
    async with serving() as (served, server, _, writer):
        writer.write(GET.replace(b"/a", b"/wait"))
        await until(lambda: served.requests)
        writer.transport.abort()
        await until(lambda: served.cancelled and not server.connections)


async def test_a_broken_answer_does_not_look_complete():
    async with serving() as (_, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/break"))
        rest = b""
        with contextlib.suppress(ConnectionError):
            async with asyncio.timeout(10):
                rest = await reader.read()
        assert not rest.endswith(b"0\r\n\r\n")


async def test_a_broken_answer_to_an_old_client_resets_its_connection():
    async with serving() as (_, _, reader, writer):
        writer.write(b"GET /break HTTP/1.0\r\nHost: a\r\n\r\n")
        with pytest.raises(ConnectionResetError):
            async with asyncio.timeout(10):
                await reader.read()


async def test_a_failing_handler_is_answered_with_an_error():
    async with serving() as (_, _, reader, writer):
        writer.write(GET.replace(b"/a", b"/fail"))
        assert await status_of(reader) == 500


async def test_a_draining_server_finishes_and_says_that_it_closes():
    async with serving() as (served, server, reader, writer):
        writer.write(GET.replace(b"/a", b"/wait"))
        await until(lambda: served.requests)
        server.drain()
        await server.close()
        served.release.set()
        assert b"connection: close" in (await read_head(reader)).lower()
        async with asyncio.timeout(10):
            assert await reader.read() == b""


async def test_an_idle_connection_is_kept_for_its_time_and_then_closed():
    limits = ServerLimits(idle_seconds=0.2)
    async with serving(limits) as (_, _, reader, writer):
        writer.write(GET)
        await status_of(reader)
        async with asyncio.timeout(10):
            assert await reader.read() == b""
