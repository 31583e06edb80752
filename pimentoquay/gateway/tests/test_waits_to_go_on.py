"""Streams that callers take up and that wait for the engines of their version."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.gateway.tests.test_software_versions import (
    add_gateways_with_pools,
    add_version,
    is_listed,
    resume_headers,
)
from pimentoquay.messages.fleet import EngineLimit, LimitsNamed
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed
from pimentoquay.policy.stream_admission import StreamTimes
from pimentoquay.policy.stream_queue import WaitingStream
from pimentoquay.standin.platform_engine import PlatformEngine

pytestmark = pytest.mark.looptime(start=1000)

PROMPT = 12_000
"""Prompt that is too long to be prefilled beside streams of a decode engine."""


async def streams_fill_first_version(env):
    """Let streams fill the engines of v1; return them."""
    engines = [env.engine_by_id["dec-1"], env.engine_by_id["dec-2"]]
    for each in engines:
        each.events, each.pause = 20, 1.0
    streams = [
        asyncio.create_task(env.stream(f"/digest/{n}", request_id=f"full-{n}")) for n in range(24)
    ]
    await until(lambda: sum(each.running for each in engines) >= 8, "full")
    await asyncio.sleep(0.5)
    return streams


async def take_up_one_of(env, streams):
    """Take a stream up whose engines are full, and return the response."""
    begun = next(number for number, each in enumerate(streams) if not each.done())
    headers = (*model_headers(), *resume_headers(f"full-{begun}", 0))
    return await env.send_request("/digest/a", headers=headers, deadline_ms=8000)


async def leave_all(streams):
    for each in streams:
        each.cancel()
    await asyncio.gather(*streams, return_exceptions=True)


async def wait_until_version_is_gone(env, elsewhere=""):
    """Let a stream wait for v1 until its engines are not listed any more.

    Returns the status of its response, and the seconds from then until it came.

    An idle engine of v1 joins in the data centre ``elsewhere`` first, if that is given.
    """
    streams = await streams_fill_first_version(env)
    await add_version(env, "v2", "new-1", "new-2")
    gateway = env.gateway_by_vm["vm-1"]
    await until(lambda: gateway.origins._is_loaded, "loaded")
    asked = asyncio.create_task(take_up_one_of(env, streams))
    await asyncio.sleep(0.5)
    assert env.engine_by_id["dec-1"].arrivals and not asked.done(), "it waits"
    if elsewhere:
        far = PlatformEngine("far-1", "llm", stage="decode", software="v1", data_centre=elsewhere)
        await env.add_engine(far)
        await until(lambda: is_listed(env, "far-1"), "listed")
    ended = gateway.dispatcher._streams._reservations.continued_by_outcome

    def is_gone():
        if not is_listed(env, "dec-1") and not is_listed(env, "dec-2"):
            return True
        assert elsewhere or not ended, "it waits while an engine of its version is listed"
        return False

    for engine_id in ("dec-1", "dec-2"):
        await env.store.put("keyed.servers", engine_id, b"")
    await until(is_gone, "gone")
    # The refusal may come in the same turn of the event loop.
    assert elsewhere or set(ended) <= {"stream_version_gone"}
    gone_at = asyncio.get_running_loop().time()
    response = await asked
    seconds = asyncio.get_running_loop().time() - gone_at
    await leave_all(streams)
    return response.status, seconds


async def test_a_stream_that_waits_is_refused_once_its_version_is_gone():
    async with rig() as env:
        status, seconds = await wait_until_version_is_gone(env)
        assert status == 503 and round(seconds, 1) <= 1.0


async def test_a_stream_that_waits_in_a_pool_is_refused_once_its_version_is_gone(relays):
    """With coordinators it waited until its caller left."""
    async with rig() as env:
        await add_gateways_with_pools(env)
        status, seconds = await wait_until_version_is_gone(env)
        assert status == 503 and round(seconds, 1) <= 1.0


async def test_a_stream_that_waits_in_a_pool_goes_on_in_another_when_its_version_leaves(relays):
    """It waited until its caller left, beside an idle engine of its version elsewhere."""
    async with rig() as env:
        await add_gateways_with_pools(env)
        status, _ = await wait_until_version_is_gone(env, "port")
        assert status == 200


async def test_a_stream_that_goes_on_waits_though_no_coordinator_replies(relays):
    """It was sent away with 503 after one try, while its caller would have waited for memory."""
    async with rig() as env:
        await add_gateways_with_pools(env)
        streams = await streams_fill_first_version(env)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.05
        client = env.gateway_by_vm["vm-1"].pool_client
        client._coordinator_of = lambda key: "vm-9"
        response = await take_up_one_of(env, streams)
        await leave_all(streams)
        assert response.status == 200


@pytest.mark.parametrize("is_taken_up", [False, True])
async def test_a_gateway_that_reaches_no_engine_sends_callers_on_at_once(monkeypatch, is_taken_up):
    """New streams got 503 at once, and one that goes on waited until its caller left."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        monkeypatch.setattr(gateway.links, "is_circuit_open", lambda engine, now: True)
        started_at = asyncio.get_running_loop().time()
        headers = (*model_headers(), *(resume_headers("first", 1) if is_taken_up else ()))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=8000)
        seconds = asyncio.get_running_loop().time() - started_at
        assert (response.status, seconds < 1.0) == (503, True), seconds


