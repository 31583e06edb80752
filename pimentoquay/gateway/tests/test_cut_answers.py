"""Count and log line of requests that were passed on and end without a complete answer."""

import asyncio
import contextlib

import pytest
from loguru import logger

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.kernel.errors import HttpError
from pimentoquay.standin.platform_engine import Behaviour


@pytest.fixture
def cut_lines():
    lines = []
    sink = logger.add(lambda line: lines.append(line.record), filter=_is_cut)
    yield lines
    logger.remove(sink)


def _is_cut(record):
    return record["message"] == "answer cut"


def let_engines(env, behaviour):
    for engine in env.engine_by_id.values():
        engine.behaviour = lambda arrival: Behaviour.SERVE if arrival.is_prefill else behaviour


def reasons(env):
    return dict(env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.cut_by_reason)


def has_run(env):
    return any(not each.is_prefill for e in env.engine_by_id.values() for each in e.arrivals)


async def send(env, path):
    """Send a request and read what comes of it."""
    with contextlib.suppress(HttpError):
        return await env.stream(path)


async def test_a_caller_that_leaves(cut_lines):
    async with rig() as env:
        let_engines(env, Behaviour.MUTE)
        caller = asyncio.create_task(send(env, "/order/a"))
        await until(lambda: has_run(env), "run")
        caller.cancel()
        await until(lambda: reasons(env), "counted")
        assert reasons(env) == {"caller_left": 1}
        assert cut_lines[0]["extra"]["engines"] in ("desk-1", "desk-2")


async def test_a_process_that_ends():
    """Its log said that the caller had left."""
    async with rig() as env:
        let_engines(env, Behaviour.MUTE)
        caller = asyncio.create_task(send(env, "/order/a"))
        await until(lambda: has_run(env), "run")
        for connection in env.gateway_by_vm["vm-1"].caller_server.connections:
            connection._task.cancel()  # As the event loop does when it ends.
        await caller
        assert reasons(env) == {"gateway_ended": 1}


async def test_an_engine_that_breaks_off(cut_lines):
    async with rig() as env:
        let_engines(env, Behaviour.BREAK)
        await send(env, "/sheet/a")
        assert reasons(env) == {"stream_broken": 1}
        assert cut_lines[0]["extra"]["has_begun"]


async def test_a_handler_that_fails_within_an_answer(monkeypatch):
    async with rig() as env:

        def fail(*arguments):
            raise RuntimeError("a fault")

        monkeypatch.setattr("pimentoquay.gateway.stream_progress.StreamProgress.record_sent", fail)
        await send(env, "/sheet/a")
        assert reasons(env) == {"handler_failed": 1}
        counts = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.count_by_code
        assert {code.name for code in counts} == {"INTERNAL"}


async def test_nothing_is_counted_of_whole_answers_and_of_requests_that_were_not_passed_on():
    async with rig() as env:
        for path in ("/look/a", "/order/a", "/digest/a", "/sheet/a"):
            assert (await send(env, path)).status == 200
        for engine in env.engine_by_id.values():
            engine.capacity = 0
        async with asyncio.timeout(20):
            with contextlib.suppress(TimeoutError):
                async with (
                    asyncio.timeout(0.2),
                    env.open("/sheet/a", headers=model_headers()) as exchange,
                ):
                    await exchange.read_body(2**20)
            codes = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.count_by_code
            await until(lambda: sum(codes.values()) == 5, "ended")
        assert reasons(env) == {}
