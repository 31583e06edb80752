"""Gateways among themselves, with so few that relay as tests can start."""

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.messages import encode
from pimentoquay.messages.fleet import PeerLoad, PeerLoads, VmAddress, VmLoad, VmWork
from pimentoquay.policy import mesh_plan
from pimentoquay.policy.memory_forecast import GrowingRun

VMS = tuple(f"vm-{number}" for number in range(1, 8))


@pytest.fixture
def relays(monkeypatch):
    """Let deployments of more than two VMs relay."""
    monkeypatch.setattr(mesh_plan, "FULL_MESH_VMS", 2)


async def start(made):
    for vm in VMS[1:]:
        await made.add_gateway(vm)
    meshes = [made.gateway_by_vm[vm].mesh for vm in VMS]
    await until(lambda: all(len(mesh._load_by_vm) == 6 for mesh in meshes), "all hear all")
    return meshes


def channels(mesh):
    return {channel.peer.vm for channel in mesh._channels()}


def leaves(meshes):
    return [mesh for mesh in meshes if mesh._vm not in mesh.loads.plan.relays]


async def test_loads_reach_all_over_relays_and_most_vms_have_two_channels(relays):
    async with rig() as made:
        meshes = await start(made)
        await until(lambda: all(len(channels(mesh)) == 2 for mesh in leaves(meshes)), "settled")
        first = leaves(meshes)[0]
        key = first._running.take("dec-1", GrowingRun(1000, 0), first._node.timers.now())
        first.note_held_changed()
        others = [mesh for mesh in meshes if mesh is not first]
        await until(lambda: all(mesh._running.held("dec-1", 0.0) for mesh in others), "told")
        first._running.release(key)
        first.note_held_changed()
        await until(lambda: not any(m._running.held("dec-1", 0.0) for m in others), "told again")


async def test_a_configuration_reaches_all_over_relays_and_one_gateway_reads(relays):
    async with rig() as made:
        meshes = await start(made)
        assert [mesh._vm for mesh in meshes if mesh.is_reader()] == ["vm-1"]
        added = route("new", "idempotent", "desk")
        await made.store.put("keyed.op", "config", configuration(7, (*ROUTES, added)))
        fleets = [gateway.fleet for gateway in made.gateway_by_vm.values()]
        await until(lambda: all(f.configuration.version == 7 for f in fleets), "version 7")


async def test_the_end_of_a_relay_cuts_nobody_off(relays):
    async with rig() as made:
        meshes = await start(made)
        relay = sorted(meshes[0].loads.plan.relays)[-1]
        left = [mesh for mesh in meshes if mesh._vm != relay]
        for mesh in left:
            made.network.cut(relay, mesh._vm)
        await until(lambda: all(relay not in mesh._heard_at_by_vm for mesh in left), "lost")
        await until(lambda: all(len(channels(mesh)) >= 2 for mesh in left), "two channels again")
        assert all(len(mesh._heard_at_by_vm) == 5 for mesh in left)
        for mesh in left:
            made.network.heal(relay, mesh._vm)
        await until(lambda: all(len(mesh._heard_at_by_vm) == 6 for mesh in meshes), "back")


async def test_two_gateways_that_have_dialled_each_other_keep_their_channels():
    """Each sends on one of the two; on trouble-3 of pos-printfleet (seed 12) the other one was
    closed as silent and dialled again, 20 times a second over seven gateways."""
    async with rig() as made:
        await made.add_gateway("vm-2")
        meshes = [made.gateway_by_vm[vm].mesh for vm in ("vm-1", "vm-2")]

        def kept():
            return [set(mesh._peers.channels("gateway")) for mesh in meshes]

        await until(lambda: all(len(channels) == 2 for channels in kept()), "both have dialled")
        before = kept()
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 6, "several heartbeats later")
        assert kept() == before


async def test_the_newest_address_of_a_vm_wins_whoever_tells_of_it():
    """Two gateways that know two addresses of one VM do not correct each other for ever."""
    async with rig() as made:
        mesh = made.gateway_by_vm["vm-1"].mesh
        mesh.know((VmAddress("vm-9", "vm-9:2", "hall", 7),))
        mesh.know((VmAddress("vm-9", "vm-9:1", "hall", 6),))
        assert mesh._dialled() == {"vm-9": "vm-9:2"}


async def test_a_load_that_cannot_be_read_is_ignored_and_an_older_one_too():
    async with rig() as made:
        await made.add_gateway("vm-2")
        mesh = made.gateway_by_vm["vm-1"].mesh
        await until(lambda: "vm-2" in mesh._load_by_vm, "heard")
        broken = PeerLoads((PeerLoad("vm-9", 1, 1, b"\xff"), PeerLoad("vm-2", 0, 1, b"")))
        assert mesh.loads.take(broken, "vm-2") == []


def load_of(vm, incarnation, number):
    load = VmLoad(0.0, (), (), 0, 0, False, VmWork(0, 0.0, 0, 0.0))
    return PeerLoads((PeerLoad(vm, incarnation, number, encode(load)),))


async def test_a_vm_that_starts_again_after_its_clock_went_back_is_heard():
    """Incarnations are times of day, and the loads of a lower one are old until the VM is known to
    have ended or to have started again."""
    async with rig() as made:
        loads = made.gateway_by_vm["vm-1"].mesh.loads
        assert loads.take(load_of("vm-9", 2000, 7), "vm-8")
        assert not loads.take(load_of("vm-9", 1000, 1), "vm-8")
        loads.meet("vm-9", 2000)
        assert not loads.take(load_of("vm-9", 1000, 1), "vm-8")
        loads.meet("vm-9", 1000)
        assert loads.take(load_of("vm-9", 1000, 1), "vm-8")
        loads.forget("vm-9")
        assert loads.take(load_of("vm-9", 500, 1), "vm-8")
