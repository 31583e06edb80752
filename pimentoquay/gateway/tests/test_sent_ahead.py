"""Requests that callers send ahead of the answer before, over a planned stop."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig
from pimentoquay.gateway.tests.test_late_in_stop import (
    LateCaller,
    end_process,
    request_bytes,
    runs,
)
from pimentoquay.standin.platform_engine import PlatformEngine

# In virtual time, as a planned stop takes some seconds.
pytestmark = pytest.mark.looptime(start=1000)


DEADLINE_MS = 5000


def bytes_of(path, request_id):
    return request_bytes(path, request_id, DEADLINE_MS)


async def open_caller(env):
    port = env.gateway_by_vm["vm-1"].caller_server.port
    return LateCaller(*await asyncio.open_connection("127.0.0.1", port))


async def read(caller):
    """Return the status and body of the next answer, with status 0 if there is none."""
    try:
        async with asyncio.timeout(20):
            return await caller._read()
    except (ConnectionError, asyncio.IncompleteReadError):
        return 0, b""


@pytest.mark.parametrize("path", ["/look/a", "/order/a", "/digest/a", "/sheet/a"])
async def test_a_request_that_was_sent_ahead_is_answered_in_a_planned_stop(path, monkeypatch):
    """The connection ended after the answer before it, though the process had read both."""
    answer = PlatformEngine._answer

    async def answer_late(self, arrival, *arguments):
        await asyncio.sleep(0.0 if arrival.is_prefill else 1.0)
        await answer(self, arrival, *arguments)

    monkeypatch.setattr(PlatformEngine, "_answer", answer_late)
    async with rig() as env:
        caller = await open_caller(env)
        caller.writer.write(bytes_of("/order/a", "first"))
        await asyncio.sleep(0.2)
        caller.writer.write(bytes_of(path, "ahead"))
        await asyncio.sleep(0.2)
        ending = asyncio.create_task(end_process(env))
        first = await read(caller)
        status, body = await read(caller)
        await ending
        assert first[0] == 200
        assert (status, bool(body), len(runs(env, "ahead"))) == (200, True, 1)
        assert await caller.reader.read() == b""
        caller.writer.close()


async def test_a_caller_that_sends_ahead_without_end_does_not_prolong_a_planned_stop():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        for engine in env.engine_by_id.values():
            engine.pause = 0.2
        caller = await open_caller(env)
        caller.writer.write(bytes_of("/sheet/a", "r0") + bytes_of("/sheet/a", "r1"))
        loop = asyncio.get_running_loop()
        stopped_at = loop.time()
        ending = asyncio.create_task(end_process(env))
        statuses = []
        async with asyncio.timeout(20):
            while (answer := await read(caller))[0]:
                statuses.append(answer[0])
                caller.writer.write(bytes_of("/sheet/a", f"r{len(statuses) + 1}"))
            await ending
        assert loop.time() - stopped_at < gateway.settings.bounds.grace_seconds
        assert set(statuses[:2]) == {200}
        assert set(statuses) <= {200, 503}
        assert all(len(runs(env, f"r{number}")) <= 1 for number in range(len(statuses)))
        caller.writer.close()
