"""Failures that the configuration part has to survive, one test each."""

import asyncio

import pytest

from pimentoquay.configuration.tests.cluster import DATA_CENTRE_BY_VM, STREAM, ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.kernel import ResultCode

IN_FORCE_SECONDS = 6.0
"""Maximum time until an accepted change is in force on every reachable VM."""

pytestmark = pytest.mark.looptime(start=0)


def expected_weights(weight, vms=DATA_CENTRE_BY_VM):
    """Return the result of ``ClusterFake.weights`` if all VMs have the same weight."""
    return dict.fromkeys(vms, weight)


@pytest.fixture
async def cluster():
    cluster_fake = ClusterFake()
    yield cluster_fake
    await cluster_fake.close()


async def start_with_workspace(cluster):
    """Start all VMs and publish workspace ``hall``; return its version."""
    await cluster.start()
    await asyncio.sleep(5)
    return await cluster.accept("a1", change("first", "hall", 0, 1))


async def test_change_is_in_force_everywhere_with_one_reader_for_each_data_centre(cluster):
    base = await start_with_workspace(cluster)
    reads = {vm: control.port.reads for vm, control in cluster.control_by_vm.items()}
    await cluster.accept("c1", change("second", "hall", base, 2))
    await asyncio.sleep(1)
    assert cluster.weights("hall") == expected_weights(2)
    await asyncio.sleep(20)
    now = {vm: control.port.reads for vm, control in cluster.control_by_vm.items()}
    readers = {vm for vm in now if now[vm] > reads[vm] + 3}
    assert sorted(DATA_CENTRE_BY_VM[vm] for vm in readers) == ["a", "b", "c"]


async def test_first_of_two_racing_changes_wins_and_the_other_conflicts(cluster):
    base = await start_with_workspace(cluster)
    answers = await asyncio.gather(
        cluster.publish("a2", change("x", "hall", base, 7)),
        cluster.publish("b2", change("y", "hall", base, 8)),
    )
    codes = {answer.code for answer in answers}
    assert codes == {ResultCode.CONFIG_ACCEPTED, ResultCode.CONFIG_CONFLICT}
    winner = 7 if answers[0].code is ResultCode.CONFIG_ACCEPTED else 8
    await asyncio.sleep(2)
    assert cluster.weights("hall") == expected_weights(winner)


async def test_change_with_a_lost_append_response_is_accepted_once(cluster):
    base = await start_with_workspace(cluster)
    cluster.log.lose_next_answers(1)
    version = await cluster.accept("b1", change("second", "hall", base, 2))
    repeated = await cluster.publish("c1", change("second", "hall", base, 2))
    assert (repeated.code, repeated.version) == (ResultCode.CONFIG_ACCEPTED, version)


async def test_log_outage_rejects_changes_and_keeps_the_configuration(cluster):
    base = await start_with_workspace(cluster)
    cluster.log.outage(60)
    answer = await cluster.publish("a1", change("second", "hall", base, 2))
    assert answer.code is ResultCode.LOG_UNAVAILABLE
    assert cluster.weights("hall") == expected_weights(1)
    await asyncio.sleep(60)
    assert not any(b"second" in record.data for record in cluster.log.records(STREAM))
    await cluster.accept("a1", change("second", "hall", base, 2))
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == expected_weights(2)


async def test_slow_log_delays_but_loses_nothing(cluster):
    base = await start_with_workspace(cluster)
    cluster.log.slow(1.5, 60)
    await cluster.accept("b2", change("second", "hall", base, 2))
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == expected_weights(2)


async def test_vm_started_with_the_log_down_is_ready_from_its_peers(cluster):
    await start_with_workspace(cluster)
    await cluster.stop("a2")
    cluster.log.outage(600)
    await cluster.start("a2")
    await asyncio.sleep(10)
    assert cluster.weights("hall") == expected_weights(1)


