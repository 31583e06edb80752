"""Planned stops while slow callers read answers that the engines have finished."""

import asyncio
import contextlib

import pytest

from pimentoquay.gateway import lifecycle
from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.http1.tests.scripted import small_buffers
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.virtual_links import Cut

PAUSE_SECONDS = 1.0
"""Time for which a caller stops reading."""


class LargeEngine(PlatformEngine):
    """Answers calls with 1 MB and streams with large events, as fast as they are read."""

    async def _answer(self, arrival, headers, reply):
        if arrival.is_prefill:
            await super()._answer(arrival, headers, reply)
        else:
            reply.send(200, headers, b"x" * 1_000_000)

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        for number in range(129):
            reply.write(f"id: {number}\ndata: ".encode() + b"x" * 1785 + b"\n\n")
        reply.end()


@contextlib.asynccontextmanager
async def large_rig(monkeypatch):
    """Yield a rig with a large engine of each kind, whose gateways soon refuse new callers."""
    monkeypatch.setattr(lifecycle, "OUT_OF_ROTATION_SECONDS", 0.2)
    async with rig() as env:
        for name, service, stage in (("desk-1", "desk", ""), ("dec-1", "llm", "decode")):
            await env.engine_by_id[name].close()
            await env.add_engine(LargeEngine(name, service, stage=stage, born=2))
        for name in ("desk-2", "dec-2"):
            await env.store.put("keyed.servers", name, b"")
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: sorted(e.id for e in fleet.engines()) == ["dec-1", "desk-1", "pre-1"])
        await until(lambda: sum(e.incarnation == 2 for e in fleet.engines()) == 2, "listed")
        yield env


class SlowCaller:
    """Sends a request with a small receive buffer, and reads the answer at times."""

    def __init__(self, sock):
        self._sock = sock
        self.data = b""

    @property
    def is_whole(self):
        return self.data.startswith(b"HTTP/1.1 200") and self.data.endswith(b"\r\n0\r\n\r\n")

    async def read(self, size=2048):
        async with asyncio.timeout(10):
            part = await asyncio.get_running_loop().sock_recv(self._sock, size)
        self.data += part
        return part

    async def read_rest(self):
        with contextlib.suppress(ConnectionError):
            while not self.is_whole and await self.read(65536):
                pass


@contextlib.asynccontextmanager
async def slow_caller(gateway, path, deadline_ms=14_000):
    headers = (
        (b"Host", b"shop.example"),
        (b"Pimentoquay-Request-Id", b"slow"),
        (b"Pimentoquay-Deadline-Ms", str(deadline_ms).encode()),
        (b"Content-Length", b"1"),
        *model_headers(),
    )
    head = b"".join(name + b": " + value + b"\r\n" for name, value in headers)
    async with small_buffers(gateway.caller_server) as sock:
        request = b"POST " + path + b" HTTP/1.1\r\n" + head + b"\r\nx"
        await asyncio.get_running_loop().sock_sendall(sock, request)
        yield SlowCaller(sock)


async def read_until_answered(gateway, caller):
    """Read until the gateway has taken the whole answer from the engine."""
    while any(each._task is not None for each in gateway.caller_server.connections):
        await caller.read()
        await asyncio.sleep(0.001)


@pytest.mark.parametrize("path", [b"/look/a", b"/order/a", b"/digest/a", b"/sheet/a"])
async def test_a_planned_stop_sends_the_rest_of_finished_answers_to_slow_callers(path, monkeypatch):
    """The process ended with up to 64 KB of such answers in its transports (review/5)."""
    async with large_rig(monkeypatch) as env:
        gateway = env.gateway_by_vm["vm-1"]
        async with slow_caller(gateway, path) as caller:
            await caller.read()
            stopping = env.stop()
            await read_until_answered(gateway, caller)
            await asyncio.sleep(PAUSE_SECONDS)
            assert not stopping.done()
            await caller.read_rest()
            assert caller.is_whole
        async with asyncio.timeout(5):
            await stopping


async def test_a_planned_stop_does_not_wait_for_a_caller_whose_time_is_over(monkeypatch):
    async with large_rig(monkeypatch) as env:
        gateway = env.gateway_by_vm["vm-1"]
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        async with slow_caller(gateway, b"/sheet/a", deadline_ms=2500) as caller:
            await caller.read()
            stopping = env.stop()
            await read_until_answered(gateway, caller)
            async with asyncio.timeout(5):
                await stopping
            assert 2.5 <= loop.time() - sent_at < 4.0


async def test_a_planned_stop_ends_within_the_grace_time_though_a_caller_does_not_read(
    monkeypatch,
):
    async with large_rig(monkeypatch) as env:
        gateway = env.gateway_by_vm["vm-1"]
        loop = asyncio.get_running_loop()
        async with slow_caller(gateway, b"/sheet/a") as caller:
            await caller.read()
            await read_until_answered(gateway, caller)
            stopped_at = loop.time()
            async with asyncio.timeout(20):
                await env.stop()
            grace_seconds = gateway.settings.bounds.grace_seconds
            assert grace_seconds - 1.0 < loop.time() - stopped_at < grace_seconds


@contextlib.asynccontextmanager
async def cut_off_rig(monkeypatch):
    """Yield a large rig whose vm-1 reaches the engines through vm-2 only."""
    async with large_rig(monkeypatch) as env:
        await env.add_gateway("vm-2")
        env.links.cut("vm-1", Cut.REFUSED)
        async with asyncio.timeout(10):
            for path in ("/order/a", "/sheet/a"):
                while (await env.stream(path)).status != 200:
                    await env.gateway_by_vm["vm-1"].node.timers.sleep(0.1)
        yield env


TUNNELLED = (b"/order/a", b"/sheet/a")


@pytest.mark.parametrize("stopped", ["vm-1", "vm-2"])
@pytest.mark.parametrize("path", TUNNELLED)
async def test_a_planned_stop_of_either_gateway_sends_the_rest_of_answers_through_a_tunnel(
    stopped, path, monkeypatch
):
    async with cut_off_rig(monkeypatch) as env:
        async with slow_caller(env.gateway_by_vm["vm-1"], path) as caller:
            assert (await caller.read()).startswith(b"HTTP/1.1 200")
            assert env.gateway_by_vm["vm-2"].tunnel_server.active
            stopping = env.stop(stopped)
            await asyncio.sleep(PAUSE_SECONDS)
            await caller.read_rest()
            assert caller.is_whole
        async with asyncio.timeout(10):
            await stopping


async def test_a_caller_that_stops_reading_for_a_while_gets_the_rest_through_a_tunnel(monkeypatch):
    """The system reset a tunnel whose end had not read for 2 s, though its VM was alive."""
    async with (
        cut_off_rig(monkeypatch) as env,
        slow_caller(env.gateway_by_vm["vm-1"], b"/order/a") as caller,
    ):
        await caller.read()
        await asyncio.sleep(4.0)
        await caller.read_rest()
        assert caller.is_whole
