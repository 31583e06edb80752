import asyncio

import pytest

from pimentoquay.http1 import ConnectionPool, ReusePolicy, find_header
from pimentoquay.http1.tests.scripted import scripted, until
from pimentoquay.kernel.errors import HttpError

OK = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
OTHERS = b"HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 6\r\n\r\nothers"
HEADERS = ((b"Host", b"a"),)


def is_mine(headers):
    return find_header(headers, b"x-id") == b"1"


async def get(pool, body=b"", **options):
    async with pool.exchange(b"POST", b"/a", HEADERS, body, **options) as exchange:
        return exchange.status, await exchange.read_body(5.0)


async def test_a_connection_is_kept_after_a_whole_answer():
    async with scripted(OK, OK) as (server, pool):
        assert await get(pool) == (200, b"ok")
        assert await get(pool) == (200, b"ok")
        assert server.connections == 1


async def test_a_connection_that_was_idle_too_long_is_not_used_again():
    async with scripted(OK, OK) as (server, pool):
        await get(pool)
        await get(pool, longest_idle=0.0)
        assert server.connections == 2


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"garbage that is no answer\r\n\r\n",
        b"HTTP/1.1 200",
        b"",
    ],
)
async def test_an_answer_that_is_not_whole_is_an_error_after_the_write(answer):
    async with scripted(answer, close=True) as (_, pool):
        with pytest.raises(HttpError) as failure:
            await get(pool)
        assert failure.value.written


async def test_an_answer_without_a_length_is_whole_at_a_clean_end_only():
    answer = b"HTTP/1.1 200 OK\r\n\r\nall of it"
    async with scripted(answer, close=True) as (_, pool):
        assert await get(pool) == (200, b"all of it")
    async with scripted(answer, reset=True) as (_, pool):
        with pytest.raises(HttpError):
            await get(pool)


async def test_an_answer_to_another_request_is_dropped_and_the_own_one_awaited():
    async with scripted(OTHERS + OK, OK) as (server, pool):
        assert await get(pool, belongs=is_mine) == (200, b"ok")
        assert await get(pool, belongs=is_mine) == (200, b"ok")
        assert server.connections == 1


async def test_an_answer_to_another_request_alone_is_no_answer():
    async with scripted(OTHERS, close=True) as (_, pool):
        with pytest.raises(HttpError):
            await get(pool, belongs=is_mine)


async def test_a_second_answer_ends_its_connection_and_reaches_nobody():
    async with scripted(OK + OTHERS, OK) as (server, pool):
        assert await get(pool) == (200, b"ok")
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_bytes_on_an_idle_connection_end_it():
    async with scripted(OK, OK) as (server, pool):
        await get(pool)
        (connection,) = pool._idle
        connection.data_received(OTHERS)
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_leaving_an_exchange_early_closes_its_connection():
    half = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"
    async with scripted(half, OK) as (server, pool):
        async with pool.exchange(b"GET", b"/a", HEADERS) as exchange:
            assert await exchange.read_chunk() == b"half"
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_connection_close_is_heeded():
    closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
    async with scripted(closing, OK) as (server, pool):
        await get(pool)
        await get(pool)
        assert server.connections == 2


async def test_an_early_answer_is_taken_and_the_rest_of_the_body_is_that_body():
    received = []

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(OK)
        received.append(await reader.readexactly(4_000_000))
        received.append(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    pool = ConnectionPool(f"127.0.0.1:{server.sockets[0].getsockname()[1]}", 5.0, ReusePolicy())
    body = b"b" * 4_000_000
    async with pool.exchange(b"POST", b"/a", HEADERS, body) as exchange:
        assert await exchange.read_body(5.0) == b"ok"
    await until(lambda: received or not pool.open_connections)
    assert all(set(part) <= {ord("b")} for part in received)
    pool.close()
    server.close()


async def test_no_connection_means_that_nothing_was_written():
    pool = ConnectionPool("127.0.0.1:1", 1.0, ReusePolicy())
    with pytest.raises(HttpError) as failure:
        await get(pool)
    assert not failure.value.written


async def test_a_stated_idle_time_bounds_reuse():
    brief = OK.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id")
    async with scripted(brief, OK) as (server, pool):
        await get(pool)
        await get(pool)
        assert server.connections == 2


async def test_a_body_that_stops_coming_is_a_lost_answer():
    half = b"HTTP/1.1 503 Busy\r\nContent-Length: 100\r\n\r\nhalf"
    async with scripted(half) as (_, pool):
        with pytest.raises(HttpError) as failure:
            async with pool.exchange(b"POST", b"/a", HEADERS) as exchange:
                await exchange.read_body(0.05)
        assert failure.value.written
