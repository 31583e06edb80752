"""Engines that send bytes without end, in a head or in a body, until their caller closes."""

import asyncio
import contextlib
import tracemalloc

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.http1.tests.scripted import ScriptedServer
from pimentoquay.kernel.errors import HttpError, ResponseTooLargeError
from pimentoquay.standin.platform_engine import PlatformEngine

CONNECTIONS = 20
MAX_MEMORY_BYTES = 2 * 1024 * 1024
"""Stated limit of the memory that 20 connections to one such engine may use."""

BLOCK = b"x" * 16 * 1024
HEAD = b"HTTP/1.1 200 OK\r\n"
SIGNED = HEAD + b"Pimentoquay-Server-Stamp: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessServer:
    """Sends a beginning, then the same block until the connection is closed."""

    def __init__(self, beginning, block):
        self.beginning, self.block = beginning, block
        self.open_connections = 0

    async def handle(self, reader, writer):
        self.open_connections += 1
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.beginning)
            while True:
                writer.write(self.block)
                await writer.drain()
        self.open_connections -= 1
        writer.close()


@contextlib.asynccontextmanager
async def endless(env, beginning, block, engine_id="desk-1", service="desk", stage=""):
    """Replace an engine by one that sends without end."""
    server = EndlessServer(beginning, block)
    listening = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    engine = PlatformEngine(engine_id, service, stage=stage, born=2)
    engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
    await env.store.put("keyed.servers", engine_id, engine.entry())
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: engine_id in {e.id for e in fleet.engines() if e.incarnation == 2}, "new")
    try:
        yield server
    finally:
        listening.close()


async def until_only_at(gateway, address):
    """Wait until the only plain server is the one at an address."""

    def addresses():
        return [each.address for each in gateway.fleet.engines() if each.service == "desk"]

    await until(lambda: addresses() == [address], "listed")


def link_to(env, engine_id):
    gateway = env.gateway_by_vm["vm-1"]
    return gateway.links.link_to(next(e for e in gateway.fleet.engines() if e.id == engine_id))


ENDLESS = {
    "header": (HEAD + b"X-Endless: ", BLOCK),
    "headers": (HEAD, b"X-More: 1\r\n" * 1000),
    "no answer": (b"", BLOCK),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 500),
    "chunk size": (HEAD + CHUNKED, b"0" * 16 * 1024),
    "chunk extension": (HEAD + CHUNKED + b"5;", BLOCK),
    "trailer": (HEAD + CHUNKED + b"0\r\nX-T: ", BLOCK),
    "body": (HEAD + b"\r\n", BLOCK),
    "body longer than its length": (HEAD + b"Content-Length: 5\r\n\r\n12345", BLOCK),
    "other answers": (
        b"",
        (HEAD + b"Pimentoquay-Request-Id: other\r\nContent-Length: 9000\r\n\r\n" + b"y" * 9000) * 4,
    ),
}


@pytest.mark.parametrize("name", ENDLESS)
async def test_memory_stays_flat_and_every_connection_is_closed(name):
    async with rig() as env, endless(env, *ENDLESS[name]) as server:
        await env.store.put("keyed.servers", "desk-2", b"")
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: [e.id for e in fleet.accepting_engines("desk")] == ["desk-1"], "1")
        await env.send_request("/order/warm")
        tracemalloc.start()
        try:
            requests = [
                asyncio.create_task(env.send_request(f"/order/{number}"))
                for number in range(CONNECTIONS)
            ]
            responses = await asyncio.gather(*requests)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert not any(each.status == 200 and each.is_whole for each in responses)
        await until(lambda: server.open_connections == 0, "closed")
        assert peak < MAX_MEMORY_BYTES + STANDIN_BYTES


STANDIN_BYTES = CONNECTIONS * (64 + 16) * 1024
"""Send buffers of the endless server, which runs in the same process."""


@pytest.mark.parametrize("name", ["body", "headers"])
async def test_a_call_to_such_an_engine_ends_and_its_circuit_opens(name):
    async with rig() as env, endless(env, *ENDLESS[name], "dec-1", "llm", "decode"):
        link = link_to(env, "dec-1")
        with pytest.raises(HttpError):
            await link.call(link.calls.reserve_memory(16, 1.0))
        streams = [await env.stream(f"/digest/{number}") for number in range(4)]
        assert {each.status for each in streams} == {200}


async def test_a_body_without_end_is_counted_and_opens_the_circuit_at_once():
    async with rig() as env, endless(env, *ENDLESS["body"], "dec-1", "llm", "decode"):
        links = env.gateway_by_vm["vm-1"].links
        link = link_to(env, "dec-1")
        with pytest.raises(ResponseTooLargeError):
            await link.call(link.calls.reserve_memory(16, 1.0))
        assert links.oversized_responses == 1
        assert links.is_circuit_open("dec-1", asyncio.get_running_loop().time())


async def test_a_long_answer_is_forwarded_whole_and_a_broken_one_never_looks_complete():
    body = b"0123456789" * 100_000
    whole = SIGNED + b"Content-Length: %d\r\n\r\n" % len(body) + body
    async with rig() as env:
        await env.store.put("keyed.servers", "desk-2", b"")
        for script, is_whole in ((whole, True), (whole[:-10], False)):
            server = ScriptedServer(script, close=True)
            listening = await asyncio.start_server(server.handle, "127.0.0.1", 0)
            engine = PlatformEngine("desk-1", "desk", born=2 + (not is_whole))
            engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
            gateway = env.gateway_by_vm["vm-1"]
            await env.store.put("keyed.servers", "desk-1", engine.entry())
            await until_only_at(gateway, engine.address)
            response = await env.send_request("/order/a")
            assert (response.status, response.is_whole) == (200, is_whole)
            assert body.startswith(response.body) and (response.body == body) is is_whole
            listening.close()


async def test_a_stalled_stream_that_sends_a_byte_now_and_then_is_resumed_elsewhere():
    """The silence was counted from the last byte, so such a stream lasted until the deadline."""
    async with rig() as env:
        trickle = SIGNED + b"Content-Type: text/event-stream\r\n" + CHUNKED

        async def handle(reader, writer):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                head = await reader.readuntil(b"\r\n\r\n")
                if b"hold-take" in head:
                    body = b'{"hold": "h"}'
                    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
                    await handle(reader, writer)
                writer.write(trickle)
                while True:
                    writer.write(b"1\r\n:\r\n")
                    await writer.drain()
                    await asyncio.sleep(0.2)
            writer.close()

        listening = await asyncio.start_server(handle, "127.0.0.1", 0)
        engine = PlatformEngine("dec-1", "llm", stage="decode", born=2)
        engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        await env.store.put("keyed.servers", "dec-1", engine.entry())
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: "dec-1" in {e.id for e in fleet.engines() if e.incarnation == 2}, "2")
        streams = await asyncio.gather(*(env.stream(f"/digest/{n}") for n in range(4)))
        assert {each.status for each in streams} == {200}
        assert all(each.is_whole for each in streams)
        assert env.engine_by_id["dec-2"].arrivals
        listening.close()
