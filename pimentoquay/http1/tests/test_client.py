import asyncio
import os
import socket

import pytest

from pimentoquay.http1 import (
    ConnectionPool,
    ConnectionUse,
    ResponseMark,
    ReusePolicy,
    ServerState,
    connect_tcp,
    find_header,
    response_marks,
)
from pimentoquay.http1.tests.scripted import scripted, until
from pimentoquay.kernel.errors import ConnectError, ConnectFailure, HttpError

OK = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok"
OTHER_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: 9\r\nContent-Length: 6\r\n\r\nothers"
OTHER_OK = OK.replace(b"X-Id: 1", b"X-Id: 2")
UNMARKED = b"HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
REQUEST_HEADERS = ((b"Host", b"a"),)


def id_of(headers):
    value = find_header(headers, b"x-id")
    return value.decode() if value is not None else None


def marked(value, **options):
    return ResponseMark(id_of, value, **options)


async def get(pool, body=b"", **options):
    async with pool.exchange(b"POST", b"/a", REQUEST_HEADERS, body, **options) as exchange:
        return exchange.status, await exchange.read_body(2**20, 5.0)


async def test_connection_is_reused_after_a_complete_response():
    async with scripted(OK, OK) as (server, pool):
        assert await get(pool) == (200, b"ok")
        assert await get(pool) == (200, b"ok")
        assert server.connections == 1


async def test_connection_idle_for_too_long_is_not_reused():
    async with scripted(OK, OK) as (server, pool):
        await get(pool)
        await get(pool, max_idle_seconds=0.0)
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
async def test_incomplete_response_raises_an_error_marked_as_written(answer):
    async with scripted(answer, close=True) as (_, pool):
        with pytest.raises(HttpError) as failure:
            await get(pool)
        assert failure.value.written


async def test_response_without_length_is_complete_only_after_an_orderly_close():
    answer = b"HTTP/1.1 200 OK\r\n\r\nall of it"
    async with scripted(answer, close=True) as (_, pool):
        assert await get(pool) == (200, b"all of it")
    async with scripted(answer, reset=True) as (_, pool):
        with pytest.raises(HttpError):
            await get(pool)


async def test_response_to_another_request_is_discarded():
    async with scripted(OTHER_RESPONSE + OK, OTHER_RESPONSE + OK + OTHER_OK) as (server, pool):
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert await get(pool, mark=marked("2")) == (200, b"ok")
        assert server.connections == 1


async def test_a_connection_carries_each_mark_once():
    async with scripted(OK, OTHER_OK, OK) as (server, pool):
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert await get(pool, mark=marked("2")) == (200, b"ok")
        assert server.connections == 1
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert server.connections == 2


async def test_a_response_without_a_mark_is_only_the_first_of_its_connection():
    async with scripted(UNMARKED, OK, UNMARKED + OTHER_OK) as (server, pool):
        assert await get(pool, mark=marked("1")) == (503, b"no")
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert await get(pool, mark=marked("2")) == (200, b"ok")
        assert server.connections == 2


async def test_a_response_with_a_mark_is_none_to_an_exchange_without():
    async with scripted(OK, OK + UNMARKED) as (server, pool):
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert await get(pool, mark=marked(None)) == (503, b"no")
        assert server.connections == 1


async def test_an_exchange_that_is_alone_uses_a_new_connection_that_is_closed():
    async with scripted(OK, UNMARKED, OTHER_OK, UNMARKED) as (server, pool):
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert await get(pool, mark=marked(None, use=ConnectionUse.ALONE)) == (503, b"no")
        assert server.connections == 2
        assert await get(pool, mark=marked("2")) == (200, b"ok")
        assert await get(pool, mark=marked(None, use=ConnectionUse.ALONE)) == (503, b"no")
        assert server.connections == 3
        await until(lambda: pool.open_connections == 1)


async def test_a_connection_is_closed_after_many_marks(monkeypatch):
    monkeypatch.setattr(response_marks, "MAX_MARKS", 2)
    async with scripted(OK, OTHER_OK, OK) as (server, pool):
        for mark in ("1", "2"):
            assert await get(pool, mark=marked(mark)) == (200, b"ok")
        assert await get(pool, mark=marked("1")) == (200, b"ok")
        assert server.connections == 2


async def test_only_a_response_to_another_request_raises_an_error():
    async with scripted(OTHER_RESPONSE, close=True) as (_, pool):
        with pytest.raises(HttpError):
            await get(pool, mark=marked("1"))


async def test_second_response_closes_the_connection_and_is_discarded():
    async with scripted(OK + OTHER_RESPONSE, OK) as (server, pool):
        assert await get(pool) == (200, b"ok")
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_bytes_on_an_idle_connection_close_it():
    async with scripted(OK, OK) as (server, pool):
        await get(pool)
        (connection,) = pool._idle
        connection.data_received(OTHER_RESPONSE)
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_leaving_an_exchange_early_closes_its_connection():
    half = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"
    async with scripted(half, OK) as (server, pool):
        async with pool.exchange(b"GET", b"/a", REQUEST_HEADERS) as exchange:
            assert await exchange.read_chunk() == b"half"
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2


async def test_connection_close_header_prevents_reuse():
    closing = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
    async with scripted(closing, OK) as (server, pool):
        await get(pool)
        await get(pool)
        assert server.connections == 2


