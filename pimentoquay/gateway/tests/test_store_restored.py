"""A store that comes back from a copy that is some seconds old."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.messages.fleet import FleetCopy
from pimentoquay.platform.store import ORDER_TOPIC, VM_TOPIC, StoreClient, StoreError
from pimentoquay.policy.store_position import era_of, position_of
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import PlatformStore

NEW_ROUTE = route("new", "idempotent", "desk")


def engine_ids(gateway):
    return {engine.id for engine in gateway.fleet.engines()}


async def until_restored(env, *vms):
    env.store.restore()
    era = env.store.era
    gateways = [env.gateway_by_vm[vm] for vm in vms or ("vm-1",)]
    await until(lambda: all(each.store.era.value == era for each in gateways), "era known")


async def test_a_configuration_never_goes_back_and_the_next_one_is_applied():
    async with rig() as env:
        env.store.make_copy()
        await env.store.put("keyed.op", "config", configuration(7, (*ROUTES, NEW_ROUTE)))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 7, "version 7")
        await until_restored(env)
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "read again")
        assert fleet.configuration.version == 7
        assert (await env.send_request("/new/a")).status == 200
        await env.store.put("keyed.op", "config", configuration(8))
        await until(lambda: fleet.configuration.version == 8, "version 8")


async def test_a_record_at_an_offset_that_was_given_out_again_is_read():
    """The offset at which the next read would start names another record after the restoration, so
    a read from there is answered without an error and omits what was written before it.
    """
    async with rig() as env:
        env.store.make_copy()
        for engine_id in ("desk-3", "desk-4"):
            await env.add_engine(PlatformEngine(engine_id, "desk"))
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: "desk-4" in engine_ids(gateway), "desk-4")
        env.store.restore()
        await env.add_engine(PlatformEngine("desk-5", "desk"))
        for _ in range(6):
            await env.store.put("keyed.servers", "desk-2", env.engine_by_id["desk-2"].entry())
        await until(lambda: "desk-5" in engine_ids(gateway), "desk-5")
        await until(lambda: {"desk-3", "desk-4"}.isdisjoint(engine_ids(gateway)), "not listed")


async def test_an_engine_that_had_left_or_was_draining_is_not_used_again():
    async with rig() as env:
        env.store.make_copy()
        drained = env.engine_by_id["desk-2"]
        await env.store.put("keyed.servers", "desk-1", b"")
        await env.store.put("keyed.servers", "desk-2", drained.entry("draining"))
        gateway = env.gateway_by_vm["vm-1"]
        fleet = gateway.fleet
        await until(lambda: fleet.accepting_engines("desk") == (), "both gone")
        await until_restored(env)
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "read again")
        assert fleet.accepting_engines("desk") == ()
        assert (await env.send_request("/look/a")).status == 503


async def test_a_gateway_that_started_after_the_restoration_takes_newer_records_from_its_peers():
    async with rig() as env:
        env.store.make_copy()
        drained = env.engine_by_id["desk-1"]
        await env.store.put("keyed.op", "config", configuration(7, (*ROUTES, NEW_ROUTE)))
        await env.store.put("keyed.servers", "desk-1", drained.entry("draining"))
        first = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: first.configuration.version == 7, "version 7")
        await until(lambda: len(first.accepting_engines("desk")) == 1, "draining")
        await until_restored(env)
        second = (await env.add_gateway("vm-2")).fleet
        await until(
            lambda: [each.id for each in second.accepting_engines("desk")] == ["desk-2"], "told"
        )
        assert second.configuration is not None and second.configuration.version == 7


async def test_peers_that_do_not_read_the_store_learn_the_era_and_addresses_are_written_again():
    async with rig() as env:
        second = await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        third = await env.add_gateway("vm-3")
        await until(lambda: third.mesh.gateway_count == 3, "all known")
        env.store.make_copy()
        env.store.drop_key(VM_TOPIC, "vm-3")
        env.store.make_copy()
        await until_restored(env, "vm-1", "vm-2", "vm-3")
        assert second.store.calls > 0
        await until(lambda: "vm-3" in env.store._newest_by_topic[VM_TOPIC], "written again")


async def test_requests_are_served_while_the_store_is_restored():
    async with rig() as env:
        env.store.make_copy()
        env.store.restore()
        statuses = []
        for number in range(10):
            statuses.append((await env.send_request(f"/order/{number}")).status)
            statuses.append((await env.stream(f"/sheet/{number}")).status)
            await asyncio.sleep(0.02)
        assert set(statuses) == {200}


@pytest.fixture
async def served():
    store = PlatformStore()
    client = StoreClient(await store.serve())
    yield store, client
    client.close()
    await store.close()


async def test_a_claim_does_not_survive_a_restoration_though_its_next_offset_is_free(served):
    """A holds the claim at offset 1. The copy lacks it, so B gets offset 1 too, and the offset that
    A would renew at is free: both would hold the claim, with fencing tokens out of order.
    """
    store, client = served
    await store.put(ORDER_TOPIC, "holder", b"vm-0")
    store.make_copy()
    end = await client.read_end_position(ORDER_TOPIC)
    fence = await client.put_at(ORDER_TOPIC, end, "holder", b"A")
    store.restore()
    other = StoreClient(client.address)
    other_end = await other.read_end_position(ORDER_TOPIC)
    other_fence = await other.put_at(ORDER_TOPIC, other_end, "holder", b"B")
    other.close()
    assert await client.put_at(ORDER_TOPIC, fence + 1, "holder", b"A") is None
    assert other_fence > fence
    assert await client.put_at(ORDER_TOPIC, fence + 1, "holder", b"A") is None
    assert era_of(await client.read_end_position(ORDER_TOPIC)) == 2


async def test_a_response_of_an_earlier_era_changes_nothing(served):
    store, client = served
    store.era = 3
    await client.read_latest("keyed.op")
    store.era = 2
    with pytest.raises(StoreError, match="era 2"):
        await client.read_latest("keyed.op")
    assert client.era.value == 3


async def test_a_new_holder_waits_for_the_lease_if_the_claims_were_lost_with_the_copy():
    async with rig(start_gateway=False) as env:
        env.store.era = 2
        gateway = await env.add_gateway()
        claim = await gateway.stage_controller._make_claim()
        assert claim is not None and claim.fence == position_of(2, 0)
        assert claim.may_order_at >= gateway.node.timers.now() + 3.0


async def test_the_era_is_passed_on_without_a_changed_engine():
    async with rig() as env:
        second = await env.add_gateway("vm-2")
        sent: list[FleetCopy] = []
        for gateway in (env.gateway_by_vm["vm-1"], second):
            gateway.feed._publish = sent.append
        env.store.make_copy()
        env.store.restore()
        await until(
            lambda: any(era_of(each.engines_position) == 2 for each in sent),
            "published",
        )
