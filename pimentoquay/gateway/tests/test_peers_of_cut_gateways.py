"""What becomes of requests over a tunnel when its peer, its engine or its caller ends."""

import asyncio

import pytest

from pimentoquay.gateway.tests.cut_load import Load
from pimentoquay.gateway.tests.rig import model_headers, read_response, rig, until
from pimentoquay.gateway.tests.test_unreachable_engines import gateways
from pimentoquay.standin.platform_engine import Behaviour
from pimentoquay.standin.virtual_links import Cut

pytestmark = pytest.mark.looptime(start=1000)


async def cut_off(env, count=3, how=Cut.REFUSED):
    """Cut vm-1 off from all engines, and wait until it knows."""
    await gateways(env, count)
    env.links.cut("vm-1", how)
    await Load(env, name="cut").run(0.6)
    await until(lambda: env.gateway_by_vm["vm-1"].paths.cut_engines == 5, "known")


def carriers(env):
    """Return the peers that carry tunnels, those with the most first."""
    active = {vm: each.tunnel_server.active for vm, each in env.gateway_by_vm.items()}
    return sorted((vm for vm in active if active[vm]), key=lambda vm: -active[vm])


def set_pace(env, events, pause):
    for engine in env.engine_by_id.values():
        engine.events, engine.pause = events, pause


async def test_streams_over_a_peer_that_is_killed_go_on_over_another():
    async with rig() as env:
        await cut_off(env)
        set_pace(env, 20, 0.05)
        load = Load(env, name="streams", interval=0.02, paths=("/digest/a",))
        sending = asyncio.create_task(load.run(0.3))
        await asyncio.sleep(0.4)
        await env.kill(carriers(env)[0])
        await sending
        assert load.unserved() == []
        assert env.gateway_by_vm["vm-1"].guard.reported_crashes == 0


async def test_a_call_that_may_run_once_is_not_repeated_when_its_peer_is_killed():
    async with rig() as env:
        await cut_off(env)
        for name in ("desk-1", "desk-2"):
            env.engine_by_id[name].behaviour = lambda arrival: Behaviour.MUTE
        tasks = [
            asyncio.create_task(env.send_request(f"/order/{number}", request_id=f"once-{number}"))
            for number in range(6)
        ]
        desks = [env.engine_by_id[name] for name in ("desk-1", "desk-2")]
        await until(lambda: sum(desk.running for desk in desks) == 6, "all run")
        for vm in carriers(env):
            await env.kill(vm)
        responses = await asyncio.gather(*tasks)
        assert {each.status for each in responses} == {502}
        arrivals = [each for desk in desks for each in desk.arrivals]
        ids = [each.headers["pimentoquay-request-id"] for each in arrivals]
        assert all(ids.count(f"once-{number}") == 1 for number in range(6))


async def test_a_stream_that_may_not_be_resumed_is_not_whole_when_its_peer_is_killed():
    async with rig() as env:
        await cut_off(env, 2)
        set_pace(env, 100, 0.05)
        async with env.open("/sheet/a", headers=model_headers()) as exchange:
            await exchange.read_chunk()
            await env.kill("vm-2")
            assert not (await read_response(exchange)).is_whole


@pytest.mark.parametrize("stopped", ["carrier", "cut off"])
async def test_a_planned_stop_of_either_gateway_cuts_off_no_request(stopped):
    async with rig() as env:
        await cut_off(env)
        set_pace(env, 30, 0.05)
        load = Load(env, name="streams", interval=0.05, paths=("/sheet/a", "/look/a"))
        sending = asyncio.create_task(load.run(0.4))
        await asyncio.sleep(0.45)
        vm = carriers(env)[0] if stopped == "carrier" else "vm-1"
        stop = env.stop(vm)
        await sending
        assert load.unserved() == []
        assert load.run_twice() == []
        await stop


async def test_new_requests_use_other_peers_as_soon_as_one_begins_to_stop():
    async with rig() as env:
        await cut_off(env)
        stopped = carriers(env)[0]
        stop = env.stop(stopped)
        await until(lambda: env.gateway_by_vm[stopped].dispatcher.is_draining, "draining")
        granted = env.gateway_by_vm[stopped].tunnel_server.opened
        load = Load(env, name="later", burst=2)
        await load.run(1.0)
        assert load.unserved() == []
        assert env.gateway_by_vm[stopped].tunnel_server.opened == granted
        await stop


async def test_a_caller_that_leaves_ends_the_work_at_the_engine():
    async with rig() as env:
        await cut_off(env)
        set_pace(env, 100, 0.05)
        engines = env.engine_by_id.values()
        async with env.open("/digest/a", headers=model_headers()) as exchange:
            await exchange.read_chunk()
            assert sum(engine.running for engine in engines) == 1
        left_at = asyncio.get_running_loop().time()
        await until(lambda: not any(engine.running for engine in engines), "ended")
        assert asyncio.get_running_loop().time() - left_at < 0.5


async def test_an_engine_that_ends_under_a_request_over_a_peer_leaves_evidence():
    async with rig() as env:
        await cut_off(env)
        for name in ("desk-1", "desk-2"):
            env.engine_by_id[name].deadly_bodies = frozenset((b"deadly",))
        assert (await env.send_request("/order/a", body=b"deadly")).status == 502
        assert env.gateway_by_vm["vm-1"].guard.reported_crashes == 1


async def test_orders_to_engines_are_never_sent_through_a_peer():
    async with rig() as env:
        await cut_off(env)
        gateway = env.gateway_by_vm["vm-1"]
        entry = next(each for each in gateway.fleet.engines() if each.id == "dec-1")
        link = gateway.links.link_to(entry)
        status, _ = await link.call(link.calls.reserve_memory(16, 1.0))
        assert status == 200
        calls = env.engine_by_id["dec-1"].calls
        with pytest.raises(Exception, match="no connection"):
            await link.order(link.calls.change_stage(True, "vm-1", 1), 1.0)
        assert env.engine_by_id["dec-1"].calls == calls


@pytest.mark.parametrize("how", [Cut.REFUSED, Cut.SILENT])
async def test_callers_are_served_when_a_cut_moves_to_the_gateways_that_reached_the_engines(how):
    async with rig() as env:
        await gateways(env, 2)
        load = Load(env, ("vm-1", "vm-2"), interval=0.05, burst=2)
        sending = asyncio.create_task(load.run(14.0))
        moved_at = []
        for number in range(8):
            cut, healed = ("vm-1", "vm-2") if number % 2 else ("vm-2", "vm-1")
            env.links.heal(healed)
            env.links.cut(cut, how)
            moved_at.append(asyncio.get_running_loop().time())
            await asyncio.sleep(1.7)
        await sending
        for at in moved_at:
            assert load.unserved(after=at + 1.0, before=at + 1.65) == []


async def test_a_gateway_that_comes_back_at_another_address_is_used_as_a_peer():
    async with rig() as env:
        await gateways(env, 2)
        await env.kill("vm-2")
        await gateways(env, 2)
        await asyncio.sleep(0.5)
        env.links.cut("vm-1", Cut.REFUSED)
        cut_at = asyncio.get_running_loop().time()
        load = Load(env)
        await load.run(2.0)
        assert load.unserved(after=cut_at + 1.0) == []
