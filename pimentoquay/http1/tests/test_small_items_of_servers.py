"""Servers that send many small items in one read, such as chunks of one byte or other answers."""

import asyncio

import pytest

from pimentoquay.http1 import ResponseMark, ReusePolicy, find_header
from pimentoquay.http1.client import Exchange
from pimentoquay.http1.client_connection import (
    MAX_DISCARDED_RESPONSES,
    READ_AHEAD_BYTES,
    ClientConnection,
)
from pimentoquay.http1.tests.scripted import scripted
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
BODY = bytes(range(256)) * 16
CHUNKS = b"".join(b"1\r\n%c\r\n" % byte for byte in BODY)
END = b"0\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
HEADERS = ((b"Host", b"a"),)
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"
OWN = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 2\r\n\r\nok"


def id_of(headers):
    value = find_header(headers, b"x-id")
    return value.decode() if value is not None else None


class ScriptedTransport(asyncio.Transport):
    """Transport whose bytes a test passes to the protocol; it notes whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.is_paused = self.is_aborted = False

    def write(self, data):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.is_aborted

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def abort(self):
        self.is_aborted = True


def connected(turns=None, mark=None):
    """Return a connection that has sent a request."""
    connection = ClientConnection(ReusePolicy(), turns=turns)
    connection.connection_made(ScriptedTransport())
    connection.send(b"GET", b"/", HEADERS, b"", mark)
    return connection


async def read(connection):
    """Return the body of the response; ``HttpError`` if it is not whole."""
    exchange = Exchange(connection)
    await exchange.read_head()
    return await exchange.read_body(2**20, 20.0)


def buffered(connection):
    return connection._buffered_bytes


async def test_chunks_of_one_read_are_handled_in_turns_while_reading_is_paused():
    """One read of 32 KB held 5,000 chunks, and nothing else ran until all were handled."""
    connection = connected()
    connection.data_received(CHUNKED + CHUNKS)
    transport = connection._transport
    most, before = buffered(connection), buffered(connection)
    passes = 0
    while buffered(connection) < len(BODY):
        assert transport.is_paused
        await asyncio.sleep(0)
        most, before = max(most, buffered(connection) - before), buffered(connection)
        passes += 1
    assert most <= ITEMS_PER_TURN and passes >= len(BODY) / ITEMS_PER_TURN - 1
    await asyncio.sleep(0)
    assert not transport.is_paused
    connection.data_received(END)
    assert await read(connection) == BODY


async def test_one_turn_is_run_in_a_pass_however_many_connections_have_work_left():
    turns = TurnQueue()
    connections = [connected(turns) for _ in range(20)]
    for each in connections:
        each.data_received(CHUNKED + CHUNKS)
    for _ in range(10):
        before = sum(map(buffered, connections))
        await asyncio.sleep(0)
        assert sum(map(buffered, connections)) - before <= ITEMS_PER_TURN


@pytest.mark.parametrize("ending", ["end of the stream", "loss", "both"])
@pytest.mark.parametrize("script", [CHUNKED + CHUNKS + END, UNFRAMED + BODY], ids=["chunks", "raw"])
async def test_an_answer_that_arrived_whole_before_the_connection_ended_is_whole(script, ending):
    connection = connected()
    connection.data_received(script)
    if script.startswith(UNFRAMED) or ending != "loss":
        connection.eof_received()
    if ending != "end of the stream":
        connection.connection_lost(None)
    assert await read(connection) == BODY


@pytest.mark.parametrize("ending", ["end of the stream", "loss"])
async def test_an_answer_that_is_cut_fails_once_all_that_came_of_it_is_read(ending):
    connection = connected()
    connection.data_received(CHUNKED + CHUNKS)
    if ending == "loss":
        connection.connection_lost(None)
    else:
        connection.eof_received()
    exchange = Exchange(connection)
    await exchange.read_head()
    parts = []
    with pytest.raises(HttpError) as failure:
        while True:
            parts.append(await exchange.read_chunk(20.0) or b"")
    assert b"".join(parts) == BODY
    assert failure.value.connection_lost


async def test_bytes_that_come_before_the_turn_of_earlier_ones_stay_in_order():
    connection = connected()
    whole = CHUNKED + CHUNKS + END
    for start in range(0, len(whole), 1000):
        connection.data_received(whole[start : start + 1000])
    assert await read(connection) == BODY


async def test_no_turn_is_left_of_a_connection_that_was_closed():
    turns = TurnQueue()
    connection = connected(turns)
    connection.data_received(CHUNKED + CHUNKS)
    connection.abort()
    for _ in range(5):
        await asyncio.sleep(0)
    assert turns.turns == 0


async def test_chunks_that_nobody_has_read_yet_are_joined():
    """Each chunk cost its reader a wait and its caller a chunk of its own."""
    async with (
        scripted(CHUNKED + CHUNKS + END) as (_, pool),
        pool.exchange(b"GET", b"/", HEADERS) as exchange,
    ):
        parts = []
        while (part := await exchange.read_chunk(20.0)) is not None:
            parts.append(part)
        assert b"".join(parts) == BODY
        assert len(parts) <= len(BODY) / ITEMS_PER_TURN + 2


async def test_unread_data_is_joined_up_to_the_read_ahead():
    connection = connected()
    length = READ_AHEAD_BYTES // 2 + 1
    chunk = b"%x\r\n" % length + b"x" * length + b"\r\n"
    connection.data_received(CHUNKED + chunk)
    connection.data_received(chunk)
    connection.data_received(END)
    assert connection._transport.is_paused
    exchange = Exchange(connection)
    await exchange.read_head()
    assert await exchange.read_chunk() == await exchange.read_chunk() == b"x" * length
    assert await exchange.read_chunk() is None


@pytest.mark.parametrize(
    ("others", "is_found"), [(MAX_DISCARDED_RESPONSES, True), (MAX_DISCARDED_RESPONSES + 1, False)]
)
async def test_the_number_of_discarded_responses_is_bounded(others, is_found):
    """Only the bytes of their bodies were, so empty ones were discarded without end."""
    connection = connected(mark=ResponseMark(id_of, "own"))
    connection.data_received(OTHER * others + OWN)
    if is_found:
        assert await read(connection) == b"ok"
    else:
        with pytest.raises(HttpError):
            await read(connection)
        assert connection._transport.is_aborted


async def test_the_headers_of_discarded_responses_count_as_their_bytes():
    connection = connected(mark=ResponseMark(id_of, "own"))
    large = OTHER.replace(b"X-Id", b"X-Long: " + b"x" * 30_000 + b"\r\nX-Id")
    for _ in range(3):
        connection.data_received(large)
        await asyncio.sleep(0)
    # A tunnel may pass on the rest of a read.
    connection.data_received(OWN)
    with pytest.raises(HttpError):
        await read(connection)


async def test_few_discarded_responses_are_parsed_at_once():
    """A new parser is made for each of them, which takes as long as several chunks."""
    connection = connected(mark=ResponseMark(id_of, "own"))
    connection.data_received(OTHER * MAX_DISCARDED_RESPONSES)
    assert connection._discarded_responses <= ITEMS_PER_TURN / 8


async def test_an_endless_connection_does_not_count_as_silent_while_its_bytes_wait():
    times = iter(range(1000))
    connection = ClientConnection(ReusePolicy(), now=lambda: float(next(times)))
    connection.connection_made(ScriptedTransport())
    connection.send(b"GET", b"/", HEADERS, b"", None)
    connection.data_received(CHUNKED + CHUNKS)
    received_at = connection.heard_at
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert connection.heard_at > received_at
