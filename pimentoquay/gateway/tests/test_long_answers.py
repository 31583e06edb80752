"""Long answers of calls, which are forwarded as they arrive and cannot be sent again."""

import asyncio
import contextlib

from pimentoquay.gateway.tests.rig import rig
from pimentoquay.gateway.tests.test_endless import SIGNED, until_only_at
from pimentoquay.standin.platform_engine import PlatformEngine

BODY = b"0123456789" * 100_000


async def test_a_long_answer_that_has_begun_is_not_cut_as_its_path_counts_as_lost():
    """A call that may run again was given up, though its caller had a part of the answer."""
    half_sent, goes_on = asyncio.Event(), asyncio.Event()

    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(SIGNED + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY[:500_000])
            await writer.drain()
            half_sent.set()
            await goes_on.wait()
            writer.write(BODY[500_000:])
            await writer.drain()
        writer.close()

    async with rig() as env:
        await env.store.put("keyed.servers", "desk-2", b"")
        listening = await asyncio.start_server(handle, "127.0.0.1", 0)
        engine = PlatformEngine("desk-1", "desk", born=2)
        engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        gateway = env.gateway_by_vm["vm-1"]
        await env.store.put("keyed.servers", "desk-1", engine.entry())
        await until_only_at(gateway, engine.address)
        asked = asyncio.create_task(env.send_request("/look/a"))
        await half_sent.wait()
        await asyncio.sleep(0.1)
        gateway.paths.is_lost = lambda target, via: True
        await asyncio.sleep(0.3)
        goes_on.set()
        response = await asked
        assert (response.status, response.is_whole, response.body) == (200, True, BODY)
        listening.close()
