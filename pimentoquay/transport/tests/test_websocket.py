import asyncio
import dataclasses
import random

import pytest

from pimentoquay.http1.tests.scripted import until
from pimentoquay.kernel import Identity, Node, PimentoquayError, ResultCode
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.messages import MAX_FRAME_BYTES
from pimentoquay.messages.placement import Grant, LeaseRenewal
from pimentoquay.transport import handshake
from pimentoquay.transport.framing import MAX_PACKET_BYTES
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.websocket import WebSocketTransport, split_address

ENTRY = Identity("vm-1", "entry", "r", "d", 1)
CONTROL = Identity("vm-2", "control", "r", "d", 2)


async def listening(accept, key=b"k"):
    transport = WebSocketTransport(CONTROL, key)
    await transport.listen("127.0.0.1:0", accept)
    return transport, f"127.0.0.1:{transport.port}"


async def echo(channel):
    try:
        while True:
            channel.send(await channel.receive())
    except (ConnectionError, PimentoquayError):
        return


async def test_messages_are_exchanged_and_peers_identified():
    server, address = await listening(echo)
    client = WebSocketTransport(ENTRY, b"k")
    channel = await client.connect(address)
    channel.send(Grant("r", 1, "p", "d"))
    assert await channel.receive() == Grant("r", 1, "p", "d")
    assert channel.peer == CONTROL
    await client.close()
    await server.close()


@pytest.mark.parametrize(
    "address", ["127.9..9:80", "127.0.0.1:65536", "[::1:80", "\ud83d:80", "a\x00b:80", "a:８０", ""]
)
async def test_an_address_that_cannot_be_connected_fails_as_a_connection(address):
    """ValueError ended the task that keeps a channel to a VM."""
    with pytest.raises(ConnectionError):
        await WebSocketTransport(ENTRY, b"k").connect(address)


async def test_wrong_key_is_rejected_with_its_code():
    server, address = await listening(echo)
    with pytest.raises(PimentoquayError) as caught:
        await WebSocketTransport(ENTRY, b"other").connect(address)
    assert caught.value.code is ResultCode.PEER_UNKNOWN
    await server.close()


async def test_a_message_that_is_too_large_is_not_sent_and_its_channel_stays_open():
    server, address = await listening(echo)
    client = WebSocketTransport(ENTRY, b"k")
    channel = await client.connect(address)
    before = refused_messages["sent"]
    channel.send(Grant("r" * (MAX_FRAME_BYTES + 1), 1, "p", "d"))
    assert refused_messages["sent"] == before + 1
    channel.send(LeaseRenewal(1))
    assert await channel.receive() == LeaseRenewal(1)
    await client.close()
    await server.close()


@pytest.mark.parametrize("size", [9, MAX_PACKET_BYTES + 1])
async def test_a_channel_whose_peer_sends_no_message_is_closed_counted_and_opened_again(size):
    node = Node(CONTROL, WebSocketTransport(CONTROL, b"k"))
    peers = PeerSet(node)
    await node.transport.listen("127.0.0.1:0", peers.serve)
    client = WebSocketTransport(ENTRY, b"k")
    before = refused_messages["received"]
    for number in range(1, 3):
        channel = await client.connect(f"127.0.0.1:{node.transport.port}")
        await channel._connection.send(b"\0" * size)
        with pytest.raises(ConnectionError):
            await channel.receive()
        await until(lambda count=before + number: refused_messages["received"] == count, "counted")
    await client.close()
    await node.transport.close()


async def test_malformed_frame_closes_only_its_own_channel():
    server, address = await listening(echo)
    client = WebSocketTransport(ENTRY, b"k")
    broken, healthy = await client.connect(address), await client.connect(address)
    await broken._connection.send(b"\0" * 9)
    with pytest.raises(ConnectionError):
        await broken.receive()
    healthy.send(LeaseRenewal(1))
    assert await healthy.receive() == LeaseRenewal(1)
    await client.close()
    await server.close()


async def test_closing_the_server_ends_a_pending_receive():
    server, address = await listening(echo)
    channel = await WebSocketTransport(ENTRY, b"k").connect(address)
    receiving = asyncio.create_task(channel.receive())
    await server.close()
    with pytest.raises(ConnectionError):
        await receiving


async def test_a_channel_not_closed_by_its_acceptor_leaves_no_task_when_disconnected():
    server, address = await listening(echo)
    client = WebSocketTransport(ENTRY, b"k")
    await (await client.connect(address)).close()
    await server.close()
    await asyncio.sleep(0)
    assert asyncio.all_tasks() == {asyncio.current_task()}


def test_replayed_hello_is_rejected():
    first, second = handshake.make_challenge(), handshake.make_challenge()
    hello = handshake.make_hello(ENTRY, b"k", first)
    assert handshake.check_hello(hello, b"k", first) == ENTRY
    with pytest.raises(handshake.HandshakeError) as caught:
        handshake.check_hello(hello, b"k", second)
    assert caught.value.code is ResultCode.PEER_UNKNOWN


def test_hello_with_a_modified_field_is_rejected():
    challenge = handshake.make_challenge()
    hello = handshake.make_hello(ENTRY, b"k", challenge)
    with pytest.raises(handshake.HandshakeError):
        handshake.check_hello(dataclasses.replace(hello, vm="vm-9"), b"k", challenge)


def test_newer_protocol_version_is_rejected_with_its_code():
    challenge = handshake.make_challenge()
    hello = dataclasses.replace(handshake.make_hello(ENTRY, b"k", challenge), version=99)
    with pytest.raises(handshake.HandshakeError) as caught:
        handshake.check_hello(hello, b"k", challenge)
    assert caught.value.code is ResultCode.VERSION_UNSUPPORTED


@pytest.mark.parametrize("address", ["", "127.0.0.1", "127.0.0.1:x", ":80", "h:99999"])
def test_malformed_addresses_raise_value_error(address):
    with pytest.raises(ValueError, match="expected IP:PORT"):
        split_address(address)


async def test_a_channel_whose_peer_does_not_read_is_closed_at_the_stated_size():
    """On a VM with little memory, a few such peers took more than it has."""

    is_over = asyncio.Event()

    async def read_nothing(channel):
        await is_over.wait()

    server, address = await listening(read_nothing)
    limit = 2_000_000
    client = WebSocketTransport(ENTRY, b"k", max_unsent_bytes=limit)
    channel = await client.connect(address)
    most = 0
    for _ in range(200):
        channel.send(Grant(random.randbytes(100_000).hex(), 1, "p", "d"))
        most = max(most, channel.unsent_bytes)
        await asyncio.sleep(0)
    assert 0 < most <= limit
    with pytest.raises(ConnectionError):
        await channel.receive()
    is_over.set()
    await client.close()
    await server.close()
