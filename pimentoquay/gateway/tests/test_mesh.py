"""Messages between gateways; relays are used from three VMs on, to keep the tests small."""

import asyncio

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.kernel import Envelope
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.messages import MAX_FRAME_BYTES, encode
from pimentoquay.messages.fleet import (
    FleetCopy,
    PeerLoad,
    PeerLoads,
    StageOrdered,
    VmAddress,
    VmLoad,
    VmWork,
)
from pimentoquay.messages.pools import Bundle, ChannelAlive
from pimentoquay.messages.streams import VersionStreams
from pimentoquay.policy.store_position import position_of

VMS = tuple(f"vm-{number}" for number in range(1, 8))


async def start_gateways(env):
    for vm in VMS[1:]:
        await env.add_gateway(vm)
    meshes = [env.gateway_by_vm[vm].mesh for vm in VMS]
    await until(lambda: all(hears_all_relays(mesh) for mesh in meshes), "all hear all relays")
    return meshes


def hears_all_relays(mesh):
    return mesh.gateway_count == len(VMS) and mesh.relays.live_relays() == mesh.plan.relays


def channels(mesh):
    return {channel.peer.vm for channel in mesh._channels()}


def leaves(meshes):
    return [mesh for mesh in meshes if mesh._vm not in mesh.plan.relays]


