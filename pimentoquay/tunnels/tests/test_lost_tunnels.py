"""Responses that were read from a tunnel before its connection was reset."""

import asyncio

import h11
import pytest

from pimentoquay.http1 import ClientConnection, ReusePolicy
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.tunnels.framing import END, FRAMES_PER_TURN, GOING_AWAY, frame
from pimentoquay.tunnels.tests.test_small_frames import opened

WAIT_SECONDS = 2
SIZE = 5000
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % SIZE + b"x" * SIZE
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * SIZE + b"0\r\n\r\n"
)
UNTIL_THE_END = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * SIZE


def requested(turns=None):
    """Return a tunnel, its wire and the connection over it, on which a request was sent."""
    turns = turns or TurnQueue()
    connection = ClientConnection(ReusePolicy(), turns=turns)
    protocol, wire, _ = opened(turns, inner=connection)
    connection.send(b"GET", b"/", ((b"Host", b"a"),), b"", None)
    return protocol, wire, connection


def frames_of(data):
    return b"".join(frame(bytes((each,))) for each in data)


def reset(protocol, wire):
    wire.has_ended = True
    protocol.connection_lost(ConnectionResetError("lost"))


async def body_of(connection):
    """Return the body of the response, once it is whole."""
    data = b""
    async with asyncio.timeout(WAIT_SECONDS):
        while not isinstance(event := await connection.next_event(), h11.EndOfMessage):
            data += bytes(event.data) if isinstance(event, h11.Data) else b""
    return data


@pytest.mark.parametrize(
    "read",
    [frames_of(WHOLE), frames_of(CHUNKED), frames_of(UNTIL_THE_END) + END],
    ids=["length", "chunks", "end"],
)
async def test_a_response_that_was_read_whole_outlasts_the_reset_of_its_tunnel(read):
    """The rest was passed on to a connection that dropped it, as its transport was closing."""
    protocol, wire, connection = requested()
    protocol.data_received(read)
    reset(protocol, wire)
    assert await body_of(connection) == b"x" * SIZE
    assert connection.is_lost and connection.is_closing
    assert not connection.finish()


async def test_a_response_that_a_reset_cut_fails_once_what_was_read_of_it_is_returned():
    protocol, wire, connection = requested()
    protocol.data_received(frames_of(WHOLE[:-1]))
    reset(protocol, wire)
    assert isinstance(await connection.next_event(), h11.Response)
    assert len((await connection.next_event()).data) == SIZE - 1
    with pytest.raises(HttpError) as caught:
        await connection.next_event()
    assert caught.value.connection_lost


async def test_what_follows_a_refused_response_is_dropped_also_at_the_reset_of_its_tunnel():
    """The peer's announcement divides the rest into parts."""
    protocol, wire, connection = requested()
    padding = b"a" * FRAMES_PER_TURN
    refused = b"HTTP/1.1 200 OK\r\nA: " + padding + b"\r\nContent-Length: x\r\n\r\n"
    protocol.data_received(frames_of(refused) + GOING_AWAY + frames_of(WHOLE))
    reset(protocol, wire)
    with pytest.raises(HttpError, match="not an answer"):
        await connection.next_event()
    assert connection.is_closing
