"""Heads of many short headers: what they take is bounded, counted, and parsed in turns."""

import asyncio

import h11
import pytest

from pimentoquay.http1.raw_head import HEADER_BYTES
from pimentoquay.http1.server import MAX_HEADER_LINES
from pimentoquay.http1.tests.endless_callers import counted_per_pass
from pimentoquay.http1.tests.scripted import until
from pimentoquay.http1.tests.test_room import limited_server
from pimentoquay.http1.tests.test_server import GET, read_head, read_status
from pimentoquay.policy.byte_budget import CONNECTION_BYTES

MB = 1024 * 1024


def head_of(lines, target=b"/a", length=3):
    """Return a head with a number of header lines, most without a value, and no body."""
    first = b"POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n" % (target, length)
    return first + b"".join(b"n%d:\r\n" % number for number in range(lines - 2)) + b"\r\n"


def server_of(limit=5 * MB):
    return limited_server(limit, connections=1000)


@pytest.mark.parametrize(
    "data",
    [
        head_of(MAX_HEADER_LINES + 1),
        head_of(3200),
        head_of(MAX_HEADER_LINES + 2)[:-2],
        GET + head_of(MAX_HEADER_LINES + 1),
        GET + head_of(3200),
    ],
    ids=["one too many", "all that fit", "no end", "sent ahead", "all sent ahead"],
)
async def test_a_request_of_too_many_headers_is_answered_431(data):
    async with server_of() as (handler, _, connect):
        reader, _ = await connect(data)
        if data.startswith(GET):
            assert await read_status(reader) == 200
        answer = await read_head(reader)
        assert answer.startswith(b"HTTP/1.1 431")
        assert b"connection: close" in answer.lower()
        assert await reader.read() == b""
        assert all(len(each.headers) < 3 for each in handler.requests)


@pytest.mark.parametrize("lines", [2, 60, MAX_HEADER_LINES])
async def test_a_request_of_as_many_headers_as_allowed_is_served(lines):
    async with server_of() as (handler, _, connect):
        reader, writer = await connect()
        for _ in range(2):
            for piece in (head_of(lines)[:100], head_of(lines)[100:], b"abc"):
                writer.write(piece)
                await asyncio.sleep(0.02)
            answer = await read_head(reader)
            assert answer.startswith(b"HTTP/1.1 200")
            assert await reader.readexactly(3) == b"abc"
        assert [len(each.headers) for each in handler.requests] == [lines, lines]


@pytest.mark.usefixtures("one_turn_a_pass")
async def test_heads_of_many_headers_that_arrive_together_are_parsed_in_turns(monkeypatch):
    """400 heads of 16 KB were parsed in one pass, so the process answered nobody meanwhile."""
    parsed, next_event = [0], h11.Connection.next_event

    def count(connection):
        event = next_event(connection)
        parsed[0] += isinstance(event, h11.Request) and len(event.headers) > 100
        return event

    monkeypatch.setattr(h11.Connection, "next_event", count)
    async with server_of() as (handler, _, connect):
        callers = [await connect() for _ in range(60)]
        with counted_per_pass(lambda: parsed[0]) as per_pass:
            for _, writer in callers:
                writer.write(head_of(250) + b"abc")
            await until(lambda: len(handler.requests) == len(callers), "served")
        assert sum(per_pass) == len(callers)
        assert max(per_pass) == 1


async def test_a_parsed_head_counts_until_its_request_is_done():
    """A head counted as nothing once it was parsed, and takes up to 35 times its length."""
    async with server_of() as (handler, budget, connect):
        reader, writer = await connect(head_of(250, b"/wait"))
        size = 248 * HEADER_BYTES
        await until(lambda: budget.used >= size, "counted while the body is awaited")
        writer.write(b"abc")
        await until(lambda: handler.requests, "runs")
        assert budget.used >= size
        handler.release.set()
        assert await read_status(reader) == 200
        await until(lambda: budget.used < CONNECTION_BYTES, "given back")


async def test_a_head_of_many_headers_waits_for_room_and_few_headers_do_not():
    async with server_of(limit=60_000) as (handler, budget, connect):
        first_reader, first = await connect(head_of(250, b"/held"))
        await until(lambda: budget.used >= 248 * HEADER_BYTES, "held")
        second_reader, _ = await connect(head_of(250, b"/second") + b"abc")
        reader, _ = await connect(head_of(25, b"/few") + b"abc")
        assert await read_status(reader) == 200
        await asyncio.sleep(0.3)
        assert [each.target for each in handler.requests] == [b"/few"]
        first.transport.abort()
        assert await read_status(second_reader) == 200
        assert await first_reader.read() == b""


async def test_a_head_whose_body_does_not_come_ends_for_one_that_waits():
    """Callers that send a head and no body kept its room until their own deadline."""
    async with server_of(limit=60_000) as (_, budget, connect):
        reader, _ = await connect(head_of(250, b"/held"))
        await until(lambda: budget.used >= 248 * HEADER_BYTES, "held")
        second_reader, _ = await connect(head_of(250, b"/second") + b"abc")
        assert await read_status(reader) == 408
        assert await read_status(second_reader) == 200