async def test_relays_forward_messages_to_single_vms_and_other_vms_have_two_channels(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        await until(lambda: all(len(channels(mesh)) == 2 for mesh in leaves(meshes)), "settled")
        received = []
        for mesh in meshes:
            mesh.relays.receive_routed = lambda source, message, vm=mesh._vm: received.append(
                (source, vm, message)
            )
        for sender in leaves(meshes):
            for target in meshes:
                received.clear()
                sender.relays.send_to(target._vm, ChannelAlive())
                await until(lambda: received, "delivered")
                assert received == [(sender._vm, target._vm, ChannelAlive())]
                target.relays.send_to(sender._vm, ChannelAlive())
                await until(lambda: len(received) == 2, "replied")


async def test_a_message_to_a_vm_that_is_gone_is_not_forwarded_for_ever(relays):
    """Two relays that each remembered the other as the way to it sent it to and fro without end."""
    async with rig() as env:
        meshes = await start_gateways(env)
        forwarded = []
        for mesh in meshes:
            mesh.relays._hop_by_source["vm-9"] = min(mesh.plan.relays - {mesh._vm})
            send = mesh.relays._send_routed

            def record(message, came_from="", send=send):
                forwarded.append(message)
                send(message, came_from)

            mesh.relays._send_routed = record
        for mesh in meshes:
            forwarded.clear()
            mesh.relays.send_to("vm-9", ChannelAlive())
            await until(lambda: forwarded, "sent")
            await asyncio.sleep(0.1)
            assert len(forwarded) <= 4


async def test_an_unexpected_message_in_a_bundle_is_ignored(relays):
    """It ended the process, as only types that are subscribed to reach the mesh otherwise."""
    async with rig() as env:
        meshes = await start_gateways(env)
        first, second = leaves(meshes)[0], max(meshes[0].plan.relays)
        sender = env.gateway_by_vm[second].mesh
        bundle = Bundle((encode(load_of("vm-9", 1, 1)), encode(Bundle(())), b"\xff"))
        for channel in sender._channels():
            channel.send(bundle)
        heard = first.relays._heard_by_vm[second].number
        await until(lambda: first.relays._heard_by_vm[second].number > heard, "still running")


async def test_the_era_is_passed_on_beside_a_new_configuration(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        sender = env.gateway_by_vm[min(meshes[0].plan.relays)].mesh
        document = configuration(7)
        copy = FleetCopy(position_of(5, 1), document, (), position_of(5, 9), ())
        for gateway in env.gateway_by_vm.values():
            gateway.feed._publish = lambda message: None
        sender._era.raise_to(5)
        sender.publish(copy)
        await until(lambda: all(mesh._era.value == 5 for mesh in meshes), "all know the era")


async def test_the_retry_budget_is_shared_by_all_gateways(relays):
    """The number of gateways was updated with each load of a peer, and none is sent with relays."""
    async with rig() as env:
        await start_gateways(env)
        budgets = [
            gateway.stage_controller._shared.retry_budgets for gateway in env.gateway_by_vm.values()
        ]
        await until(lambda: all(each.gateway_count == len(VMS) for each in budgets), "shared")


async def test_relays_forward_a_configuration_and_one_gateway_polls(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        first_relay = min(meshes[0].plan.relays)
        assert [mesh._vm for mesh in meshes if mesh.is_reader()] == [first_relay]
        added = route("new", "idempotent", "desk")
        await env.store.put("keyed.op", "config", configuration(7, (*ROUTES, added)))
        fleets = [gateway.fleet for gateway in env.gateway_by_vm.values()]
        await until(lambda: all(f.configuration.version == 7 for f in fleets), "version 7")


async def test_the_loss_of_a_relay_disconnects_no_other_gateway(relays):
    async with rig() as env:
        meshes = await start_gateways(env)
        relay = sorted(meshes[0].plan.relays)[-1]
        remaining = [mesh for mesh in meshes if mesh._vm != relay]
        for mesh in remaining:
            env.network.cut(relay, mesh._vm)
        await until(
            lambda: all(relay not in mesh.relays.live_relays() for mesh in remaining), "lost"
        )
        await until(
            lambda: all(
                len(channels(mesh) & mesh.relays.live_relays()) >= 2
                for mesh in remaining
                if mesh._vm not in mesh.plan.relays
            ),
            "two relays again",
        )
        await until(lambda: sum(mesh.is_reader() for mesh in remaining) == 1, "one reader")
        for mesh in remaining:
            env.network.heal(relay, mesh._vm)
        await until(lambda: all(relay in mesh.relays.live_relays() for mesh in meshes), "back")


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
        await until(lambda: "vm-2" in mesh.loads.load_by_vm, "heard")
        broken = PeerLoads((PeerLoad("vm-9", 1, 1, b"\xff"), PeerLoad("vm-2", 0, 1, b"")))
        assert mesh.load_exchange.receive(broken, "vm-2") == []


def load_of(vm, incarnation, number):
    load = VmLoad(0.0, (), (), 0, 0, False, VmWork(0, 0.0, 0, 0.0))
    return PeerLoads((PeerLoad(vm, incarnation, number, encode(load)),))


async def test_loads_of_a_vm_restarted_with_an_earlier_clock_are_accepted():
    """An incarnation is a start time, so it may be lower after a restart. Its loads are ignored as
    outdated until the VM is known to have ended or restarted."""
    async with rig() as env:
        load_exchange = env.gateway_by_vm["vm-1"].mesh.load_exchange
        assert load_exchange.receive(load_of("vm-9", 2000, 7), "vm-8")
        assert not load_exchange.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_exchange.update_incarnation("vm-9", 2000)
        assert not load_exchange.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_exchange.update_incarnation("vm-9", 1000)
        assert load_exchange.receive(load_of("vm-9", 1000, 1), "vm-8")
        load_exchange.forget_vm("vm-9")
        assert load_exchange.receive(load_of("vm-9", 500, 1), "vm-8")


async def test_a_message_that_is_too_large_is_dropped_and_counted(relays):
    """It ended the process, whatever had made it so large."""
    async with rig() as env:
        meshes = await start_gateways(env)
        sender = env.gateway_by_vm[min(meshes[0].plan.relays)].mesh
        too_large = "x" * (MAX_FRAME_BYTES + 1)
        document = configuration(7)
        sender.publish(StageOrdered(too_large, 1.0, 99))
        sender.relays.send_to(leaves(meshes)[0]._vm, VersionStreams("", too_large, b""))
        sender._receive(Envelope(FleetCopy(5, document, (), -1, ()), sender._channels()[0]))
        assert refused_messages["sent"] == len(channels(sender)) + 1
        refused_messages.clear()
        fleets = [gateway.fleet for gateway in env.gateway_by_vm.values()]
        await until(lambda: all(f.configuration.version == 7 for f in fleets), "still told")
        assert not any(env.has_ended(vm) for vm in VMS)
