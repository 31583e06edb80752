"""Engines whose connection ends within the head of an answer."""

import asyncio
import socket
import struct

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig
from pimentoquay.kernel.errors import HttpError
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.virtual_links import Cut

# In virtual time, as callers wait between requests until the engines are tried again.
pytestmark = pytest.mark.looptime(start=1000)

PATHS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")
FRAMINGS = {
    "length": b"Content-Length: 20\r\n",
    "chunks": b"Transfer-Encoding: chunked\r\n",
    "end of the connection": b"",
}
BETWEEN_SECONDS = 1.5
STEP_BYTES = 13
"""Distance of the places at which a head is cut; the first differs by path."""


class CutEngine(PlatformEngine):
    """Ends the connection within the head of its answer to requests whose id begins with ``cut``.

    ``is_reset`` resets it, ``has_interim`` writes informational responses before, and
    ``copies_before`` an earlier answer once more.
    """

    framing = b""
    place = 0
    is_reset = False
    has_interim = False
    copies_before = False

    def head(self, request_id):
        return (
            b"HTTP/1.1 200 OK\r\n"
            + self.framing
            + b"Pimentoquay-Request-Id: "
            + request_id.encode()
            + b"\r\nPimentoquay-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n\r\n"
        )

    async def _respond(self, arrival, request, reply):
        request_id = arrival.headers.get("pimentoquay-request-id", "")
        if not request_id.startswith("cut") or arrival.is_prefill:
            await super()._respond(arrival, request, reply)
            return
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        transport = reply._connection._transport
        if self.has_interim:
            transport.write(b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 On\r\n\r\n")
        if self.copies_before:
            transport.write(
                b"HTTP/1.1 200 OK\r\nPimentoquay-Request-Id: before\r\n"
                b"Pimentoquay-Server-Stamp: stamp\r\nContent-Length: 5\r\n\r\nother"
            )
        transport.write(self.head(request_id)[: self.place])
        await asyncio.sleep(0.01)
        if self.is_reset:
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            transport.abort()
        else:
            transport.close()
        reply.ended = True


def places(framing, path):
    """Return the numbers of bytes after which a head is cut."""
    length = len(CutEngine("x", "desk").head("cut-000")) + len(framing)
    return range(PATHS.index(path) * 2, length - 1, STEP_BYTES)


async def add_cut_engines(env, **options):
    """Replace the engines that answer callers by such that cut their heads."""
    engines = []
    for name, stage in (("desk-1", ""), ("desk-2", ""), ("dec-1", "decode"), ("dec-2", "decode")):
        engine = CutEngine(name, "llm" if stage else "desk", stage=stage, born=2)
        for key, value in options.items():
            setattr(engine, key, value)
        engines.append(engine)
    await env.replace_engines(engines)
    return engines


async def send(env, path, request_id):
    """Return the status of a caller's answer, or 0 if its connection ended before one."""
    try:
        response = await env.send_request(path, headers=model_headers(), request_id=request_id)
    except HttpError:
        return 0
    return response.status if response.is_whole else 0


async def check_no_success(env, engines, path, framing):
    """Cut heads at many places, each on a connection that served a request before."""
    reached = 0
    for number, place in enumerate(places(framing, path)):
        assert await send(env, path, f"sound-{number}") == 200
        for engine in engines:
            engine.place = place
        status = await send(env, path, f"cut-{number:03}")
        assert status in (502, 504), f"cut after {place} bytes"
        reached += any(
            each.headers.get("pimentoquay-request-id") == f"cut-{number:03}"
            for engine in engines
            for each in engine.arrivals
        )
        await asyncio.sleep(BETWEEN_SECONDS)
    assert reached == len(places(framing, path)), "each reached an engine"


CUTS = {
    "closed": {},
    "reset": {"is_reset": True},
    "closed after interim answers": {"has_interim": True},
    "reset after interim answers": {"has_interim": True, "is_reset": True},
    "closed after a copy of an earlier answer": {"copies_before": True},
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("cut", CUTS)
async def test_an_answer_whose_head_is_cut_is_no_success(cut, framing, path):
    """Operators of a similar system saw a 200 with an empty or short body, framed as whole."""
    async with rig() as env:
        options = CUTS[cut] | {"framing": FRAMINGS[framing]}
        engines = await add_cut_engines(env, **options)
        await check_no_success(env, engines, path, FRAMINGS[framing])


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("cut", ["closed", "reset"])
async def test_an_answer_whose_head_is_cut_is_no_success_through_a_tunnel(cut, path):
    async with rig() as env:
        await env.add_gateway("vm-2")
        engines = await add_cut_engines(env, framing=b"", **CUTS[cut])
        env.links.cut("vm-1", Cut.REFUSED)
        async with asyncio.timeout(20):
            while await send(env, path, f"first-{env._request_count}") != 200:
                await env.gateway_by_vm["vm-1"].node.timers.sleep(0.2)
        await check_no_success(env, engines, path, b"")
        assert env.gateway_by_vm["vm-1"].paths.cut_engines
