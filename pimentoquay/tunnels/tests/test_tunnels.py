"""Tunnels between two gateways' sides, to an engine that echoes bytes."""

import asyncio
import contextlib
import socket
import struct
import time
from dataclasses import dataclass, field

import pytest

from pimentoquay.http1 import connect_tcp
from pimentoquay.http1.tests.scripted import until
from pimentoquay.kernel import Identity
from pimentoquay.messages.tunnels import TunnelOutcome
from pimentoquay.transport.handshake import HandshakeError
from pimentoquay.transport.websocket import split_address
from pimentoquay.tunnels import TunnelOpener, TunnelPolicy, TunnelServer, TunnelTarget, server
from pimentoquay.tunnels.client import TunnelRefusedError

KEY = b"key"


def reset(writer):
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def identity(vm):
    return Identity(vm, "gateway", "here", "hall", 1)


class Receiver(asyncio.Protocol):
    """Records what a protocol over a tunnel is told."""

    def __init__(self):
        self._parts = []
        self.size = 0
        self.events = []

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self._parts.append(data)
        self.size += len(data)

    @property
    def data(self):
        return b"".join(self._parts)

    def eof_received(self):
        self.events.append("end")
        return False

    def connection_lost(self, exc):
        self.events.append("lost" if exc is None else "reset")

    def retire(self):
        self.events.append("retired")


