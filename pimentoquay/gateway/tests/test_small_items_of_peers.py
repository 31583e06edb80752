"""Peers that send thousands of tiny items in one message or read, beside sound requests."""

import asyncio

import pytest

from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.http1.tests.endless_callers import most_in_one_pass
from pimentoquay.kernel import Identity, PimentoquayError
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.fleet import EngineRecord, FleetCopy
from pimentoquay.messages.pools import Bundle, ChannelAlive
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.websocket import WebSocketTransport

KEY = b"key"
ITEMS = 20_000


class LoopbackTransport(WebSocketTransport):
    """Transport that listens on loopback, whatever address it is given."""

    async def listen(self, address, accept):
        await super().listen("127.0.0.1:0", accept)


class LoopbackNetwork(MemoryNetwork):
    """Gives gateways channels over WebSocket instead of those in memory."""

    def transport(self, identity):  # type: ignore[override]
        return LoopbackTransport(identity, KEY)


async def connect(gateway, vm="vm-9"):
    """Return a channel to a gateway, as a peer opens it."""
    transport = WebSocketTransport(Identity(vm, "gateway", "here", "hall", 1), KEY)
    return await transport.connect(f"127.0.0.1:{gateway.node.transport.port}")


def record_messages(monkeypatch, record):
    """Call ``record`` with each message before a gateway applies it."""
    original = Mesh._receive

    def receive(self, envelope):
        record(envelope.message)
        original(self, envelope)

    monkeypatch.setattr(Mesh, "_receive", receive)


LONG = {
    "records of engines that are invalid": FleetCopy(
        -1, b"", tuple(EngineRecord(f"e{n}", 1, b"x") for n in range(ITEMS)), -1, ()
    ),
    "items of a bundle": Bundle((encode(ChannelAlive()),) * ITEMS),
}
MAX_ITEMS_AT_ONCE = 2 * 256


@pytest.mark.parametrize("name", LONG)
async def test_the_items_of_one_message_are_applied_in_turns(name, monkeypatch):
    """One message of a kilobyte, compressed, kept the callers waiting for ten seconds and more."""
    handled = 0

    async with rig(start_gateway=False) as env:
        env.network = LoopbackNetwork()
        gateway = await env.add_gateway()

        def count(message):
            nonlocal handled
            if isinstance(message, FleetCopy):
                handled += len(message.engines)
            elif isinstance(message, Bundle):
                handled += len(message.items)

        record_messages(monkeypatch, count)
        channel = await connect(gateway)
        order = asyncio.create_task(env.send_request("/order/first"))
        channel.send(LONG[name])
        most = await most_in_one_pass(lambda: handled, lambda: handled >= ITEMS)
        assert most <= MAX_ITEMS_AT_ONCE
        assert (await order).status == 200
        assert (await env.send_request("/order/next")).status == 200
        await channel.close()


async def test_what_a_peer_sends_after_a_long_message_is_applied_after_it(monkeypatch):
    received = []
    async with rig(start_gateway=False) as env:
        env.network = LoopbackNetwork()
        gateway = await env.add_gateway()

        def keep(message):
            if isinstance(message, Bundle | ChannelAlive):
                received.append(type(message).__name__)

        record_messages(monkeypatch, keep)
        channel = await connect(gateway)
        channel.send(ChannelAlive())
        channel.send(Bundle((encode(ChannelAlive()),) * 500))
        channel.send(ChannelAlive())
        await until(lambda: received.count("ChannelAlive") == 2, "received")
        await channel.close()
    assert received[0] == received[-1] == "ChannelAlive"
    assert received.count("Bundle") > 10


async def test_heartbeats_of_a_sound_peer_are_handled_beside_long_messages(monkeypatch):
    heard = 0
    async with rig(start_gateway=False) as env:
        env.network = LoopbackNetwork()
        gateway = await env.add_gateway()

        def count(message):
            nonlocal heard
            heard += isinstance(message, ChannelAlive)

        record_messages(monkeypatch, count)
        endless = [await connect(gateway, f"vm-{n}") for n in range(10, 16)]
        sound = await connect(gateway, "vm-9")
        for channel in endless:
            for _ in range(5):
                channel.send(Bundle((encode(ChannelAlive()),) * 3000))
        turns = gateway.peers._turns
        for number in range(1, 11):
            before = turns.turns
            sound.send(ChannelAlive())
            await until(lambda count=number: heard == count, "heard")
            assert turns.turns - before < 200
        for channel in (*endless, sound):
            await channel.close()


def test_a_list_that_is_longer_than_a_sound_message_can_hold_is_refused():
    frame = encode(Bundle((b"",) * 40_000))
    with pytest.raises(CodecError) as caught:
        decode(frame)
    assert isinstance(caught.value, PimentoquayError)