async def test_a_stream_is_refused_at_once_if_all_engines_of_its_version_pause(monkeypatch):
    """It waited until its caller left, as engines of another version did not pause."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await env.stream("/digest/first", request_id="first")
        await until(lambda: gateway.origins._is_loaded, "loaded")
        await add_version(env, "v2", "new-1")
        pauses = {"dec-1": 60.0, "dec-2": 60.0}
        monkeypatch.setattr(gateway.fleet, "pause_seconds", lambda each: pauses.get(each.id, 0.0))
        started_at = asyncio.get_running_loop().time()
        headers = (*model_headers(), *resume_headers("first", 1))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=8000)
        seconds = asyncio.get_running_loop().time() - started_at
        assert (response.status, seconds < 1.0) == (503, True), seconds


@pytest.mark.parametrize("late_ones", [0, 40])
async def test_late_new_streams_do_not_count_as_before_one_that_goes_on_at_a_limit(late_ones):
    """It was refused at once (429), though it goes before all of them and waits half a second."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        limits, now = gateway.links.limits, asyncio.get_running_loop().time
        engines = [each for each in gateway.fleet.engines() if each.id.startswith("dec")]
        named = tuple(EngineLimit(each.id, each.incarnation, 2.0, 0.0) for each in engines)
        gateway.mesh.notices.receive(LimitsNamed(named), "vm-9")
        assert all(limits.limit_of(each.start) == 2.0 for each in engines)
        for each in engines:
            while limits.take(each, now()):
                pass
        queue = gateway.dispatcher._streams._reservations._waiting
        late = StreamTimes(now() - 2.0, now() - 1.0, now() + 60.0)
        for _ in range(late_ones):
            queue.add(WaitingStream(MemoryNeed(1000, 100, 200), late))
        headers = (*model_headers(), *resume_headers("first", 1))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=6000)
        assert response.status == 200


async def test_a_long_prompt_that_goes_on_uses_all_engines_of_its_version():
    """Without a prefill engine of its version it had a third of them, new streams had all."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        await env.stream("/digest/first", request_id="first")
        await add_version(env, "v2", "pre-2", stage="prefill")
        await add_version(env, "v2", "new-1")
        await env.store.put("keyed.servers", "pre-1", b"")
        await until(lambda: not is_listed(env, "pre-1"), "gone")
        shared = gateway.dispatcher._streams._shared
        shared.speed.tokens_per_second = 50_000.0
        shared.run_ledger.take("dec-1", GrowingRun(10**9, 0), asyncio.get_running_loop().time())
        started_at = asyncio.get_running_loop().time()
        headers = (*model_headers(prompt=PROMPT), *resume_headers("first", 1))
        response = await env.send_request("/digest/a", headers=headers, deadline_ms=4000)
        assert response.status == 200
        assert asyncio.get_running_loop().time() - started_at < 2.0