async def test_early_response_is_accepted_and_the_request_body_stays_intact():
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
    async with pool.exchange(b"POST", b"/a", REQUEST_HEADERS, body) as exchange:
        assert await exchange.read_body(2**20, 5.0) == b"ok"
    await until(lambda: received or not pool.open_connections)
    assert all(set(part) <= {ord("b")} for part in received)
    pool.close()
    server.close()


async def test_failed_connect_raises_an_error_not_marked_as_written():
    pool = ConnectionPool("127.0.0.1:1", 1.0, ReusePolicy())
    with pytest.raises(HttpError) as failure:
        await get(pool)
    assert not failure.value.written


async def test_keep_alive_timeout_of_the_server_limits_reuse():
    short_timeout_response = OK.replace(b"X-Id", b"Keep-Alive: timeout=1\r\nX-Id")
    async with scripted(short_timeout_response, OK) as (server, pool):
        await get(pool)
        await get(pool)
        assert server.connections == 2


async def test_an_idle_timeout_out_of_range_counts_as_not_stated():
    """A number of more than 4,300 digits ended the connection before its answer was read."""
    response = OK.replace(b"X-Id", b"Keep-Alive: timeout=1" + b"0" * 5000 + b"\r\nX-Id")
    async with scripted(response, OK) as (server, pool):
        await get(pool)
        await get(pool)
        assert server.connections == 1


async def test_stalled_response_body_raises_an_error_marked_as_written():
    half = b"HTTP/1.1 503 Busy\r\nContent-Length: 100\r\n\r\nhalf"
    async with scripted(half) as (_, pool):
        with pytest.raises(HttpError) as failure:
            async with pool.exchange(b"POST", b"/a", REQUEST_HEADERS) as exchange:
                await exchange.read_body(2**20, 0.05)
        assert failure.value.written


async def test_a_check_tells_a_server_that_runs_from_one_that_has_ended():
    async with scripted(b"") as (server, pool):
        assert await pool.check_server() is ServerState.ACCEPTING
        assert server.requests == []
    assert await pool.check_server() is ServerState.REFUSING


async def test_an_error_tells_whether_the_connection_was_lost():
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    async with (
        scripted(head, close=True) as (_, pool),
        pool.exchange(b"GET", b"/", REQUEST_HEADERS) as lost,
    ):
        with pytest.raises(HttpError) as error:
            await lost.read_chunk()
        assert error.value.connection_lost
    async with scripted(head) as (_, pool), pool.exchange(b"GET", b"/", REQUEST_HEADERS) as silent:
        with pytest.raises(HttpError) as error:
            await silent.read_chunk(0.01)
        assert not error.value.connection_lost


UNUSABLE_ADDRESSES = (
    ("127.9..9", 80),
    ("a" * 300, 80),
    ("\ud83d", 80),
    ("a\x00b", 80),
    ("127.0.0.1", 65536),
    ("127.0.0.1", 10**30),
    ("127.0.0.1", 0),
)


@pytest.mark.parametrize("host, port", UNUSABLE_ADDRESSES)
async def test_an_attempt_to_connect_fails_with_oserror_whatever_the_address(host, port):
    """UnicodeError and OverflowError were taken for faults of the request, or ended a task."""
    with pytest.raises(OSError, match=r"\S"):
        await connect_tcp(asyncio.Protocol, host, port)


async def test_a_host_that_cannot_be_resolved_is_a_failed_connection():
    pool = ConnectionPool("127.9..9:80", 1.0, ReusePolicy())
    with pytest.raises(ConnectError) as caught:
        await get(pool)
    assert not caught.value.written
    assert await pool.check_server() is ServerState.UNREACHABLE


@pytest.mark.parametrize("seconds", [0.0, 0.01])
@pytest.mark.parametrize("how", ["abort", "close"])
async def test_a_connection_lost_before_the_request_is_sent_is_a_failed_one(how, seconds):
    """The request was written nowhere, and its end waited for until the caller's time was over."""

    async def connect_and_lose(factory, host, port):
        transport, connection = await connect_tcp(factory, host, port)
        getattr(transport, how)()
        for _ in range(3):
            await asyncio.sleep(seconds)
        return transport, connection

    async with scripted(OK) as (server, pool):
        losing = ConnectionPool(pool.address, 5.0, ReusePolicy(), connect=connect_and_lose)
        with pytest.raises(ConnectError) as failure:
            await get(losing, head_seconds=0.2)
        assert failure.value.failure is ConnectFailure.BROKEN
        assert not failure.value.written
        assert server.requests == []
        assert losing.open_connections == 0


@pytest.mark.parametrize("what", ["end", "bytes"])
async def test_no_request_is_sent_on_a_connection_that_its_server_has_ended_or_written_to(what):
    """What arrives is read in a later pass of the event loop than the one that sends."""
    async with scripted(OK, OK) as (server, pool):
        assert await get(pool) == (200, b"ok")
        (writer,) = server._writer_by_task.values()
        sock = writer.get_extra_info("socket")
        if what == "end":
            sock.shutdown(socket.SHUT_WR)
        else:
            with socket.socket(fileno=os.dup(sock.fileno())) as copy:
                copy.send(OTHER_RESPONSE)
        assert await get(pool) == (200, b"ok")
        assert server.connections == 2
