"""Engines whose streams pause for too long, as gateways measure and tell each other."""

import asyncio
import time

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.http1 import Reply
from pimentoquay.messages.engine_speeds import PausesMeasured
from pimentoquay.messages.pools import PoolKey

POOL = PoolKey("llm", "hall", 0)
VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
SLOW_PAUSE = 0.36
"""Time between two events in seconds; the routes of the rig allow 0.3 s."""


def is_slow(env, vm, engine):
    gateway = env.gateway_by_vm[vm]
    entry = next(each for each in gateway.fleet.engines() if each.id == engine)
    pauses = gateway.pool_coordinator._shared.pauses
    return not pauses.keeps(entry.start, 1.0, gateway.node.timers.now())


async def send_until_slow(env, vms, observers):
    """Let dec-1 send slowly, and send streams until the observers know it."""
    env.engine_by_id["dec-1"].pause = SLOW_PAUSE
    streams = [
        asyncio.create_task(env.stream(f"/digest/{vm}-{number}", vm=vm))
        for vm in vms
        for number in range(4)
    ]
    await until(lambda: all(is_slow(env, vm, "dec-1") for vm in observers), "slow")
    assert {each.status for each in await asyncio.gather(*streams)} == {200}
    assert not any(is_slow(env, vm, "dec-2") for vm in observers)


async def streams_at_slow_engine(env, vms):
    """Return how many of eight further streams run at dec-1, one after another.

    By memory alone all of them would, as both engines are idle. Some do until it is also known that
    the engine is slow with a single stream.
    """
    before = len(env.engine_by_id["dec-1"].arrivals)
    for number in range(8):
        vm = vms[number % len(vms)]
        assert (await env.stream(f"/digest/more-{number}", vm=vm)).status == 200
    return len(env.engine_by_id["dec-1"].arrivals) - before


async def test_a_peer_of_a_full_mesh_uses_an_engine_last_that_is_slow_for_others():
    async with rig() as env:
        await env.add_gateway("vm-2")
        meshes = [env.gateway_by_vm[vm].mesh for vm in ("vm-1", "vm-2")]
        await until(lambda: all(each.loads.load_by_vm for each in meshes), "peers")
        await send_until_slow(env, ("vm-1",), ("vm-1", "vm-2"))
        assert await streams_at_slow_engine(env, ("vm-2",)) <= 3


async def test_a_coordinator_uses_an_engine_last_that_is_slow(relays):
    async with rig() as env:
        for vm in VMS[1:]:
            await env.add_gateway(vm)
        clients = [env.gateway_by_vm[vm].pool_client for vm in VMS]
        await until(lambda: all(POOL in each._known_by_key for each in clients), "summaries")
        coordinators = {env.gateway_by_vm[vm].mesh.coordinator_of(POOL) for vm in VMS}
        await send_until_slow(env, VMS, coordinators)
        assert await streams_at_slow_engine(env, VMS) <= 3


async def test_a_slow_engine_is_used_when_the_others_are_full():
    async with rig() as env:
        await send_until_slow(env, ("vm-1",), ("vm-1",))
        env.engine_by_id["dec-2"].capacity = 0
        assert (await env.stream("/digest/last")).status == 200


async def test_a_caller_that_reads_slowly_does_not_make_an_engine_slow(monkeypatch):
    """Guards against engines that are avoided because of their streams' callers."""
    async with rig() as env:
        shared = env.gateway_by_vm["vm-1"].pool_coordinator._shared
        recorded = []
        shared.record_pause = lambda engine, pause, longest: recorded.append(pause)
        env.engine_by_id["dec-1"].pause = env.engine_by_id["dec-2"].pause = 0.02

        async def drain_slowly():
            await asyncio.sleep(0.4)

        monkeypatch.setattr(Reply, "drain", lambda reply: drain_slowly())
        assert (await env.stream()).status == 200
        assert len(recorded) >= 2 and max(recorded) < 0.3


async def test_a_stalled_gateway_does_not_take_its_own_stall_for_slow_engines():
    """Guards against a suspended gateway that has its peers avoid the engines of its streams."""
    async with rig() as env:
        env.engine_by_id["dec-1"].pause = env.engine_by_id["dec-2"].pause = 0.25
        streams = [asyncio.create_task(env.stream(f"/digest/{number}")) for number in range(4)]
        await until(lambda: env.engine_by_id["dec-1"].running, "runs")
        await asyncio.sleep(0.3)
        asyncio.get_running_loop().call_soon(time.sleep, 1.5)
        assert {each.status for each in await asyncio.gather(*streams)} == {200}
        await asyncio.sleep(1.2)
        assert not is_slow(env, "vm-1", "dec-1") and not is_slow(env, "vm-1", "dec-2")


async def test_pauses_of_engines_that_are_not_listed_are_ignored():
    async with rig() as env:
        await env.add_gateway("vm-2")
        meshes = [env.gateway_by_vm[vm].mesh for vm in ("vm-1", "vm-2")]
        await until(lambda: all(each.loads.load_by_vm for each in meshes), "peers")
        relays = meshes[1].relays
        relays.send_to("vm-1", PausesMeasured(POOL, "dec-1", 9, 5.0, 5.0))
        relays.send_to("vm-1", PausesMeasured(POOL, "dec-1", 1, -5.0, float("inf")))
        relays.send_to("vm-1", PausesMeasured(POOL, "dec-2", 1, 5.0, 5.0))
        await until(lambda: is_slow(env, "vm-1", "dec-2"), "valid one")
        assert not is_slow(env, "vm-1", "dec-1")
