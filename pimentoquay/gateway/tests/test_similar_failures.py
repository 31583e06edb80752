"""Failures that operators of similar systems have seen, brought about against the gateway."""

import asyncio
import contextlib

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.kernel.errors import HttpError
from pimentoquay.standin.platform_engine import PlatformEngine


async def test_a_late_copy_of_an_answer_is_not_taken_for_that_of_a_management_call():
    """The engine answers a request twice, the second time when the connection is in use again."""
    late = b"HTTP/1.1 200 OK\r\nPimentoquay-Request-Id: r9\r\nContent-Length: 17\r\n\r\n"
    own = b"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n"
    answers = (late, b'{"hold": "wrong"}', own, b'{"hold": "right"}')

    async def handle(reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"".join(answers))
            await reader.read()
        writer.close()

    async with rig() as env:
        listening = await asyncio.start_server(handle, "127.0.0.1", 0)
        engine = PlatformEngine("dec-1", "llm", stage="decode", born=2)
        engine.address = f"127.0.0.1:{listening.sockets[0].getsockname()[1]}"
        await env.store.put("keyed.servers", "dec-1", engine.entry())
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: entry_of(gateway, "dec-1").incarnation == 2, "listed")
        link = gateway.links.link_to(entry_of(gateway, "dec-1"))
        _, body = await link.call(link.calls.reserve_memory(16, 1.0))
        assert link.calls.parse_hold(body) == "right"
        listening.close()


async def test_a_planned_stop_under_load_cuts_off_no_accepted_request():
    async with rig() as env:
        await env.add_gateway("vm-2")
        for engine in env.engine_by_id.values():
            engine.pause = 0.05
        results: list[tuple[int | str, bool]] = []

        async def ask(number):
            path = (f"/look/{number}", f"/order/{number}", f"/sheet/{number}")[number % 3]
            try:
                response = await env.stream(path)
                results.append((response.status, response.is_whole))
            except HttpError as error:
                # A connection that was refused or closed before the request was read is no cut.
                results.append(("not accepted", not error.written))

        tasks = []
        for number in range(120):
            tasks.append(asyncio.create_task(ask(number)))
            if number == 40:
                stopping = env.stop()
            await asyncio.sleep(0.02)
        await asyncio.gather(*tasks)
        async with asyncio.timeout(20):
            await stopping
        assert all(is_whole for _, is_whole in results)
        assert {status for status, _ in results} <= {200, 503, "not accepted"}
        assert sum(status == 200 for status, _ in results) >= 100


@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
async def test_a_slow_but_sound_stream_is_not_cut(path):
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.9
        response = await env.stream(path)
        assert (response.status, response.is_whole) == (200, True)
        runs = [a for n in ("dec-1", "dec-2") for a in env.engine_by_id[n].arrivals]
        assert len(runs) == 1


async def test_an_engine_that_had_left_is_not_used_after_a_restart_of_the_gateway():
    async with rig() as env:
        await env.add_gateway("vm-2")
        desk = env.engine_by_id["desk-1"]
        await env.store.put("keyed.servers", "desk-1", b"")
        await env.store.put("keyed.servers", "desk-2", env.engine_by_id["desk-2"].entry())
        second = env.gateway_by_vm["vm-2"].fleet
        await until(lambda: len(second.accepting_engines("desk")) == 1, "gone")
        calls = desk.calls
        async with asyncio.timeout(20):
            await env.stop("vm-1")
        await env.gateway_by_vm["vm-1"].peers.close()
        await env.gateway_by_vm["vm-1"].node.transport.close()
        restarted = await env.add_gateway("vm-1")
        for number in range(10):
            assert (await env.send_request(f"/look/{number}")).status == 200
        assert [each.id for each in restarted.fleet.accepting_engines("desk")] == ["desk-2"]
        assert desk.calls == calls


def entry_of(gateway, engine_id):
    return next(each for each in gateway.fleet.engines() if each.id == engine_id)
