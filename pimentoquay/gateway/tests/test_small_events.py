"""Event streams of thousands of small events, comments or blank lines in one read."""

import asyncio

import pytest

from pimentoquay.gateway import events
from pimentoquay.gateway.event_reader import EventReader
from pimentoquay.gateway.events import MAX_EVENT_BYTES, EventSplitter
from pimentoquay.http1 import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.http1.tests.scripted import ScriptedServer
from pimentoquay.kernel.errors import ResponseTooLargeError
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue

EVENTS = b"".join(b"id: %d\ndata: piece\n\n" % number for number in range(1, 1001))
SMALL = {"events": EVENTS, "comments": b":\n\n" * 5000, "blank lines": b"\n" * 10_000}
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class CountingExpression:
    """Regular expression that counts the bytes that it may have searched."""

    def __init__(self, expression):
        self._expression = expression
        self.searched = 0

    def search(self, buffer, start):
        found = self._expression.search(buffer, start)
        self.searched += (found.end() if found else len(buffer)) - start
        return found


@pytest.mark.parametrize("data", SMALL.values(), ids=SMALL)
def test_events_that_are_taken_a_few_at_a_time_are_the_same(data):
    few, splitter = [], EventSplitter()
    taken = splitter.feed(data[:-1], 3)
    while taken:
        assert len(taken) <= 3
        few += taken
        taken = splitter.feed(b"", 3)
    few += splitter.feed(data[-1:], 3)
    assert few == EventSplitter().feed(data)
    assert splitter.remainder == b""


@pytest.mark.parametrize("end", [b"\n\n", b"\r\n\r\n", b"\r\r"], ids=["LF", "CRLF", "CR"])
def test_bytes_that_come_one_by_one_are_searched_about_once(end, monkeypatch):
    """An event of 64 KB in chunks of one byte was searched from its start for each of them."""
    expression = CountingExpression(events._END)
    monkeypatch.setattr(events, "_END", expression)
    splitter = EventSplitter()
    data = b"id: 1\ndata: " + b"x" * (MAX_EVENT_BYTES - 20) + end
    found = []
    for byte in data:
        found += splitter.feed(bytes((byte,)))
    assert [(each.id, each.data) for each in found] == [(1, data)]
    assert expression.searched <= 4 * len(data)
    for _ in range(MAX_EVENT_BYTES):
        splitter.feed(b"x")
    with pytest.raises(ResponseTooLargeError):
        splitter.feed(b"x")


@pytest.mark.parametrize("data", SMALL.values(), ids=SMALL)
async def test_events_of_one_read_are_passed_on_in_turns(data):
    """All events of a read were searched and passed on before anything else ran."""
    turns = TurnQueue()
    server = ScriptedServer(CHUNKED + b"%x\r\n%s\r\n0\r\n\r\n" % (len(data), data))
    listening = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    pool = ConnectionPool(address, 5.0, ReusePolicy(), turns=turns)
    async with pool.exchange(b"GET", b"/", ((b"Host", b"a"),)) as exchange:
        reader = EventReader(exchange, None, 20.0, True)
        read = []
        while found := await reader.next_events():
            assert len(found) <= ITEMS_PER_TURN
            read += found
    assert b"".join(each.data for each in read) == data
    assert turns.turns >= len(read) // ITEMS_PER_TURN - 4
    pool.close()
    listening.close()
    await server.close_connections()


class WaitingExchange(Exchange):
    """Exchange with one chunk, which notes how often its reader waits for a turn."""

    def __init__(self, chunk):
        self.headers = ((b"Transfer-Encoding", b"chunked"),)
        self._chunks = [chunk]
        self.waits = 0

    async def read_chunk(self, seconds=None):
        return self._chunks.pop() if self._chunks else None

    async def wait_for_turn(self):
        self.waits += 1


async def test_a_few_events_of_one_read_are_passed_on_without_a_wait():
    few = b"".join(b"id: %d\ndata: a\n\n" % number for number in range(1, ITEMS_PER_TURN))
    exchange = WaitingExchange(few)
    reader = EventReader(exchange, None, 20.0, True)
    assert b"".join(each.data for each in await reader.next_events()) == few
    assert await reader.next_events() == []
    assert exchange.waits == 0
