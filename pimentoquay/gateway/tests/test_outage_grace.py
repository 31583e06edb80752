"""Engines that leave long after an outage of the store, or beside a failure that is none."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_lost_removals import listed, peers_of
from pimentoquay.platform.store import CONFIGURATION_TOPIC, ENGINE_TOPIC, StoreError
from pimentoquay.policy.engine_list import RELISTING_GRACE_SECONDS
from pimentoquay.standin.platform_store import StoreFault

DRAIN_SECONDS = 2.0


async def seconds_until_removed(env, gateway, engine):
    """Remove an engine's entry; return the seconds until a gateway lists it no more."""
    loop = asyncio.get_running_loop()
    removed_at = loop.time()
    await env.store.put("keyed.servers", engine, b"")
    await until(lambda: engine not in listed(gateway), "removed")
    return loop.time() - removed_at


def fail_reads_of(patch, gateway, topics=(CONFIGURATION_TOPIC, ENGINE_TOPIC)):
    """Let the store refuse the reads of some topics by a gateway."""
    for name in ("read", "read_latest"):
        original = getattr(gateway.feed._store, name)

        async def read(topic, *arguments, _original=original):
            if topic in topics:
                raise StoreError("no answer")
            return await _original(topic, *arguments)

        patch.setattr(gateway.feed._store, name, read)


async def fail_reads(env, gateways, seconds=3.0):
    """Let the store be away until all gateways have failed to read it, and be back for a while."""
    env.store.fault = StoreFault.BUSY
    await asyncio.sleep(seconds)
    assert all(gateway.fleet.list_age > 2.0 for gateway in gateways)
    env.store.fault = StoreFault.NONE
    await until(lambda: all(gateway.fleet.list_age < 1.0 for gateway in gateways), "read")


async def test_a_gateway_that_takes_over_reading_long_after_an_outage_postpones_no_removal(
    monkeypatch,
):
    """Guards against a mark of a past outage that only the next own read clears."""
    async with rig() as env:
        reader = env.gateway_by_vm["vm-1"]
        next_reader = await env.add_gateway("vm-2", seeds=("vm-1:1",))
        await until(lambda: peers_of(next_reader) == {"vm-1"}, "connected")
        with monkeypatch.context() as patch:
            # The list comes from the peer before this gateway tries again.
            fail_reads_of(patch, next_reader)
            await fail_reads(env, [reader, next_reader])
        await asyncio.sleep(RELISTING_GRACE_SECONDS + 0.5)
        await env.kill("vm-1")
        assert await seconds_until_removed(env, next_reader, "dec-1") < DRAIN_SECONDS


async def test_entries_that_lapsed_in_an_outage_are_kept_until_they_can_be_back():
    """Guards against sound engines that are dropped as the store comes back."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        env.store.fault = StoreFault.BUSY
        await asyncio.sleep(3.0)
        await env.store.put("keyed.servers", "dec-1", b"")
        env.store.fault = StoreFault.NONE
        await until(lambda: gateway.fleet.list_age < 0.3, "read")
        assert "dec-1" in listed(gateway)
        await until(lambda: "dec-1" not in listed(gateway), "removed")
        assert gateway.fleet.engine_list._grace_until <= gateway.node.timers.now()


async def test_a_gateway_that_the_store_turns_away_postpones_no_removal_after_that(monkeypatch):
    """Guards against a cut of one gateway that it takes for an outage of the store."""
    async with rig() as env:
        reader = env.gateway_by_vm["vm-1"]
        other = await env.add_gateway("vm-2", seeds=("vm-1:1",))
        await until(lambda: peers_of(other) == {"vm-1"}, "connected")
        with monkeypatch.context() as patch:
            fail_reads_of(patch, reader)
            await asyncio.sleep(4.0)
        assert reader.fleet.list_age < 2.0
        await until(lambda: reader.fleet.own_list_age < 0.3, "read")
        assert await seconds_until_removed(env, reader, "dec-1") < DRAIN_SECONDS


@pytest.mark.parametrize("topic", [CONFIGURATION_TOPIC, ENGINE_TOPIC])
async def test_only_failures_to_read_the_list_of_engines_begin_a_grace(topic, monkeypatch):
    """Guards against a grace that begins anew at each poll while another topic cannot be read."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        with monkeypatch.context() as patch:
            fail_reads_of(patch, gateway, (topic,))
            await asyncio.sleep(3.0)
            if topic == CONFIGURATION_TOPIC:
                assert await seconds_until_removed(env, gateway, "dec-1") < 1.0
        if topic == ENGINE_TOPIC:
            await until(lambda: gateway.fleet.list_age < 0.3, "read")
            assert await seconds_until_removed(env, gateway, "dec-1") >= 1.0
