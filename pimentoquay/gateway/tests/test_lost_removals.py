"""Engines that leave while the gateway that reads the store starts again."""

import asyncio
from dataclasses import replace

import pytest

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.messages.fleet import EngineRecord, FleetCopy
from pimentoquay.policy.engine_list import RELISTING_GRACE_SECONDS
from pimentoquay.standin.platform_store import StoreFault

UNREACHABLE = "127.0.0.1:1"


def listed(gateway):
    return {each.id for each in gateway.fleet.engines()}


def peers_of(gateway):
    return set(gateway.mesh.presence.last_seen_at_by_vm)


async def add_peers(env, *vms):
    """Add gateways that reach the store only through the first one."""
    for vm in vms:
        await env.add_gateway(vm, store_address=UNREACHABLE, seeds=("vm-1:1",))
    everyone = set(env.gateway_by_vm)
    for vm, gateway in env.gateway_by_vm.items():
        await until(lambda g=gateway, own=vm: peers_of(g) >= everyone - {own}, "connected")


async def let_leave(env, engine):
    """Remove an engine's entry, as one that never says that it drains."""
    await env.store.put("keyed.servers", engine, b"")


@pytest.mark.parametrize("seconds", [0.0, 0.5])
async def test_an_engine_that_leaves_while_the_reader_is_down_is_used_by_no_gateway(seconds):
    """Guards against a removal that no gateway reads, as the new reader's list lacks the engine."""
    async with rig() as env:
        await add_peers(env, "vm-2", "vm-3")
        await env.kill("vm-1")
        await let_leave(env, "dec-1")
        await asyncio.sleep(seconds)
        reader = await env.add_gateway("vm-1", seeds=("vm-2:1", "vm-3:1"))
        for gateway in env.gateway_by_vm.values():
            await until(lambda g=gateway: "dec-1" not in listed(g), "removed")
        assert "dec-2" in listed(reader)
        for vm in ("vm-1", "vm-2", "vm-3"):
            assert (await env.stream(vm=vm)).status == 200
        assert not env.engine_by_id["dec-1"].arrivals


async def test_gateways_behind_relays_are_told_of_an_engine_that_has_left(relays):
    """Guards against a removal that ends at a relay which does not know the engine."""
    async with rig() as env:
        vms, _ = await env.add_gateways_behind_relays()
        relay = next(vm for vm in vms if vm in env.gateway_by_vm["vm-1"].mesh.plan.relays)
        mesh = env.gateway_by_vm[relay].mesh
        list_of = mesh._fleet.engine_list
        # The relay has started again and read a list without the engine.
        list_of._known_by_id.pop("dec-1")
        list_of._position_by_id.pop("dec-1")
        list_of._usable_position_by_id.pop("dec-1")
        mesh._fleet.apply_engine_snapshot((), 0)
        sent = []
        mesh._sender.send = lambda channels, message: sent.append(message)
        source = mesh._channels()[0]
        removal = EngineRecord("dec-1", 10_000, b"")
        mesh._dispatch(FleetCopy(-1, b"", (removal,), -1, ()), _Envelope(source))
        assert [message.engines for message in sent] == [(removal,)]
        mesh._dispatch(FleetCopy(-1, b"", (removal,), -1, ()), _Envelope(source))
        assert len(sent) == 1


class _Envelope:
    def __init__(self, channel):
        self.channel = channel


async def test_a_gateway_that_was_cut_off_is_told_what_has_left_meanwhile():
    """Guards against the copy of a gateway that comes back with an engine that has left."""
    async with rig() as env:
        await add_peers(env, "vm-2")
        stale = env.gateway_by_vm["vm-2"].fleet.snapshot()
        await let_leave(env, "dec-1")
        reader = env.gateway_by_vm["vm-1"]
        await until(lambda: "dec-1" not in listed(reader), "read")
        reader.fleet.engine_list.expire(reader.node.timers.now() + 60.0)
        sent = []
        reader.mesh._sender.send = lambda channels, message: sent.append(message)
        reader.mesh._dispatch(stale, _Envelope(reader.mesh._channels()[0]))
        assert "dec-1" not in listed(reader)
        assert {record.engine for message in sent for record in message.engines} == {"dec-1"}
        assert all(not record.value for message in sent for record in message.engines)


async def test_a_removal_found_by_a_complete_list_is_told_at_once():
    """Guards against a removal that is told only after the next pause between two reads."""
    async with rig() as env:
        await add_peers(env, "vm-2")
        reader, peer = env.gateway_by_vm["vm-1"], env.gateway_by_vm["vm-2"]
        reader.feed._polling_schedule = replace(
            reader.feed._polling_schedule, period=30.0, stale_age=60.0
        )
        await asyncio.sleep(1.0)
        await let_leave(env, "dec-1")
        await reader.feed.read_engines()
        reader.feed._publish_removals(has_read=True)
        await until(lambda: "dec-1" not in listed(peer), "removed")


async def test_an_engine_that_is_listed_again_is_not_told_to_be_gone():
    """Guards against a removal that takes a sound engine from all peers."""
    async with rig(start_gateway=False) as env:
        fleet = Fleet(lambda: 0.0)
        engine = env.engine_by_id["dec-1"]
        fleet.apply_engine_snapshot((EngineRecord("dec-1", 3, engine.entry()),), 4)
        fleet.apply_engine_records((EngineRecord("dec-1", 5, b""),))
        fleet.apply_engine_records((EngineRecord("dec-1", 6, engine.entry()),))
        fleet.record_list_read(7)
        assert fleet.pop_removals() == ()
        fleet.apply_engine_records((EngineRecord("dec-1", 8, b""),))
        assert fleet.pop_removals() == (EngineRecord("dec-1", 8, b""),)


async def test_a_removal_that_a_gateway_postpones_is_passed_on_and_told_again():
    """Guards against peers that get an engine from the copy of a gateway that keeps it a while."""
    async with rig() as env:
        await add_peers(env, "vm-2")
        peer = env.gateway_by_vm["vm-2"]
        now = peer.node.timers.now
        peer.fleet.engine_list.start_relisting_grace(now())
        began_at = now()
        await let_leave(env, "dec-1")
        await until(lambda: "dec-1" not in listed(env.gateway_by_vm["vm-1"]), "read")
        published: list[FleetCopy] = []
        peer.feed._publish = published.append
        assert "dec-1" in listed(peer)
        await until(lambda: "dec-1" not in listed(peer), "removed")
        assert now() - began_at >= RELISTING_GRACE_SECONDS
        await until(lambda: published, "told")
        assert [record.engine for record in published[0].engines] == ["dec-1"]


async def test_no_sound_engine_is_lost_while_gateways_start_again():
    """Guards against removals that are made of a list which is older than an engine's record."""
    async with rig() as env:
        await add_peers(env, "vm-2")
        for _ in range(3):
            await env.kill("vm-1")
            reader = await env.add_gateway("vm-1", seeds=("vm-2:1",))
            for engine in ("dec-1", "dec-2", "desk-1"):
                entry = env.engine_by_id[engine].entry()
                await env.store.put("keyed.servers", engine, entry)
            await until(lambda g=reader: peers_of(g) == {"vm-2"}, "connected")
            everyone = {engine.id for engine in env.engine_by_id.values()}
            assert listed(reader) == listed(env.gateway_by_vm["vm-2"]) == everyone
        assert env.store.fault is StoreFault.NONE
