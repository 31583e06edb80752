"""Streams that coordinators place; relays are used from three VMs on, to keep the tests small."""

import asyncio

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy import pools
from pimentoquay.standin.platform_engine import PlatformEngine

VMS = tuple(f"vm-{number}" for number in range(1, 7))
POOL = PoolKey("llm", "hall", 0)
PROMPT = 12_000
"""Prompt of the streams; with 4000 expected tokens, four of them fill an engine."""


async def start_gateways(env):
    for vm in VMS[1:]:
        await env.add_gateway(vm)
    await until(lambda: coordinators(env) and all(knows_pool(env, vm) for vm in VMS), "summaries")


def coordinators(env):
    """Return the coordinator of the pool by the view of each VM."""
    return {env.gateway_by_vm[vm].mesh.coordinator_of(POOL) for vm in VMS}


def knows_pool(env, vm):
    client = env.gateway_by_vm[vm].pool_client
    return client.is_active and POOL in client._known_by_key and len(coordinators(env)) == 1


def placement(env, vm):
    return env.gateway_by_vm[vm].pool_coordinator._pool_by_key[POOL].placement


def stream(env, vm, number):
    return asyncio.create_task(env.stream(f"/digest/{vm}-{number}", vm=vm))


async def test_streams_of_all_gateways_are_placed_by_one_coordinator(relays):
    async with rig() as env:
        await start_gateways(env)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.1
        streams = [stream(env, vm, number) for vm in VMS for number in range(2)]
        (coordinator,) = coordinators(env)
        await until(lambda: sum(env.engine_by_id[n].running for n in ("dec-1", "dec-2")), "runs")
        responses = await asyncio.gather(*streams)
        assert {each.status for each in responses} == {200}
        assert all(each.is_whole for each in responses)
        runs = {name: len(env.engine_by_id[name].arrivals) for name in ("dec-1", "dec-2")}
        assert runs == {"dec-1": 6, "dec-2": 6}
        held = placement(env, coordinator).ledger
        await until(lambda: not (held.held("dec-1", 0.0) or held.held("dec-2", 0.0)), "released")


async def test_prompts_are_prefilled_at_the_granted_engine(relays):
    async with rig() as env:
        await env.add_engine(PlatformEngine("pre-2", "llm", stage="prefill"))
        await start_gateways(env)
        fleets = [gateway.fleet for gateway in env.gateway_by_vm.values()]
        await until(lambda: all(len(f.accepting_engines("llm")) == 4 for f in fleets), "listed")
        responses = await asyncio.gather(*(stream(env, vm, n) for vm in VMS for n in range(2)))
        assert {each.status for each in responses} == {200}
        prefills = [len(env.engine_by_id[name].arrivals) for name in ("pre-1", "pre-2")]
        assert min(prefills) >= 3


async def test_another_coordinator_takes_over_with_the_reports_of_the_gateways(relays):
    async with rig() as env:
        await start_gateways(env)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 1.2
        (old,) = coordinators(env)
        others = [vm for vm in VMS if vm != old]
        running = [stream(env, vm, 0) for vm in others]
        await until(lambda: sum(env.engine_by_id[n].running for n in ("dec-1", "dec-2")) == 5, "5")
        for vm in others:
            env.network.cut(old, vm)

        def successor():
            return {env.gateway_by_vm[vm].mesh.coordinator_of(POOL) for vm in others}

        await until(lambda: old not in successor() and len(successor()) == 1, "replaced")

        def known_runs():
            pools = [env.gateway_by_vm[vm].pool_coordinator._pool_by_key for vm in successor()]
            if len(pools) != 1 or POOL not in pools[0]:
                return 0
            ledger = pools[0][POOL].placement.ledger
            return sum(len(ledger.runs_at(name, 0.0)) for name in ("dec-1", "dec-2"))

        await until(lambda: known_runs() == 5, "all runs are reported")
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


async def test_a_stream_is_served_though_its_coordinator_is_cut_off(relays):
    async with rig() as env:
        await start_gateways(env)
        (old,) = coordinators(env)
        others = [vm for vm in VMS if vm != old]
        for vm in others:
            env.network.cut(old, vm)
        responses = await asyncio.gather(*(stream(env, vm, 0) for vm in others))
        assert {each.status for each in responses} == {200}