@dataclass
class Engine:
    """Echoes bytes, and ends a connection in order when it receives ``end``."""

    connections: list = field(default_factory=list)
    address: str = ""

    async def serve(self):
        self._server = await asyncio.start_server(self._handle, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _handle(self, reader, writer):
        self.connections.append(writer)
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if data == b"end":
                    break
                writer.write(data)
                await writer.drain()
        self.connections.remove(writer)
        writer.close()

    def close(self):
        self._server.close()


@dataclass
class Pair:
    """A server of tunnels, an engine behind it, and an opener."""

    engine: Engine
    server: TunnelServer
    address: str
    target: TunnelTarget

    async def open(self, target=None, key=KEY, is_check=False):
        opener = TunnelOpener(identity("vm-1"), key)
        return await opener.open(Receiver, self.address, target or self.target, is_check)

    async def outcome(self, **options):
        with pytest.raises(TunnelRefusedError) as caught:
            await self.open(**options)
        return caught.value.reply.outcome


@contextlib.asynccontextmanager
async def pair(outcome=TunnelOutcome.OPEN, connect=connect_tcp, address=""):
    engine = Engine()
    await engine.serve()
    target = TunnelTarget("e", 1, address or engine.address)

    def find_outcome(request):
        asked = TunnelTarget(request.engine, request.incarnation, request.address)
        return outcome if asked == target else TunnelOutcome.NOT_LISTED

    async def refusal_outcome(request):
        return TunnelOutcome.REFUSED

    policy = TunnelPolicy(find_outcome, refusal_outcome, lambda request: ("vm-3",), lambda _: None)
    tunnels = TunnelServer(identity("vm-2"), KEY, connect, policy)
    address = await tunnels.listen("127.0.0.1", 0)
    try:
        yield Pair(engine, tunnels, address, target)
    finally:
        await tunnels.close()
        engine.close()
        # A stream that outlives its loop fails when it is collected.
        for writer in engine.connections:
            writer.transport.abort()
        await until(lambda: not engine.connections, "closed")
        await asyncio.sleep(0.01)


async def test_a_peer_replies_that_an_engine_is_silent_whose_host_cannot_be_resolved():
    async with pair(address="127.9..9:80") as env:
        assert await env.outcome() is TunnelOutcome.SILENT


async def test_a_peer_whose_host_cannot_be_resolved_fails_as_a_connection():
    async with pair() as env:
        env.address = "127.9..9:80"
        with pytest.raises(OSError, match=r"127\.9\.\.9"):
            await env.open()


async def test_bytes_go_both_ways_and_an_orderly_end_arrives_as_one():
    async with pair() as env:
        transport, receiver = await env.open()
        assert env.server.active == 1
        transport.write(b"x" * 200_000)
        await until(lambda: receiver.size == 200_000, "echoed")
        transport.write(b"end")
        await until(lambda: receiver.events == ["end", "lost"], "ended")
        await until(lambda: env.server.active == 0, "closed")


async def test_the_reset_of_an_engine_or_the_end_of_the_peer_is_no_orderly_end():
    async with pair() as env:
        first, second = (await env.open())[1], (await env.open())[1]
        await until(lambda: len(env.engine.connections) == 2, "connected")
        reset(env.engine.connections[0])
        await until(lambda: "reset" in first.events + second.events, "reset")
        await env.server.close()
        await until(lambda: first.events == second.events == ["reset"], "both")


async def test_closing_a_tunnel_closes_the_connection_to_the_engine():
    async with pair() as env:
        transport, _ = await env.open()
        await until(lambda: env.engine.connections, "connected")
        transport.abort()
        await until(lambda: not env.engine.connections, "closed at the engine")


@pytest.mark.parametrize("share", [1.05, 1.2])
async def test_a_tunnel_opens_though_its_peer_stood_still_while_it_connected(share):
    """The peer replied that the engine is silent, as in a run beside many other tests."""

    async def connect(factory, host, port):
        asyncio.get_running_loop().call_soon(time.sleep, share * server.CONNECT_SECONDS)
        return await connect_tcp(factory, host, port)

    async with pair(connect=connect) as env:
        transport, _ = await env.open()
        await until(lambda: env.engine.connections, "connected")
        transport.abort()


async def test_a_peer_that_does_not_know_the_key_reaches_no_engine():
    async with pair() as env:
        with pytest.raises(HandshakeError):
            await env.open(key=b"another")
        assert env.server.opened == 0
        assert not env.engine.connections


@pytest.mark.parametrize(
    "change", [{"engine": "other"}, {"incarnation": 2}, {"address": "127.0.0.1:1"}]
)
async def test_only_listed_starts_of_engines_are_connected(change):
    async with pair() as env:
        target = TunnelTarget(**{**vars(env.target), **change})
        assert await env.outcome(target=target) is TunnelOutcome.NOT_LISTED
        assert not env.engine.connections


async def test_a_peer_that_is_cut_off_itself_names_others_and_does_not_forward():
    async with pair(TunnelOutcome.CUT_OFF) as env:
        with pytest.raises(TunnelRefusedError) as caught:
            await env.open()
        assert caught.value.reply.outcome is TunnelOutcome.CUT_OFF
        assert caught.value.reply.peers == ("vm-3",)


@pytest.mark.parametrize(
    ("error", "outcome"),
    [(ConnectionRefusedError, TunnelOutcome.REFUSED), (ConnectionResetError, TunnelOutcome.SILENT)],
)
async def test_a_peer_tells_how_the_engine_answered_it(error, outcome):
    async def connect(factory, host, port):
        raise error("no")

    async with pair(connect=connect) as env:
        assert await env.outcome() is outcome
        assert await env.outcome(is_check=True) is outcome


async def test_a_check_opens_no_tunnel():
    async with pair() as env:
        assert await env.outcome(is_check=True) is TunnelOutcome.OPEN
        assert (env.server.opened, env.server.active) == (0, 0)
        await until(lambda: not env.engine.connections, "closed")


async def test_a_peer_that_stops_opens_no_more_tunnels_and_ends_those_in_use_last():
    async with pair() as env:
        transport, receiver = await env.open()
        env.server.drain()
        assert await env.outcome() is TunnelOutcome.DRAINING
        await until(lambda: receiver.events == ["retired"], "told")
        transport.write(b"still")
        await until(lambda: receiver.data == b"still", "forwarded")


async def test_the_number_of_tunnels_is_bounded(monkeypatch):
    monkeypatch.setattr(server, "MAX_TUNNELS", 2)
    async with pair() as env:
        opened = [await env.open(), await env.open()]
        assert await env.outcome() is TunnelOutcome.BUSY
        opened[0][0].abort()
        await until(lambda: env.server.active == 1, "closed")
        await env.open()


@pytest.mark.parametrize("data", [b"GET / HTTP/1.1\r\n\r\n", b"\0\0\0\5hello", b"\xff" * 100, b""])
async def test_garbled_messages_reach_no_engine_and_end_the_connection(data, monkeypatch):
    monkeypatch.setattr(server, "HANDSHAKE_SECONDS", 0.2)
    async with pair() as env:
        reader, writer = await asyncio.open_connection(*split_address(env.address))
        writer.write(data)
        with contextlib.suppress(ConnectionResetError):
            await asyncio.wait_for(reader.read(), 5.0)
        writer.close()
        assert not env.engine.connections
        assert env.server.active == 0
        await env.open()


async def test_an_engine_is_not_read_faster_than_the_caller_reads():
    async with pair() as env:
        transport, receiver = await env.open()
        transport.pause_reading()
        await until(lambda: env.engine.connections, "connected")
        engine = env.engine.connections[0]
        engine.write(b"z" * 50_000_000)
        await asyncio.sleep(0.3)
        assert engine.transport.get_write_buffer_size() > 20_000_000
        transport.resume_reading()
        await until(lambda: receiver.size == 50_000_000, "read")


async def test_a_tunnel_that_is_being_opened_when_its_peer_begins_to_stop_is_refused():
    """It was opened after all others had been told, kept, and cut off at the end of the stop."""
    is_asked, may_connect = asyncio.Event(), asyncio.Event()

    async def connect(factory, host, port):
        is_asked.set()
        await may_connect.wait()
        return await connect_tcp(factory, host, port)

    async with pair(connect=connect) as env:
        opening = asyncio.create_task(env.outcome())
        await is_asked.wait()
        env.server.drain()
        may_connect.set()
        assert await opening is TunnelOutcome.DRAINING
        assert env.server.active == 0
        await until(lambda: not env.engine.connections, "closed")


@contextlib.asynccontextmanager
async def idle_connections(env, count):
    """Open connections that say nothing."""
    writers = [
        (await asyncio.open_connection(*split_address(env.address)))[1] for _ in range(count)
    ]
    try:
        yield writers
    finally:
        for writer in writers:
            writer.transport.abort()


async def test_connections_that_never_ask_for_a_tunnel_take_none_from_peers(monkeypatch):
    """They counted as tunnels, so peers were told that there are too many."""
    monkeypatch.setattr(server, "MAX_TUNNELS", 2)
    async with pair() as env, idle_connections(env, 5):
        await env.open()
        assert env.server.active == 1


async def test_connections_that_never_ask_for_a_tunnel_are_bounded(monkeypatch):
    monkeypatch.setattr(server, "HANDSHAKE_SECONDS", 60.0)
    monkeypatch.setattr(server, "MAX_UNOPENED", 20)
    async with pair() as env, idle_connections(env, 100):
        await until(lambda: len(env.server._sides) == 20, "closed")
        _, receiver = await env.open()
        assert env.server.active == 1
        assert receiver.events == []


async def test_a_burst_of_peers_closes_none_that_is_about_to_ask(monkeypatch):
    """The oldest connections were closed for the newest ones, though all would have asked."""
    monkeypatch.setattr(server, "MAX_UNOPENED", 5)
    async with pair() as env:
        opened = await asyncio.gather(*(env.open() for _ in range(30)), return_exceptions=True)
        assert [each for each in opened if isinstance(each, BaseException)] == []
        assert env.server.active == 30


async def test_connections_that_never_ask_are_closed_once_they_had_time_to_ask(monkeypatch):
    """So many of them at a time that the newest are refused, until the others are closed."""
    monkeypatch.setattr(server, "HANDSHAKE_SECONDS", 60.0)
    monkeypatch.setattr(server, "ASK_SECONDS", 1.0)
    monkeypatch.setattr(server, "MAX_UNOPENED", 5)
    monkeypatch.setattr(server, "MAX_BURST", 20)
    async with pair() as env, idle_connections(env, 20):
        await until(lambda: len(env.server._sides) == 20, "accepted")
        first = tuple(env.server._sides)
        async with idle_connections(env, 10):
            await asyncio.sleep(0.1)
            assert tuple(env.server._sides) == first
        await until(lambda: tuple(env.server._sides) == first[15:], "closed")
        await asyncio.sleep(server.ASK_SECONDS)
        await env.open()
        assert env.server.active == 1
        assert first[15] not in env.server._sides


async def test_an_engine_that_sends_before_the_tunnel_is_open_is_read_once_until_then(monkeypatch):
    """What it sent was kept, however much it was."""
    may_reply = asyncio.Event()
    size = 0

    async def connect(factory, host, port):
        nonlocal size
        transport, engine = await connect_tcp(factory, host, port)
        await until(lambda: env.engine.connections, "connected")
        env.engine.connections[0].write(b"z" * 5_000_000)
        await asyncio.sleep(0.1)
        size = sum(map(len, engine._before))
        may_reply.set()
        return transport, engine

    monkeypatch.setattr(server, "CONNECT_SECONDS", 5.0)
    monkeypatch.setattr("pimentoquay.tunnels.client.OPEN_SECONDS", 5.0)
    async with pair(connect=connect) as env:
        _, receiver = await env.open()
        assert may_reply.is_set()
        assert 0 < size <= 32 * 1024
        await until(lambda: receiver.size == 5_000_000, "forwarded")
