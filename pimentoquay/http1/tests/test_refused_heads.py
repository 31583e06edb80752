"""Requests that are refused by their head, before or instead of their body."""

import asyncio
import contextlib

import pytest

from pimentoquay.http1 import HeadRefusal, HttpServer, ServerLimits
from pimentoquay.http1.tests.test_server import GET, RecordingHandler, read_head, read_status

POST = b"POST /refused HTTP/1.1\r\nHost: a\r\n"
REFUSAL = HeadRefusal(401, ((b"X-Why", b"key"),))
LARGE = 200_000


@contextlib.asynccontextmanager
async def refusing_server():
    handler, heads = RecordingHandler(), []

    def refuse(request):
        heads.append(request)
        return REFUSAL if request.target == b"/refused" else None

    server = HttpServer(handler.handle, ServerLimits, refuse_head=refuse)
    await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
    try:
        yield handler, heads, reader, writer
    finally:
        writer.close()
        await server.close()


async def check_refused(reader, closes):
    head = await read_head(reader)
    assert head.startswith(b"HTTP/1.1 401")
    assert b"x-why: key" in head.lower()
    assert (b"connection: close" in head.lower()) is closes


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: 5\r\n\r\n12345",
        b"\r\n",
        b"Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n",
    ],
)
async def test_a_refused_request_whose_body_has_arrived_leaves_the_connection_usable(rest):
    async with refusing_server() as (handler, heads, reader, writer):
        writer.write(POST + rest + GET)
        await check_refused(reader, closes=False)
        assert await read_status(reader) == 200
        assert [request.target for request in handler.requests] == [b"/a"]
        assert heads[0].body == b""


async def test_a_short_body_that_has_not_arrived_is_read_and_discarded():
    async with refusing_server() as (handler, _, reader, writer):
        writer.write(POST + b"Content-Length: 5\r\n\r\n123")
        await asyncio.sleep(0.1)
        writer.write(b"45" + GET)
        await check_refused(reader, closes=False)
        assert await read_status(reader) == 200
        assert len(handler.requests) == 1


@pytest.mark.parametrize(
    "rest",
    [
        b"Content-Length: %d\r\n\r\n" % LARGE,
        b"Content-Length: %d\r\n\r\n12345" % LARGE,
        b"Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
        b"Content-Length: 5\r\nExpect: 100-continue\r\n\r\n",
    ],
)
async def test_a_body_that_is_large_or_awaits_permission_is_refused_at_once(rest):
    """A caller whose key is unknown made the gateway read 4 MiB before it was refused."""
    async with refusing_server() as (handler, _, reader, writer):
        writer.write(POST + rest)
        await check_refused(reader, closes=True)
        assert await reader.read() == b""
        assert handler.requests == []


async def test_a_refused_body_without_end_is_not_read():
    async with refusing_server() as (handler, _, reader, writer):
        writer.write(POST + b"Transfer-Encoding: chunked\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            for _ in range(100):
                writer.write(b"10000\r\n" + b"x" * 65536 + b"\r\n")
                await writer.drain()
        await check_refused(reader, closes=True)
        assert handler.requests == []


async def test_a_request_that_is_not_refused_gets_its_body():
    async with refusing_server() as (handler, _, reader, writer):
        writer.write(POST.replace(b"/refused", b"/b") + b"Content-Length: 5\r\n\r\n12345")
        assert await read_status(reader) == 200
        assert handler.requests[0].body == b"12345"


async def test_the_refusal_of_one_request_does_not_hold_for_the_next():
    """The head of the next request was refused as soon as a part of it had arrived."""
    async with refusing_server() as (handler, _, reader, writer):
        writer.write(POST + b"Content-Length: 5\r\n\r\n12345")
        await check_refused(reader, closes=False)
        writer.write(GET[:10])
        await asyncio.sleep(0.1)
        writer.write(GET[10:])
        assert await read_status(reader) == 200
        assert len(handler.requests) == 1
