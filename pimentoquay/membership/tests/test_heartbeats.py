"""Frequency of heartbeats, and detection of silent VMs although heartbeats are skipped."""

import asyncio
from collections import Counter

import pytest

from pimentoquay.membership.settings import MembershipSection
from pimentoquay.membership.tests.conftest import ClusterFake
from pimentoquay.messages.cluster import Heartbeat

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

ONE_DATA_CENTRE = {"hue-a": tuple(f"a{number}" for number in range(1, 9))}


def subscribe_heartbeats(cluster, vm):
    """Return the inbox of the heartbeats that a VM receives."""
    return cluster.control_by_vm[vm].node.bus.subscribe(Heartbeat)


async def test_only_the_list_reader_skips_no_heartbeat_while_nothing_changes(cluster):
    await cluster.start_all(ONE_DATA_CENTRE)
    await asyncio.sleep(5)
    cluster.list.reads.clear()
    inboxes = {vm: subscribe_heartbeats(cluster, vm) for vm in ONE_DATA_CENTRE["hue-a"]}
    await asyncio.sleep(20)
    (reader,) = cluster.list.reads
    sent: Counter[str] = Counter()
    for inbox in inboxes.values():
        while not inbox.empty():
            sent[inbox.get_nowait().message.vm] += 1
    for vm, count in sent.items():
        heartbeats = count / (len(ONE_DATA_CENTRE["hue-a"]) - 1)
        assert heartbeats == pytest.approx(20 if vm == reader else 10, abs=1), vm


async def test_silent_vm_leaves_every_view_within_silent_after(cluster):
    await cluster.start_all(ONE_DATA_CENTRE)
    await asyncio.sleep(5)
    for phase in (0.1, 0.6, 1.1, 1.6):
        await asyncio.sleep(8 + phase)
        silent = cluster.control_by_vm["a4"]
        silent.node.timers.pause()
        cluster.network.pause("a4")
        await asyncio.sleep(MembershipSection().silent_after + 0.3)
        for vm in set(ONE_DATA_CENTRE["hue-a"]) - {"a4"}:
            assert "a4" not in cluster.control_by_vm[vm].view.live_vms, (vm, phase)
        cluster.network.resume("a4")
        silent.node.timers.resume()


async def test_pause_shorter_than_a_second_changes_no_view(cluster):
    await cluster.start_all(ONE_DATA_CENTRE)
    await asyncio.sleep(5)
    versions = {vm: control.view.version for vm, control in cluster.control_by_vm.items()}
    for phase in (0.1, 0.6, 1.1, 1.6):
        await asyncio.sleep(8 + phase)
        paused = cluster.control_by_vm["a4"]
        paused.node.timers.pause()
        cluster.network.pause("a4")
        await asyncio.sleep(0.9)
        cluster.network.resume("a4")
        paused.node.timers.resume()
    await asyncio.sleep(4)
    for vm, control in cluster.control_by_vm.items():
        assert control.view.version == versions[vm], vm


async def test_heartbeats_are_not_skipped_if_silent_after_is_two_periods():
    cluster = ClusterFake(MembershipSection(silent_after=2.0))
    try:
        await cluster.start_all(ONE_DATA_CENTRE)
        await asyncio.sleep(5)
        versions = {vm: control.view.version for vm, control in cluster.control_by_vm.items()}
        await asyncio.sleep(30)
        for vm, control in cluster.control_by_vm.items():
            assert control.view.version == versions[vm], vm
    finally:
        await cluster.close()
