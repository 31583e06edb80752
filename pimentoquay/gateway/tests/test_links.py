import asyncio

import pytest

from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.kernel.errors import HttpError
from pimentoquay.policy.circuits import CircuitState
from pimentoquay.policy.fleet import EngineStage


async def test_an_unreachable_engine_opens_its_circuit_and_is_not_used():
    async with rig() as env:
        shared = env.gateway_by_vm["vm-1"].stage_controller._shared
        links: EngineLinks = shared.links
        await env.engine_by_id["dec-1"].close()
        for number in range(6):
            assert (await env.stream(f"/digest/{number}")).status == 200
        state = links.circuits.state("dec-1", asyncio.get_running_loop().time())
        assert state is not CircuitState.CLOSED
        loop = asyncio.get_running_loop()
        links.circuits.refused("dec-1", loop.time())
        usable = shared.available_engines("llm", (EngineStage.DECODE,))
        assert [engine.id for engine in usable] == ["dec-2"]


async def test_a_successful_probe_closes_the_circuit():
    async with rig() as env:
        links = env.gateway_by_vm["vm-1"].links
        loop = asyncio.get_running_loop()
        links.circuits.refused("dec-1", loop.time())
        assert links.is_circuit_open("dec-1", loop.time())
        await until(lambda: not links.is_circuit_open("dec-1", loop.time()), "a probe is due")
        entry = next(
            each for each in env.gateway_by_vm["vm-1"].fleet.engines() if each.id == "dec-1"
        )
        link = links.link_to(entry)
        status, _ = await link.call(link.calls.reserve_memory(16, 1.0))
        assert status == 200
        assert links.circuits.state("dec-1", loop.time()) is CircuitState.CLOSED


async def test_a_failed_call_is_an_error_and_opens_the_circuit():
    async with rig() as env:
        links = env.gateway_by_vm["vm-1"].links
        await env.engine_by_id["pre-1"].close()
        entry = next(
            each for each in env.gateway_by_vm["vm-1"].fleet.engines() if each.id == "pre-1"
        )
        link = links.link_to(entry)
        with pytest.raises(HttpError):
            await link.call(link.calls.reserve_memory(16, 1.0))
        assert links.is_circuit_open("pre-1", asyncio.get_running_loop().time())
