"""Gateways of a deployment of the size to design for that meet each other."""

import asyncio
from collections.abc import Callable

from pimentoquay.bench.fleet_copy_cost import DESIGN_ENGINES, FIRST_POSITION, engine_records
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.messages.fleet import EngineRecord
from pimentoquay.platform.store import KeyedRecord, StoreClient
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.standin.platform_store import StoreFault

WAIT_SECONDS = 20.0
NO_STORE = "127.0.0.1:1"


async def as_soon_as(condition: Callable[[], bool]) -> None:
    """Wait for a condition, looking at each turn of the event loop."""
    async with asyncio.timeout(WAIT_SECONDS):
        for _ in iter(condition, True):
            await asyncio.sleep(0)


async def test_a_gateway_that_connects_gets_the_whole_list_before_it_is_ready():
    """In one message, the list of 2,795 engines ended each gateway to which a peer connected."""
    async with rig() as env:
        fleet = env.gateway_by_vm["vm-1"].fleet
        fleet.apply_engine_records(engine_records(DESIGN_ENGINES))
        listed = len(fleet.engines())
        gateway = await env.add_gateway(
            "vm-2", store_address=NO_STORE, seeds=("vm-1:1",), wait=False
        )
        await until(lambda: gateway.fleet.engines() or env.has_ended("vm-1"), "a part came")
        assert not env.has_ended("vm-1")
        await as_soon_as(lambda: gateway.dispatcher.is_ready)
        assert len(gateway.fleet.engines()) == listed
        assert (await env.send_request("/look/a", vm="vm-2")).status == 200


async def test_a_list_that_is_read_from_the_store_reaches_peers_that_are_connected():
    """A gateway sends what it reads first, as one that starts may have peers already."""
    async with rig() as env:
        gateway = await env.add_gateway("vm-2", store_address=NO_STORE, seeds=("vm-1:1",))
        records = tuple(
            KeyedRecord(each.engine, each.value, each.position)
            for each in engine_records(DESIGN_ENGINES)
        )
        feed = env.gateway_by_vm["vm-1"].feed
        await feed._apply_engines(records, FIRST_POSITION + DESIGN_ENGINES, False)
        await until(
            lambda: len(gateway.fleet.engines()) >= DESIGN_ENGINES or env.has_ended("vm-1"), "all"
        )
        assert not env.has_ended("vm-1")


async def test_notices_longer_than_a_message_reach_a_gateway_that_connects():
    async with rig() as env:
        starts = [EngineStart(f"engine-of-the-fleet-{number}", number) for number in range(200_000)]
        env.gateway_by_vm["vm-1"].fleet.notices.record_leaving(starts, 0.0)
        gateway = await env.add_gateway("vm-2", wait=False)
        notices = gateway.fleet.notices

        def are_told():
            # If the process stands still, the channel is lost with parts of the list on it, and the
            # last notices arrive on another one before those.
            return notices.is_leaving(starts[-1]) and len(notices.leaving) >= len(starts)

        await until(lambda: are_told() or env.has_ended("vm-1"), "told")
        assert not env.has_ended("vm-1")
        different = set(starts).symmetric_difference(notices.leaving)
    assert not different, f"{len(different)} of {len(starts)} notices"


async def test_a_gateway_with_a_part_of_the_list_that_reads_the_store_tells_its_peers_all():
    """It told them only what the part did not hold, and that their lists were complete."""
    async with rig(start_gateway=False) as env:
        latest = await StoreClient(env.store_address).read_latest("keyed.servers")
        env.store.fault = StoreFault.BUSY
        reader = await env.add_gateway("vm-1", wait=False)
        gateway = await env.add_gateway(
            "vm-2", store_address=NO_STORE, seeds=("vm-1:1",), wait=False
        )
        await until(lambda: gateway.peers.channels("gateway"), "connected")
        part = [each for each in latest.records if each.key in ("desk-1", "dec-1")]
        reader.fleet.apply_engine_records(
            tuple(EngineRecord(each.key, each.position, each.value or b"") for each in part)
        )
        env.store.fault = StoreFault.NONE
        await as_soon_as(lambda: gateway.dispatcher.is_ready)
        assert {each.id for each in gateway.fleet.engines()} == set(env.engine_by_id)


async def test_the_streams_of_a_large_fleet_are_stored_and_loaded():
    """They were one record, which the store refused until they were too old to be written."""
    async with rig() as env:
        first = env.gateway_by_vm["vm-1"]
        keys = [number.to_bytes(8, "big") for number in range(60_000)]
        first.origins._store_later({("llm", "v1"): keys})
        await until(lambda: not len(first.origins.batches), "written")
        second = await env.add_gateway("vm-2", seeds=())
        await until(lambda: second.origins.known_streams >= len(keys), "loaded")
