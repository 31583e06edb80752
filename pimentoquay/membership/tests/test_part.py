"""Tests of the membership part with failures, in virtual time."""

import asyncio

import pytest

from pimentoquay.kernel import Identity
from pimentoquay.membership import DrainFinished, DrainRequested
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.membership.tests.conftest import engine_member, vm_member
from pimentoquay.membership.view import changed_view
from pimentoquay.messages.cluster import ClusterView, MemberState

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

TWO_DATA_CENTRES = {"hue-a": ("a1", "a2", "a3"), "hue-b": ("b1", "b2", "b3")}


async def test_all_vms_agree_on_who_is_live_and_reachable(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(4)
    for control in cluster.control_by_vm.values():
        assert control.view.live_vms == ("a1", "a2", "a3", "b1", "b2", "b3")
        assert control.view.reachable_data_centres == ("hue-a", "hue-b")


async def test_nothing_is_published_while_nothing_changes(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    before = {vm: control.view.version for vm, control in cluster.control_by_vm.items()}
    await asyncio.sleep(60)
    assert before == {vm: control.view.version for vm, control in cluster.control_by_vm.items()}


async def test_one_reader_per_data_centre_reads_about_once_a_second(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    cluster.list.reads.clear()
    await asyncio.sleep(30)
    assert len(cluster.list.reads) == 2
    assert all(29 <= count <= 31 for count in cluster.list.reads.values())


async def test_leaving_backend_server_is_known_everywhere_within_3_s(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    members = [vm_member(vm, dc) for dc, vms in TWO_DATA_CENTRES.items() for vm in vms]
    cluster.list.set(*members, engine_member("e1", "hue-a"))
    await asyncio.sleep(5)
    cluster.list.set(*members, engine_member("e1", "hue-a", MemberState.LEAVING))
    await asyncio.sleep(1.5)
    for control in cluster.control_by_vm.values():
        state = {member.name: member.state for member in control.view.members}
        assert state["e1"] is MemberState.LEAVING


@pytest.mark.parametrize("fault", ["unreachable", "hanging", "paused", "dead"])
async def test_leaving_is_known_within_3_s_though_the_reader_fails(cluster, fault):
    await cluster.start_all({"hue-a": ("a1", "a2", "a3", "a4")})
    members = [vm_member(vm, "hue-a") for vm in ("a1", "a2", "a3", "a4")]
    cluster.list.set(*members, engine_member("e1", "hue-a"))
    await asyncio.sleep(5)
    cluster.list.reads.clear()
    await asyncio.sleep(3)
    (reader,) = cluster.list.reads
    if fault in ("unreachable", "hanging"):
        getattr(cluster.list, fault).add(reader)
    elif fault == "paused":
        cluster.control_by_vm[reader].node.timers.pause()
        cluster.network.pause(reader)
    else:
        await cluster.stop(reader)
    cluster.list.set(*members, engine_member("e1", "hue-a", MemberState.LEAVING))
    await asyncio.sleep(3)
    for vm, control in cluster.control_by_vm.items():
        if fault == "paused" and vm == reader:
            continue
        state = {member.name: member.state for member in control.view.members}
        assert state["e1"] is MemberState.LEAVING, vm


async def test_leaving_is_known_within_3_s_whenever_the_reader_is_paused(cluster):
    names = ("a1", "a2", "a3", "a4")
    members = [vm_member(vm, "hue-a") for vm in names]
    await cluster.start_all({"hue-a": names})
    for phase in (0.05, 0.3, 0.55, 0.8):
        cluster.list.set(*members, engine_member("e1", "hue-a"))
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(int(now) + 8 + phase - now)
        cluster.list.reads.clear()
        await asyncio.sleep(2)
        (reader,) = cluster.list.reads
        paused = cluster.control_by_vm[reader]
        paused.node.timers.pause()
        cluster.network.pause(reader)
        cluster.list.set(*members, engine_member("e1", "hue-a", MemberState.LEAVING))
        await asyncio.sleep(3)
        for vm in set(names) - {reader}:
            state = {member.name: member.state for member in cluster.control_by_vm[vm].view.members}
            assert state["e1"] is MemberState.LEAVING, (vm, phase)
        cluster.network.resume(reader)
        paused.node.timers.resume()


async def test_dead_vm_leaves_the_view_before_the_list_says_so(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    await cluster.stop("a2")
    await asyncio.sleep(2)
    for control in cluster.control_by_vm.values():
        assert control.view.live_vms == ("a1", "a3", "b1", "b2", "b3")


async def test_paused_vm_leaves_the_view_and_comes_back(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    paused = cluster.control_by_vm["a2"]
    paused.node.timers.pause()
    cluster.network.pause("a2")
    await asyncio.sleep(4)
    assert "a2" not in cluster.control_by_vm["a1"].view.live_vms
    cluster.network.resume("a2")
    paused.node.timers.resume()
    await asyncio.sleep(2.5)
    for control in cluster.control_by_vm.values():
        assert "a2" in control.view.live_vms


async def test_live_vm_missing_from_an_outdated_list_is_in_every_view(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    await cluster.start("a0", "hue-a", MembershipSection(advertise="a0:1"))
    await asyncio.sleep(4)
    for vm, control in cluster.control_by_vm.items():
        assert "a0" in control.view.live_vms, vm
        assert "a0:1" in {member.address for member in control.view.members}, vm


async def test_partition_and_healing_between_data_centres(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    cluster.cut_data_centres(
        cluster.network.cut, TWO_DATA_CENTRES["hue-a"], TWO_DATA_CENTRES["hue-b"]
    )
    await asyncio.sleep(3)
    assert cluster.control_by_vm["a1"].view.reachable_data_centres == ("hue-a",)
    assert cluster.control_by_vm["a1"].view.live_vms == TWO_DATA_CENTRES["hue-a"]
    assert cluster.control_by_vm["b3"].view.reachable_data_centres == ("hue-b",)
    cluster.cut_data_centres(
        cluster.network.heal, TWO_DATA_CENTRES["hue-a"], TWO_DATA_CENTRES["hue-b"]
    )
    await asyncio.sleep(4)
    for control in cluster.control_by_vm.values():
        assert control.view.reachable_data_centres == ("hue-a", "hue-b")


async def test_data_centre_cut_off_from_the_platform_gets_the_list_from_peers(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    await asyncio.sleep(5)
    cluster.list.unreachable.update(TWO_DATA_CENTRES["hue-b"])
    members = [vm_member(vm, dc) for dc, vms in TWO_DATA_CENTRES.items() for vm in vms]
    cluster.list.set(*members, engine_member("e9", "hue-b"))
    await asyncio.sleep(3.5)
    for vm in TWO_DATA_CENTRES["hue-b"]:
        names = [member.name for member in cluster.control_by_vm[vm].view.members]
        assert "e9" in names, vm


async def test_view_is_published_once_the_list_was_read(cluster):
    cluster.list.unreachable.add("a1")
    control = await cluster.start("a1", "hue-a")
    await asyncio.sleep(10)
    assert control.view is None
    assert any(event.kind == "membership-wait" for event in control.node.timeline.events())
    cluster.list.set(vm_member("a1", "hue-a"))
    cluster.list.unreachable.clear()
    await asyncio.sleep(2)
    assert control.view is not None
    assert [view.live_vms for view in control.views] == [("a1",)]


async def test_vm_restarted_during_a_platform_outage_gets_the_list_from_a_seed(cluster):
    await cluster.start_all({"hue-a": ("a1", "a2", "a3")})
    await asyncio.sleep(4)
    cluster.list.unreachable.update(("a1", "a2", "a3"))
    await cluster.stop("a3")
    await asyncio.sleep(2)
    control = await cluster.start("a3", "hue-a", MembershipSection(seeds="a1=a1:1"))
    await asyncio.sleep(3)
    assert control.view.live_vms == ("a1", "a2", "a3")


async def test_drain_moves_ownership_within_a_second_and_waits_for_the_entry(cluster):
    await cluster.start_all(TWO_DATA_CENTRES)
    control = cluster.control_by_vm["a2"]
    finished = control.node.bus.subscribe(DrainFinished)
    identity = Identity("a2", "entry", "r", "hue-a", 99)
    entry = await cluster.network.transport(identity).connect("a2:1")
    await asyncio.sleep(5)
    control.node.bus.publish(DrainRequested())
    await asyncio.sleep(1)
    for other in cluster.control_by_vm.values():
        assert "a2" not in other.view.live_vms
    assert finished.empty()
    await entry.close()
    await asyncio.sleep(1)
    assert not finished.empty()


async def test_entry_of_the_same_vm_gets_the_view_and_each_change(cluster):
    await cluster.start_all({"hue-a": ("a1", "a2")})
    await asyncio.sleep(4)
    identity = Identity("a1", "entry", "r", "hue-a", 99)
    entry = await cluster.network.transport(identity).connect("a1:1")
    first = await entry.receive()
    assert isinstance(first, ClusterView)
    await cluster.stop("a2")
    second = changed_view(first, await entry.receive())
    assert second.live_vms == ("a1",)
    assert second == cluster.control_by_vm["a1"].view
