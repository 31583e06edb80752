"""Connections of callers that wait for room, end for others, and continue."""

import asyncio
import contextlib
import socket

import pytest

from pimentoquay.http1 import HttpServer, ServerLimits
from pimentoquay.http1.tests.scripted import until
from pimentoquay.http1.tests.test_server import GET, RecordingHandler, read_head, read_status
from pimentoquay.policy.byte_budget import ByteBudget

MB = 1024 * 1024
LIMITS = ServerLimits(idle_seconds=60.0)
BODY = b"x" * (3 * MB)
HEAD = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % len(BODY)


@contextlib.asynccontextmanager
async def limited_server(limit=5 * MB, connections=10, **sizes):
    handler, budget = RecordingHandler(), ByteBudget(limit, connections, **sizes)
    server = HttpServer(handler.handle, lambda: LIMITS, room=budget)
    await server.listen("127.0.0.1", 0)
    async with contextlib.AsyncExitStack() as stack:

        async def connect(data=b""):
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            # Both are kept, as a connection closes once one of them is forgotten.
            stack.callback(lambda *kept: kept[1].transport.abort(), reader, writer)
            writer.write(data)
            return reader, writer

        try:
            yield handler, budget, connect
        finally:
            server.abort()
            await until(lambda: not server.connections, "closed")
            assert (budget.used, budget.connections) == (0, 0)


async def test_a_body_waits_until_another_has_left_its_room():
    async with limited_server() as (handler, budget, connect):
        _, first = await connect()
        reader, second = await connect()
        first.write(HEAD + b"\r\n" + BODY[:-1])
        await until(lambda: budget.used >= len(BODY), "claimed")
        second.write(HEAD + b"\r\n" + BODY)
        await until(lambda: budget.waiting == 1, "waits")
        first.transport.abort()
        assert await read_status(reader) == 200
        assert handler.requests[0].body == BODY


async def test_a_body_that_stalls_ends_for_one_that_waits():
    """A caller that stops short of the end kept its room for its whole idle time."""
    async with limited_server() as (handler, budget, connect):
        first_reader, first = await connect()
        reader, second = await connect()
        first.write(HEAD + b"\r\n" + BODY[:-1])
        await until(lambda: budget.used >= len(BODY), "claimed")
        second.write(HEAD + b"\r\n" + BODY)
        assert await read_status(first_reader) == 408
        assert await read_status(reader) == 200
        assert [request.body for request in handler.requests] == [BODY]


async def test_a_body_that_gets_no_room_is_refused_with_503():
    """A caller whose body was not read must not be told that it did not send it."""
    async with limited_server() as (handler, _, connect):
        first_reader, first = await connect()
        reader, second = await connect()
        first.write(HEAD.replace(b"/a", b"/wait") + b"\r\n" + BODY)
        await until(lambda: handler.requests, "runs")
        second.write(HEAD + b"\r\n" + BODY)
        head = await read_head(reader)
        assert head.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1" in head.lower()
        handler.release.set()
        assert await read_status(first_reader) == 200


async def test_permission_to_send_a_body_is_given_when_it_has_room():
    async with limited_server() as (_, budget, connect):
        _, first = await connect()
        reader, second = await connect()
        first.write(HEAD + b"\r\n" + BODY[:-1])
        await until(lambda: budget.used >= len(BODY), "claimed")
        second.write(HEAD + b"Expect: 100-continue\r\n\r\n")
        await until(lambda: budget.waiting == 1, "waits")
        first.transport.abort()
        assert await read_status(reader) == 100
        second.write(BODY)
        assert await read_status(reader) == 200


async def test_a_kept_connection_goes_on_after_a_large_body():
    async with limited_server() as (handler, _, connect):
        reader, writer = await connect()
        for _ in range(3):
            writer.write(HEAD + b"\r\n" + BODY + GET)
            await reader.readexactly(len(BODY))
        await until(lambda: len(handler.requests) == 6, "served")


async def test_the_most_idle_connection_is_closed_for_a_new_one():
    async with limited_server(connections=2) as (_, _, connect):
        idle_reader, _ = await connect()
        await asyncio.sleep(0.4)
        kept_reader, kept = await connect()
        kept.write(GET)
        assert await read_status(kept_reader) == 200
        reader, writer = await connect()
        writer.write(GET)
        assert await read_status(reader) == 200
        assert await idle_reader.read() == b""
        kept.write(GET)
        assert await read_status(kept_reader) == 200


async def test_a_new_connection_is_refused_if_all_others_have_requests():
    async with limited_server(connections=1) as (handler, _, connect):
        _, busy = await connect()
        busy.write(GET.replace(b"/a", b"/wait"))
        await until(lambda: handler.requests, "runs")
        reader, _ = await connect()
        assert await read_status(reader) == 503
        assert await reader.read() == b""


async def test_an_answer_that_has_been_read_is_not_counted_any_more():
    """What a slow caller had read long ago still took room, and kept its connection from ending."""
    async with limited_server() as (_, budget, connect):
        reader, writer = await connect()
        writer.write(HEAD + b"\r\n" + BODY)
        await until(lambda: budget.used > MB, "answered")
        await reader.readexactly(len(BODY))
        await until(lambda: budget.used == 0, "read")


async def test_the_answer_of_a_closing_connection_is_not_counted_when_it_has_been_read():
    """What its caller had read was counted until the connection was lost."""
    async with limited_server() as (_, budget, connect):
        reader, writer = await connect()
        writer.write(HEAD + b"Connection: close\r\n\r\n" + BODY)
        await until(lambda: budget.used > MB, "answered")
        await read_head(reader)
        await reader.readexactly(len(BODY))
        await until(lambda: budget.used == 0, "read")
        assert budget.connections == 1


def buffer_sizes(sock):
    options = (socket.SO_SNDBUF, socket.SO_RCVBUF)
    return [sock.getsockopt(socket.SOL_SOCKET, option) for option in options]


@pytest.mark.parametrize("system_bytes", [0, 65536])
async def test_the_systems_buffers_are_set_only_if_their_size_is_stated(system_bytes):
    """Without settings, the send buffer shrank from 3.9 MB to 64 KB on loopback."""
    with (
        socket.create_server(("127.0.0.1", 0)) as listening,
        socket.create_connection(listening.getsockname()),
        listening.accept()[0] as plain,
    ):
        default = buffer_sizes(plain)
    async with limited_server(system_bytes=system_bytes) as (_, budget, connect):
        await connect()
        await until(lambda: budget.connections == 1, "accepted")
        (account,) = budget._accounts
        sizes = buffer_sizes(account.user._transport.get_extra_info("socket"))
        assert sizes == ([system_bytes] * 2 if system_bytes else default)


async def test_a_connection_to_a_server_that_has_stopped_ends_no_other():
    async with limited_server(connections=1) as (_, budget, connect):
        reader, writer = await connect()
        writer.write(GET)
        assert await read_status(reader) == 200
        (account,) = budget._accounts
        account.user.server.stop()
        late, _ = await connect()
        assert await late.read() == b""
        assert budget.ended_by_reason == {}