async def test_a_coordinator_that_drains_is_replaced_while_it_still_answers(relays):
    async with rig() as env:
        await start_gateways(env)
        (old,) = coordinators(env)
        env.gateway_by_vm[old].mesh.update_own_state(is_draining=True)
        others = [env.gateway_by_vm[vm].mesh for vm in VMS if vm != old]
        await until(lambda: all(each.coordinator_of(POOL) != old for each in others), "replaced")
        responses = await asyncio.gather(*(stream(env, vm, 0) for vm in VMS))
        assert {each.status for each in responses} == {200}


async def test_all_memory_is_held_where_no_coordinator_answers(relays):
    """Gateways know only their own streams then, so the engine has to know all that is needed."""
    async with rig() as env:
        await start_gateways(env)
        for vm in VMS:
            env.gateway_by_vm[vm].mesh.relays.send_to = lambda target, message: None
        held: list[int] = []
        for name in ("dec-1", "dec-2"):
            engine = env.engine_by_id[name]
            engine._create_hold = record_hold(engine._create_hold, held)
        assert (await stream(env, "vm-2", 0)).status == 200
        need = 5000 + 4000
        assert held[0] >= need


def record_hold(create_hold, held):
    def create(tokens, reply):
        held.append(tokens)
        create_hold(tokens, reply)

    return create


async def test_an_engine_that_refuses_granted_memory_is_replaced(relays):
    async with rig() as env:
        await start_gateways(env)
        env.engine_by_id["dec-1"].capacity = 0
        responses = [await stream(env, vm, 0) for vm in VMS]
        assert {each.status for each in responses} == {200}
        assert env.engine_by_id["dec-1"].arrivals == []


async def test_a_coordinator_forgets_what_it_knew_before_it_was_suspended(relays):
    async with rig() as env:
        await start_gateways(env)
        (vm,) = coordinators(env)
        coordinator = env.gateway_by_vm[vm].pool_coordinator
        before = placement(env, vm)
        coordinator._ticked_at_boot -= 4.0
        await until(
            lambda: POOL in coordinator._pool_by_key and placement(env, vm) is not before, "anew"
        )
        assert not placement(env, vm).is_settled(coordinator._node.timers.now())


async def test_pools_do_not_change_when_an_engine_drains(relays, monkeypatch):
    """Gateways formed pools from the engines that accept work and coordinators from all, so that
    they named different pools while an engine was draining."""
    async with rig() as env:
        await start_gateways(env)
        monkeypatch.setattr(pools, "ENGINES_PER_POOL", 1)
        fleet = env.gateway_by_vm["vm-2"].fleet
        before = fleet.pools("llm").keys()
        drained = env.engine_by_id["dec-1"]
        await env.store.put("keyed.servers", "dec-1", drained.entry("draining"))
        await until(lambda: len(fleet.accepting_engines("llm")) == 2, "draining")
        assert fleet.pools("llm").keys() == before
        # The pools of the accepting engines would be others, which is what this guards against.
        assert pools.pools_of(fleet.accepting_engines("llm")).keys() != before


async def test_a_grant_is_dropped_when_its_engine_refuses_the_memory(relays, monkeypatch):
    """Each try had a key of its own, so the coordinator did not find the grant that had failed."""
    async with rig() as env:
        await start_gateways(env)
        (vm,) = coordinators(env)
        pool = placement(env, vm)
        keys: list[tuple[str, str]] = []
        granted: list[tuple[str, str]] = []
        record_full, grant = pool.record_full, pool.grant

        def record_refused(key, engine_id, now):
            keys.append(key)
            record_full(key, engine_id, now)

        def record_granted(key, *rest):
            granted.append(key)
            return grant(key, *rest)

        monkeypatch.setattr(pool, "record_full", record_refused)
        monkeypatch.setattr(pool, "grant", record_granted)
        env.engine_by_id["dec-1"].capacity = 0
        for number in range(4):
            assert (await stream(env, "vm-3", number)).status == 200
        assert keys and all(key in granted for key in keys)


async def test_waiting_streams_are_placed_when_memory_is_released_or_their_callers_leave(relays):
    async with rig() as env:
        await start_gateways(env)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.2
        (coordinator,) = coordinators(env)
        streams = [stream(env, vm, number) for vm in VMS for number in range(3)]
        pool = placement(env, coordinator)
        await until(lambda: pool.has_waiting, "some wait")
        left = streams.pop()
        left.cancel()
        responses = await asyncio.gather(*streams)
        assert {each.status for each in responses} <= {200, 503}
        assert sum(each.status == 200 for each in responses) >= 12
        await until(lambda: not pool.has_waiting, "none waits")
        await until(lambda: not pool._grant_by_key, "no grant is left")
