"""A peer that sends thousands of tiny frames in each read, through a tunnel."""

import asyncio

import pytest

from pimentoquay.http1.tests.scripted import until
from pimentoquay.kernel import Identity
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.tunnels import TunnelOutcome, TunnelReply, TunnelRequest
from pimentoquay.transport import handshake
from pimentoquay.tunnels.client import _TunnelProtocol
from pimentoquay.tunnels.framing import END, FRAMES_PER_TURN, GOING_AWAY, frame

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")

KEY = b"key"
HERE = Identity("vm-1", "gateway", "here", "hall", 1)
READ_BYTES = 32 * 1024
"""Size of the largest read."""


class Wire(asyncio.Transport):
    """Transport to a peer; what is read from the peer is passed on while reading is not paused."""

    def __init__(self):
        super().__init__()
        self.protocol = None
        self.written = b""
        self.is_reading = True
        self.has_ended = False

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def pause_reading(self):
        self.is_reading = False

    def resume_reading(self):
        self.is_reading = True

    def is_closing(self):
        return self.has_ended

    def abort(self):
        if not self.has_ended:
            self.has_ended = True
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort


class Inner(asyncio.Protocol):
    """Records what a protocol over a tunnel is told."""

    def __init__(self):
        self.parts = []
        self.events = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.parts.append(data)

    @property
    def data(self):
        return b"".join(self.parts)

    def eof_received(self):
        self.events.append(("end", len(self.data)))
        return False

    def connection_lost(self, exc):
        self.events.append(("lost" if exc is None else "reset", len(self.data)))

    def retire(self):
        self.events.append(("retired", len(self.data)))


def challenged(turns=None):
    """Return a tunnel whose peer has sent its challenge, its wire and the peer's next message."""
    request = TunnelRequest("e", 1, "127.0.0.1:1", False)
    protocol = _TunnelProtocol(HERE, KEY, request, turns or TurnQueue())
    wire = Wire()
    wire.protocol = protocol
    protocol.connection_made(wire)
    challenge = handshake.make_challenge()
    protocol.data_received(frame(encode(challenge)))
    length = int.from_bytes(wire.written[:4], "big")
    hello = decode(wire.written[4 : 4 + length])
    return protocol, wire, frame(encode(handshake.make_welcome(HERE, KEY, challenge, hello)))


def opened(turns=None, first=b"", inner=None):
    """Return a tunnel that is open, its wire and the protocol that uses it."""
    protocol, wire, welcome = challenged(turns)
    protocol.data_received(welcome + frame(encode(TunnelReply(TunnelOutcome.OPEN, ()))) + first)
    inner = inner or Inner()
    protocol.begin(inner)
    return protocol, wire, inner


async def passes_until(check):
    """Return the number of passes of the event loop until a check holds."""
    for count in range(10_000):
        if check():
            return count
        await asyncio.sleep(0)
    raise AssertionError("never")


FRAMES = READ_BYTES // len(frame(b"x"))


async def test_frames_of_one_byte_in_one_read_are_joined_and_passed_on_in_turns():
    protocol, wire, inner = opened()
    protocol.data_received(frame(b"x") * FRAMES)
    assert len(inner.parts) == 1
    assert len(inner.data) == FRAMES_PER_TURN
    assert not wire.is_reading
    passes = await passes_until(lambda: wire.is_reading)
    assert inner.data == b"x" * FRAMES
    assert len(inner.parts) == -(-FRAMES // FRAMES_PER_TURN)
    assert passes >= len(inner.parts) - 1


async def test_one_tunnel_goes_on_in_each_pass_however_many_have_work():
    turns = TurnQueue()
    tunnels = [opened(turns) for _ in range(300)]
    for protocol, _, _ in tunnels:
        protocol.data_received(frame(b"x") * FRAMES)
    assert all(len(inner.data) == FRAMES_PER_TURN for _, _, inner in tunnels)
    for passed in range(1, 50):
        await asyncio.sleep(0)
        handled = sum(len(inner.data) for _, _, inner in tunnels)
        assert handled <= (len(tunnels) + passed) * FRAMES_PER_TURN
    await passes_until(lambda: all(wire.is_reading for _, wire, _ in tunnels))
    assert all(inner.data == b"x" * FRAMES for _, _, inner in tunnels)


async def test_announcements_without_end_are_told_once():
    protocol, wire, inner = opened()
    for _ in range(3):
        protocol.data_received(GOING_AWAY * (READ_BYTES // len(GOING_AWAY)))
        await passes_until(lambda: wire.is_reading)
    protocol.data_received(frame(b"y"))
    assert inner.events == [("retired", 0)]
    assert inner.data == b"y"


async def test_the_end_comes_after_all_bytes_before_it_and_nothing_after_it():
    protocol, _, inner = opened()
    protocol.data_received(frame(b"x") * 5000 + GOING_AWAY + frame(b"y") + END + frame(b"z") + END)
    await passes_until(lambda: len(inner.events) == 3)
    assert inner.events == [("retired", 5000), ("end", 5001), ("lost", 5001)]
    assert inner.data == b"x" * 5000 + b"y"


async def test_bytes_before_the_loss_of_the_connection_are_not_lost_with_it():
    protocol, _, inner = opened()
    protocol.data_received(frame(b"x") * 5000)
    protocol.connection_lost(ConnectionResetError("lost"))
    assert inner.events == [("reset", 5000)]
    for _ in range(20):
        await asyncio.sleep(0)
    assert len(inner.data) == 5000


async def test_nothing_is_passed_on_while_the_reader_has_paused():
    protocol, wire, inner = opened()
    protocol.data_received(frame(b"x") * FRAMES)
    inner.transport.pause_reading()
    for _ in range(20):
        await asyncio.sleep(0)
    assert len(inner.parts) == 1
    inner.transport.resume_reading()
    assert not wire.is_reading
    await passes_until(lambda: wire.is_reading)
    assert inner.data == b"x" * FRAMES


async def test_a_tunnel_that_its_reader_has_closed_gets_no_further_turn():
    turns = TurnQueue()
    protocol, _, inner = opened(turns)
    protocol.data_received(frame(b"x") * FRAMES)
    inner.transport.abort()
    await until(lambda: inner.events, "lost")
    handled = len(inner.parts)
    count = turns.turns
    for _ in range(20):
        await asyncio.sleep(0)
    assert (len(inner.parts), turns.turns) == (handled, count)


async def test_frames_that_came_with_the_reply_are_handled_in_turns_too():
    _, wire, inner = opened(first=frame(b"x") * 5000)
    assert len(inner.parts) == 1
    await passes_until(lambda: len(inner.data) == 5000)
    assert wire.is_reading


@pytest.mark.parametrize("size", [32 * 1024, 1000])
async def test_sound_frames_are_passed_on_at_once(size):
    protocol, wire, inner = opened()
    data = b"".join(frame(b"a" * size) for _ in range(20))
    for start in range(0, len(data), READ_BYTES):
        protocol.data_received(data[start : start + READ_BYTES])
        assert wire.is_reading
    assert inner.data == b"a" * size * 20


async def test_the_messages_that_open_a_tunnel_come_once_each():
    protocol, _, welcome = challenged()
    protocol.data_received(welcome * 2)
    with pytest.raises(CodecError):
        await protocol.reply
