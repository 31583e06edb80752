"""A reset of the log service, which loses all records and counts offsets from 0 again."""

import asyncio

import pytest

from pimentoquay.configuration.tests.cluster import DATA_CENTRE_BY_VM, ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.kernel import ResultCode

RESET_SECONDS = 30.0
"""Time after a log reset within which changes are accepted again."""

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
    """Start all VMs and publish workspaces; return the version of workspace ``hall``."""
    await cluster.start()
    await asyncio.sleep(5)
    base = await cluster.accept("a1", change("first", "hall", 0, 1))
    for step in range(5):
        await cluster.accept("b1", change(f"c{step}", f"press-{step}", 0, step + 1))
    await asyncio.sleep(3)
    return base


async def test_changes_are_accepted_after_a_log_reset(cluster):
    base = await start_with_workspace(cluster)
    cluster.log.erase_records()
    await asyncio.sleep(RESET_SECONDS)
    assert cluster.weights("hall") == expected_weights(1)
    version = await cluster.accept("c1", change("second", "hall", base, 2))
    assert version > base
    await asyncio.sleep(6)
    assert cluster.weights("hall") == expected_weights(2)
    assert cluster.weights("press-3") == expected_weights(4)
    stale = await cluster.publish("a2", change("third", "hall", base, 3))
    assert stale.code is ResultCode.CONFIG_CONFLICT
    cluster.check_no_rollback()


async def test_change_published_during_a_log_reset_is_kept_or_rejected(cluster):
    base = await start_with_workspace(cluster)
    cluster.log.erase_records()
    answer = await cluster.publish("b2", change("second", "hall", base, 2))
    await asyncio.sleep(RESET_SECONDS)
    weights = set(cluster.weights("hall").values())
    assert len(weights) == 1
    if answer.code is ResultCode.CONFIG_ACCEPTED:
        assert weights == {2}
    again = await cluster.publish("b2", change("second", "hall", base, 2))
    assert again.code is ResultCode.CONFIG_ACCEPTED
    cluster.check_no_rollback()


async def test_new_vms_read_a_log_that_was_reset(cluster):
    await start_with_workspace(cluster)
    cluster.log.erase_records()
    await asyncio.sleep(RESET_SECONDS)
    await cluster.stop("a1", "b1")
    await cluster.start("a1", "b1")
    await asyncio.sleep(10)
    assert cluster.weights("hall") == expected_weights(1)
    cluster.check_no_rollback()
    await cluster.stop()
    await cluster.start()
    await asyncio.sleep(20)
    assert cluster.weights("hall") == expected_weights(1)
    await cluster.accept("a1", change("later", "press-9", 0, 9))
    await asyncio.sleep(6)
    assert cluster.weights("press-9") == expected_weights(9)


async def test_changes_are_accepted_after_each_of_two_log_resets(cluster):
    version = await start_with_workspace(cluster)
    for step in (2, 3):
        cluster.log.erase_records()
        await asyncio.sleep(RESET_SECONDS)
        version = await cluster.accept("c1", change(f"s{step}", "hall", version, step))
    await asyncio.sleep(6)
    assert cluster.weights("hall") == expected_weights(3)
    cluster.check_no_rollback()


async def test_vm_that_started_before_the_new_log_base_was_written(cluster):
    await start_with_workspace(cluster)
    await cluster.stop("b1", "b2")
    cluster.log.erase_records()
    await cluster.start("b1", "b2")
    await asyncio.sleep(RESET_SECONDS)
    assert cluster.weights("hall") == expected_weights(1)
    cluster.check_no_rollback()


async def test_data_centre_cut_off_during_a_log_reset_catches_up(cluster):
    base = await start_with_workspace(cluster)
    cluster.cut("b")
    await asyncio.sleep(4)
    cluster.log.erase_records()
    await asyncio.sleep(RESET_SECONDS)
    await cluster.accept("a1", change("second", "hall", base, 2))
    assert cluster.weights("hall")["b1"] == 1
    cluster.heal("b")
    await asyncio.sleep(RESET_SECONDS)
    assert cluster.weights("hall") == expected_weights(2)
    cluster.check_no_rollback()
