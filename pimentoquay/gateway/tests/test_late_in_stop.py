"""Requests that come, wait or run late in the grace time of a planned stop."""

import asyncio
from dataclasses import dataclass

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.standin.platform_engine import Behaviour, PlatformEngine
from pimentoquay.standin.virtual_links import Cut

# In virtual time, as a planned stop takes eight seconds.
pytestmark = pytest.mark.looptime(start=1000)

PATHS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")
LATE_SECONDS = (3.5, 4.5, 6.0, 7.0)
RUN_SECONDS = 6.0
OTHER_SECONDS = 0.1
"""Time before the stop for which another request is in progress already."""


@dataclass
class LateCaller:
    """Caller on an open connection that sends the last byte of its request later."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def finish(self):
        """Send the last byte; return the status and body, with status 0 if no answer is whole."""
        self.writer.write(b"x")
        try:
            async with asyncio.timeout(20):
                return await self._read()
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0, b""
        finally:
            self.writer.close()

    async def _read(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).lower()
        status, body = int(head.split(b" ", 2)[1]), b""
        if b"transfer-encoding: chunked" not in head:
            length = int(head.partition(b"content-length:")[2].split(b"\r\n")[0])
            return status, await self.reader.readexactly(length)
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += (await self.reader.readexactly(size + 2))[:-2]
        await self.reader.readexactly(2)
        return status, body


def request_bytes(path, request_id, deadline_ms=14_000, length=1):
    """Return a request with one byte of a body of a length."""
    headers = (
        (b"Host", b"shop.example"),
        (b"Pimentoquay-Request-Id", request_id.encode()),
        (b"Pimentoquay-Deadline-Ms", str(deadline_ms).encode()),
        (b"Content-Length", str(length).encode()),
        *model_headers(),
    )
    lines = [f"POST {path} HTTP/1.1".encode(), *(b": ".join(each) for each in headers), b"", b"x"]
    return b"\r\n".join(lines)


async def open_late(env, path, request_id, deadline_ms=14_000, vm="vm-1"):
    """Send a request but for its last byte."""
    port = env.gateway_by_vm[vm].caller_server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request_bytes(path, request_id, deadline_ms, length=2))
    return LateCaller(reader, writer)


def runs(env, request_id):
    """Return the runs of a request at engines."""
    return [
        each
        for engine in env.engine_by_id.values()
        for each in engine.arrivals
        if each.headers.get("pimentoquay-request-id") == request_id and not each.is_prefill
    ]


def let_runs_last(env, seconds=RUN_SECONDS):
    """Let streams take some seconds, and let calls take longer than their callers wait."""
    for engine in env.engine_by_id.values():
        engine.pause = seconds / engine.events
        if not engine.stage:
            engine.behaviour = lambda arrival: Behaviour.MUTE


def let_run_last(env, request_id):
    """Let one call take longer than its caller waits."""

    def behaviour(arrival):
        is_slow = arrival.headers.get("pimentoquay-request-id") == request_id
        return Behaviour.MUTE if is_slow else Behaviour.SERVE

    for engine in env.engine_by_id.values():
        if not engine.stage and not engine.pause:
            engine.behaviour = behaviour


async def stop_and_send(env, path, seconds, **options):
    """Begin a planned stop; send the last byte of a request later.

    Returns the status and body of its answer, and the seconds from the signal until it was whole.
    """
    caller = await open_late(env, path, "late", **options)
    # The process ends as soon as nothing is in progress.
    let_run_last(env, "other")
    other = asyncio.create_task(env.send_request("/order/other", request_id="other"))
    await asyncio.sleep(OTHER_SECONDS)
    stopped_at = asyncio.get_running_loop().time()
    ending = asyncio.create_task(end_process(env))
    await asyncio.sleep(seconds)
    status, body = await caller.finish()
    answered_after = asyncio.get_running_loop().time() - stopped_at
    async with asyncio.timeout(20):
        await asyncio.gather(ending, other, return_exceptions=True)
    return status, body, answered_after


async def end_process(env, vm="vm-1"):
    """Stop a gateway; its connections end with the process."""
    await env.stop(vm)
    env.gateway_by_vm[vm].caller_server.abort()


@pytest.mark.parametrize("seconds", LATE_SECONDS)
@pytest.mark.parametrize("path", PATHS)
async def test_a_request_that_cannot_end_before_a_planned_stop_is_refused_at_once(path, seconds):
    """It was passed on and cut at the end of the grace time, also if it may run once only."""
    async with rig() as env:
        let_runs_last(env)
        status, _, answered_after = await stop_and_send(env, path, seconds)
        assert (status, runs(env, "late")) == (503, [])
        assert answered_after == pytest.approx(seconds, abs=0.2)


@pytest.mark.parametrize("path", PATHS)
async def test_it_is_refused_by_a_gateway_that_reaches_the_engines_through_peers(path):
    async with rig() as env:
        await env.add_gateway("vm-2")
        env.links.cut("vm-1", Cut.REFUSED)
        timers = env.gateway_by_vm["vm-1"].node.timers
        async with asyncio.timeout(20):
            while (await env.stream(path)).status != 200:
                await timers.sleep(0.2)
        let_runs_last(env)
        status, *_ = await stop_and_send(env, path, 4.5)
        assert (status, runs(env, "late")) == (503, [])


@pytest.mark.parametrize("path", PATHS)
async def test_a_request_that_ends_before_a_planned_stop_is_served_though_it_comes_late(path):
    async with rig() as env:
        status, body, _ = await stop_and_send(env, path, 4.5, deadline_ms=6000)
        assert (status, bool(body), len(runs(env, "late"))) == (200, True, 1)


@pytest.mark.parametrize("path", PATHS)
async def test_a_request_that_comes_while_callers_still_arrive_is_served(path):
    async with rig() as env:
        status, *_ = await stop_and_send(env, path, 2.5)
        assert status == 200


async def test_a_stream_is_refused_if_streams_of_its_route_last_longer_than_the_time_left():
    """The platform sends new callers for three seconds more; others serve them in full."""
    async with rig() as env:
        let_runs_last(env)
        assert (await env.stream("/sheet/a")).status == 200
        status, *_ = await stop_and_send(env, "/sheet/a", 2.5)
        assert (status, runs(env, "late")) == (503, [])


@pytest.mark.parametrize("path", ["/look/a", "/order/a"])
async def test_a_call_that_runs_at_the_end_of_the_grace_time_gets_an_answer(path):
    """Its connection ended without one."""
    async with rig() as env:
        let_runs_last(env)
        status, *_ = await stop_and_send(env, path, 0.5)
        assert status == 504
        assert 1 <= len(runs(env, "late")) <= 2


class FullEngine(PlatformEngine):
    """Refuses reservations, as its memory is full."""

    def _create_hold(self, tokens, reply):
        reply.send(503, ((b"Pimentoquay-Not-Executed", b"1"),), b"")


@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
async def test_a_stream_that_waits_for_memory_is_refused_before_a_planned_stop(path):
    """Its connection ended without an answer."""
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            await env.engine_by_id[name].close()
            await env.add_engine(FullEngine(name, "llm", stage="decode", born=2))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: sum(e.incarnation == 2 for e in fleet.engines()) == 2, "listed")
        status, *_ = await stop_and_send(env, path, 0.5)
        assert (status in (429, 503), runs(env, "late")) == (True, [])
