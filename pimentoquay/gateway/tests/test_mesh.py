"""Messages between gateways; relays are used from three VMs on, to keep the tests small."""

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.messages import encode
from pimentoquay.messages.fleet import PeerLoad, PeerLoads, VmAddress, VmLoad, VmWork
from pimentoquay.policy import mesh_plan
from pimentoquay.policy.memory_forecast import GrowingRun

VMS = tuple(f"vm-{number}" for number in range(1, 8))


@pytest.fixture
def relays(monkeypatch):
    """Use relays in deployments of more than two VMs."""
    monkeypatch.setattr(mesh_plan, "FULL_MESH_VMS", 2)


async def start_gateways(env):
    for vm in VMS[1:]:
        await env.add_gateway(vm)
    meshes = [env.gateway_by_vm[vm].mesh for vm in VMS]
    await until(lambda: all(len(mesh._load_by_vm) == 6 for mesh in meshes), "all hear all")
    return meshes


def channels(mesh):
    return {channel.peer.vm for channel in mesh._channels()}


def leaves(meshes):
    return [mesh for mesh in meshes if mesh._vm not in mesh.load_relay.plan.relays]


async def test_relays_forward_loads_and_other_vms_have_two_channels(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        await until(lambda: all(len(channels(mesh)) == 2 for mesh in leaves(meshes)), "settled")
        first = leaves(meshes)[0]
        key = first._run_ledger.take("dec-1", GrowingRun(1000, 0), first._node.timers.now())
        first.schedule_load_update()
        others = [mesh for mesh in meshes if mesh is not first]
        await until(lambda: all(mesh._run_ledger.held("dec-1", 0.0) for mesh in others), "told")
        first._run_ledger.release(key)
        first.schedule_load_update()
        await until(lambda: not any(m._run_ledger.held("dec-1", 0.0) for m in others), "told again")


async def test_relays_forward_a_configuration_and_one_gateway_polls(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        assert [mesh._vm for mesh in meshes if mesh.is_reader()] == ["vm-1"]
        added = route("new", "idempotent", "desk")
        await env.store.put("keyed.op", "config", configuration(7, (*ROUTES, added)))
        fleets = [gateway.fleet for gateway in env.gateway_by_vm.values()]
        await until(lambda: all(f.configuration.version == 7 for f in fleets), "version 7")


async def test_the_loss_of_a_relay_disconnects_no_other_gateway(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        relay = sorted(meshes[0].load_relay.plan.relays)[-1]
        remaining = [mesh for mesh in meshes if mesh._vm != relay]
        for mesh in remaining:
            env.network.cut(relay, mesh._vm)
        await until(
            lambda: all(relay not in mesh._last_seen_at_by_vm for mesh in remaining), "lost"
        )
        await until(
            lambda: all(len(channels(mesh)) >= 2 for mesh in remaining), "two channels again"
        )
        assert all(len(mesh._last_seen_at_by_vm) == 5 for mesh in remaining)
        for mesh in remaining:
            env.network.heal(relay, mesh._vm)
        await until(lambda: all(len(mesh._last_seen_at_by_vm) == 6 for mesh in meshes), "back")


async def test_two_gateways_that_have_dialled_each_other_keep_both_channels():
    """Each gateway sends on only one of the two channels. The other one was closed as silent and
    dialled again, 20 times a second over seven gateways (pos-printfleet, trouble-3, seed 12)."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        meshes = [env.gateway_by_vm[vm].mesh for vm in ("vm-1", "vm-2")]

        def open_channels():
            return [set(mesh._peers.channels("gateway")) for mesh in meshes]

        await until(
            lambda: all(len(channels) == 2 for channels in open_channels()), "both have dialled"
        )
        before = open_channels()
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "several heartbeats later")
        assert open_channels() == before


async def test_the_newest_address_of_a_vm_is_kept():
    """Guards against two gateways that replace each other's address of a VM without end."""
    async with rig() as env:
        mesh = env.gateway_by_vm["vm-1"].mesh
        mesh.update_addresses((VmAddress("vm-9", "vm-9:2", "hall", 7),))
        mesh.update_addresses((VmAddress("vm-9", "vm-9:1", "hall", 6),))
        assert mesh._dial_addresses() == {"vm-9": "vm-9:2"}


async def test_invalid_and_outdated_loads_are_ignored():
    async with rig() as env:
        await env.add_gateway("vm-2")
        mesh = env.gateway_by_vm["vm-1"].mesh
        await until(lambda: "vm-2" in mesh._load_by_vm, "heard")
        broken = PeerLoads((PeerLoad("vm-9", 1, 1, b"\xff"), PeerLoad("vm-2", 0, 1, b"")))
        assert mesh.load_relay.receive(broken, "vm-2") == []


def load_of(vm, incarnation, number):
    load = VmLoad(0.0, (), (), 0, 0, False, VmWork(0, 0.0, 0, 0.0))
    return PeerLoads((PeerLoad(vm, incarnation, number, encode(load)),))


async def test_loads_of_a_vm_restarted_with_an_earlier_clock_are_accepted():
    """An incarnation is a start time, so it may be lower after a restart. Its loads are ignored as
    outdated until the VM is known to have ended or restarted."""
    async with rig() as env:
        load_relay = env.gateway_by_vm["vm-1"].mesh.load_relay
        assert load_relay.receive(load_of("vm-9", 2000, 7), "vm-8")
        assert not load_relay.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_relay.update_incarnation("vm-9", 2000)
        assert not load_relay.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_relay.update_incarnation("vm-9", 1000)
        assert load_relay.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_relay.forget_vm("vm-9")
        assert load_relay.receive(load_of("vm-9", 500, 1), "vm-8")