async def test_vm_without_peers_is_ready_from_the_log(cluster):
    await start_with_workspace(cluster)
    await cluster.stop()
    await cluster.start("b2")
    await asyncio.sleep(15)
    assert cluster.weights("hall") == {"b2": 1}


async def test_vm_without_peers_and_log_is_not_ready(cluster):
    await start_with_workspace(cluster)
    await cluster.stop()
    await cluster.start("b2", is_cut=True)
    await asyncio.sleep(60)
    assert cluster.control_by_vm["b2"].events() == []


async def test_data_centre_cut_off_from_the_log_gets_changes_from_its_peers(cluster):
    base = await start_with_workspace(cluster)
    cluster.cut_log("b", True)
    await asyncio.sleep(5)
    await cluster.accept("a1", change("second", "hall", base, 2))
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == expected_weights(2)


async def test_reader_dies_and_another_takes_over(cluster):
    base = await start_with_workspace(cluster)
    reader = next(
        vm
        for vm, control in cluster.control_by_vm.items()
        if DATA_CENTRE_BY_VM[vm] == "a" and control.part._ranks.is_reader
    )
    await cluster.stop(reader)
    await cluster.accept("c1", change("second", "hall", base, 2))
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == expected_weights(
        2, [vm for vm in DATA_CENTRE_BY_VM if vm != reader]
    )


async def test_partition_heals_with_nothing_reverted(cluster):
    base = await start_with_workspace(cluster)
    cluster.cut("b")
    await asyncio.sleep(5)
    refused = await cluster.publish("b1", change("inside", "hall", base, 9))
    assert refused.code is ResultCode.LOG_UNAVAILABLE
    version = await cluster.accept("a1", change("outside", "hall", base, 2))
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == {**expected_weights(2), "b1": 1, "b2": 1}
    cluster.heal("b")
    await asyncio.sleep(IN_FORCE_SECONDS)
    assert cluster.weights("hall") == expected_weights(2)
    late = await cluster.publish("b1", change("inside", "hall", base, 9))
    assert (late.code, late.version) == (ResultCode.CONFIG_CONFLICT, version)


async def test_retention_passes_and_every_vm_is_replaced_at_once():
    cluster = ClusterFake(retention=40.0)
    try:
        base = await start_with_workspace(cluster)
        await cluster.accept("a1", change("second", "hall", base, 2))
        await cluster.accept("b1", change("gone", "press", 0, 5))
        for _ in range(3):
            await asyncio.sleep(70)
            assert cluster.log.records(STREAM)[0].offset > 2
            cluster.check_no_rollback()
            await cluster.stop()
            cluster.log.outage(10)
            await cluster.start()
            await asyncio.sleep(20)
            assert cluster.weights("hall") == expected_weights(2)
            assert cluster.weights("press") == expected_weights(5)
    finally:
        await cluster.close()


async def test_publish_that_races_a_checkpoint_is_kept():
    cluster = ClusterFake(retention=40.0, checkpoint_part_bytes=1024, checkpoint_rate=1.0)
    try:
        version = await start_with_workspace(cluster)
        for step in range(2, 60):
            version = await cluster.accept("b1", change(f"c{step}", "hall", version, step))
            await asyncio.sleep(1.3)
        cluster.check_no_rollback()
        await cluster.stop()
        await cluster.start()
        await asyncio.sleep(15)
        assert cluster.weights("hall") == expected_weights(59)
    finally:
        await cluster.close()


async def test_configuration_is_rewritten_to_a_log_that_dropped_it():
    cluster = ClusterFake(retention=60.0)
    try:
        base = await start_with_workspace(cluster)
        cluster.log.outage(300)
        await asyncio.sleep(400)
        assert cluster.weights("hall") == expected_weights(1)
        cluster.check_no_rollback()
        await cluster.stop()
        await cluster.start()
        await asyncio.sleep(20)
        await cluster.accept("a1", change("second", "hall", base, 2))
        await asyncio.sleep(IN_FORCE_SECONDS)
        assert cluster.weights("hall") == expected_weights(2)
    finally:
        await cluster.close()
