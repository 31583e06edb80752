"""Callers of a gateway that send many small items without end, beside sound ones."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.http1.tests.endless_callers import (
    FEW_ITEMS,
    ONE_BYTE_CHUNKS,
    count_parsed,
    counted_per_pass,
    endless_callers,
)
from pimentoquay.kernel.turns import ITEMS_PER_TURN

pytestmark = pytest.mark.usefixtures("one_turn_a_pass")

HEAD = (
    b"POST /%s/a HTTP/1.1\r\nHost: shop.example\r\nPimentoquay-Request-Id: endless\r\n"
    b"Pimentoquay-Deadline-Ms: 14000\r\n"
)
CHUNKED = HEAD % b"order" + b"Transfer-Encoding: chunked\r\n\r\n"
AHEAD = {
    "look": b"".join(
        (HEAD % b"look").replace(b"endless", b"l%d" % number) + b"\r\n" for number in range(500)
    ),
    "path without a route": (HEAD % b"nothing" + b"\r\n") * 500,
}
CALLERS = 6


@pytest.mark.parametrize("name", ["chunks of one byte", *AHEAD])
async def test_sound_requests_are_served_beside_callers_that_send_small_items(name, monkeypatch):
    """None of the sound requests was served, or they waited for hundreds of others."""
    parsed, handled = count_parsed(monkeypatch), 0
    beginning, block = (b"", AHEAD[name]) if name in AHEAD else (CHUNKED, ONE_BYTE_CHUNKS)
    async with rig() as env:
        server = env.gateway_by_vm["vm-1"].caller_server
        handler = server.handler

        async def counting(request, reply):
            nonlocal handled
            handled += 1
            await handler(request, reply)

        server.handler = counting
        async with endless_callers(server, CALLERS, beginning, block) as begun:
            await until(lambda: len(begun) == CALLERS, "all have begun")
            with (
                counted_per_pass(lambda: parsed[0]) as items,
                counted_per_pass(lambda: handled) as requests,
            ):
                responses = [await env.send_request(f"/order/{number}") for number in range(5)]
            assert [each.status for each in responses] == [200] * 5
            assert all(each.is_whole for each in responses)
            assert max(requests) <= 2
            assert max(items) <= ITEMS_PER_TURN + CALLERS * FEW_ITEMS


async def test_a_body_that_drips_beyond_its_callers_deadline_is_refused():
    """Such a body held its connection for as long as a byte came now and then."""
    head = (HEAD % b"order").replace(b"14000", b"700") + b"Content-Length: 1000\r\n\r\n"
    async with rig() as env:
        port = env.gateway_by_vm["vm-1"].caller_server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def drip():
            while True:
                writer.write(b"x")
                await asyncio.sleep(0.02)

        writer.write(head)
        dripping = asyncio.create_task(drip())
        async with asyncio.timeout(8):
            assert b" 408 " in await reader.readline()
        dripping.cancel()
        writer.close()
        assert not any(engine.arrivals for engine in env.engine_by_id.values())
