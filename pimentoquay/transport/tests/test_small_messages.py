"""Connections to the port for peers that send thousands of tiny frames in each read."""

import asyncio
import contextlib

import pytest
from websockets.asyncio.client import connect
from websockets.frames import Frame, Opcode
from websockets.protocol import Protocol

from pimentoquay.http1.tests.scripted import until
from pimentoquay.kernel import Identity
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue
from pimentoquay.messages import MAX_FRAME_BYTES
from pimentoquay.messages.placement import Grant, LeaseRenewal
from pimentoquay.policy.turn_order import LeastServedFirst
from pimentoquay.transport import bounded_connection
from pimentoquay.transport.bounded_connection import MAX_UNREAD_PONGS_BYTES
from pimentoquay.transport.framing import pack
from pimentoquay.transport.websocket import WebSocketTransport

ENTRY = Identity("vm-1", "entry", "r", "d", 1)
CONTROL = Identity("vm-2", "control", "r", "d", 2)


def frames(kind, count):
    """Return the bytes of tiny frames of a kind as a client sends them."""
    opcode, data, is_final = {
        "ping": (Opcode.PING, b"", True),
        "empty message": (Opcode.BINARY, b"", True),
        "message": (Opcode.BINARY, pack(LeaseRenewal(1), None), True),
        "text": (Opcode.TEXT, b"", True),
        "fragment": (Opcode.CONT, b"", False),
    }[kind]
    frame = Frame(opcode, data, is_final).serialize(mask=True)
    first = Frame(Opcode.BINARY, b"", False).serialize(mask=True) if kind == "fragment" else b""
    return first + frame * count


@pytest.fixture
def handled(monkeypatch):
    """Count the frames that the accepting sides have handled."""
    counts = [0]
    original = Protocol.recv_frame

    def count(self, frame):
        counts[0] += self.side.name == "SERVER"
        return original(self, frame)

    monkeypatch.setattr(Protocol, "recv_frame", count)
    return counts


async def most_in_one_pass(counts, seconds):
    """Return the largest number of frames that are handled in one pass of the event loop."""
    most = 0
    end = asyncio.get_running_loop().time() + seconds
    while asyncio.get_running_loop().time() < end:
        before = counts[0]
        await asyncio.sleep(0)
        most = max(most, counts[0] - before)
    return most


@contextlib.asynccontextmanager
async def server(accept):
    loop = asyncio.get_running_loop()
    transport = WebSocketTransport(CONTROL, b"k", TurnQueue(LeastServedFirst(loop.time)))
    await transport.listen("127.0.0.1:0", accept)
    try:
        yield f"127.0.0.1:{transport.port}"
    finally:
        await transport.close()


async def consume(channel):
    """Receive messages until the channel is closed."""
    with contextlib.suppress(Exception):
        while True:
            await channel.receive()


@contextlib.asynccontextmanager
async def clients(address, count, is_authenticated=True):
    """Yield the raw transports of connections."""
    transport = WebSocketTransport(ENTRY, b"k")
    if is_authenticated:
        opened = [(await transport.connect(address))._connection for _ in range(count)]
    else:
        opened = [await connect(f"ws://{address}/", ping_interval=None) for _ in range(count)]
    try:
        yield [each.transport for each in opened]
    finally:
        for each in opened:
            each.transport.abort()
            await each.wait_closed()


@pytest.mark.parametrize("is_authenticated", [True, False])
@pytest.mark.parametrize("kind", ["ping", "empty message", "message", "text", "fragment"])
async def test_tiny_frames_of_one_read_are_handled_in_turns(kind, is_authenticated, handled):
    """One read of pings kept everything else waiting for a second and more."""
    async with server(consume) as address, clients(address, 8, is_authenticated) as transports:
        for each in transports:
            each.write(frames(kind, 20_000))
        most = await most_in_one_pass(handled, 0.3)
        assert handled[0] > 8
        # Each connection may handle one turn's frames when it reads, and one of them has a turn.
        assert most <= 9 * ITEMS_PER_TURN


async def test_messages_of_one_read_are_received_in_their_order_and_none_is_lost():
    received = []

    async def accept(channel):
        with contextlib.suppress(ConnectionError):
            while True:
                received.append((await channel.receive()).sequence)

    async with server(accept) as address:
        client = WebSocketTransport(ENTRY, b"k")
        channel = await client.connect(address)
        for number in range(5000):
            channel.send(LeaseRenewal(number))
        await client.close()
        await until(lambda: len(received) == 5000, "received")
    assert received == list(range(5000))


async def test_a_large_message_among_tiny_ones_arrives_whole():
    received = []

    async def accept(channel):
        with contextlib.suppress(ConnectionError):
            while True:
                received.append(await channel.receive())

    large = Grant("r" * (MAX_FRAME_BYTES - 1000), 1, "p", "d")
    async with server(accept) as address:
        client = WebSocketTransport(ENTRY, b"k")
        channel = await client.connect(address)
        for message in (*[LeaseRenewal(1)] * 200, large, *[LeaseRenewal(2)] * 200):
            channel.send(message)
        await until(lambda: len(received) == 401, "received")
        await client.close()
    assert received[200] == large


async def test_a_sound_channel_does_not_wait_for_those_that_send_without_end(handled):
    async def echo(channel):
        with contextlib.suppress(Exception):
            while True:
                message = await channel.receive()
                if message.sequence > 1:
                    channel.send(message)

    async with server(echo) as address, clients(address, 20) as transports:
        client = WebSocketTransport(ENTRY, b"k")
        channel = await client.connect(address)
        block = frames("message", 2000)
        for _ in range(10):
            for each in transports:
                if each.get_write_buffer_size() < len(block):
                    each.write(block)
            before = handled[0]
            channel.send(LeaseRenewal(2))
            assert (await channel.receive()).sequence == 2
            # It is read at once; the others each handle what one read allows at most once.
            assert handled[0] - before < 20 * 3 * ITEMS_PER_TURN
        await client.close()


@pytest.mark.parametrize("is_authenticated", [True, False])
async def test_a_peer_that_does_not_read_the_responses_to_its_pings_is_closed(
    is_authenticated, monkeypatch
):
    """They were collected without a bound."""
    most = 0
    original = bounded_connection.BoundedServerConnection.data_received

    def record(self, data):
        nonlocal most
        original(self, data)
        most = max(most, self.transport.get_write_buffer_size())

    monkeypatch.setattr(bounded_connection.BoundedServerConnection, "data_received", record)
    ping = Frame(Opcode.PING, b"x" * 125).serialize(mask=True)
    async with server(consume) as address, clients(address, 1, is_authenticated) as (client,):
        client.pause_reading()

        def write():
            if client.get_write_buffer_size() < 1_000_000:
                client.write(ping * 1000)
            return client.is_closing()

        await until(write, "closed")
    assert 0 < most < 2 * MAX_UNREAD_PONGS_BYTES
