"""A log service that lost everything and counts its offsets from 0 again."""

import asyncio

import pytest

from pimentoquay.configuration.tests.cluster import PLACES, ClusterFake
from pimentoquay.configuration.tests.samples import change
from pimentoquay.kernel import ResultCode

ANEW_SECONDS = 30.0
"""Within this time after the log has started anew, changes are accepted again."""

pytestmark = pytest.mark.looptime(start=0)


def everywhere(weight, vms=PLACES):
    return dict.fromkeys(vms, weight)


@pytest.fixture
async def cluster():
    made = ClusterFake()
    yield made
    await made.close()


async def started(cluster):
    await cluster.start()
    await asyncio.sleep(5)
    base = await cluster.accept("a1", change("first", "hall", 0, 1))
    for step in range(5):
        await cluster.accept("b1", change(f"c{step}", f"press-{step}", 0, step + 1))
    await asyncio.sleep(3)
    return base


async def test_changes_go_on_after_the_log_started_anew(cluster):
    base = await started(cluster)
    cluster.log.start_anew()
    await asyncio.sleep(ANEW_SECONDS)
    assert cluster.weights("hall") == everywhere(1)
    version = await cluster.accept("c1", change("second", "hall", base, 2))
    assert version > base
    await asyncio.sleep(6)
    assert cluster.weights("hall") == everywhere(2)
    assert cluster.weights("press-3") == everywhere(4)
    stale = await cluster.publish("a2", change("third", "hall", base, 3))
    assert stale.code is ResultCode.CONFIG_CONFLICT
    cluster.check_never_back()


async def test_change_published_while_the_log_starts_anew_is_kept_or_refused(cluster):
    base = await started(cluster)
    cluster.log.start_anew()
    answer = await cluster.publish("b2", change("second", "hall", base, 2))
    await asyncio.sleep(ANEW_SECONDS)
    weights = set(cluster.weights("hall").values())
    assert len(weights) == 1
    if answer.code is ResultCode.CONFIG_ACCEPTED:
        assert weights == {2}
    again = await cluster.publish("b2", change("second", "hall", base, 2))
    assert again.code is ResultCode.CONFIG_ACCEPTED
    cluster.check_never_back()


async def test_new_vms_read_a_log_that_started_anew(cluster):
    await started(cluster)
    cluster.log.start_anew()
    await asyncio.sleep(ANEW_SECONDS)
    await cluster.stop("a1", "b1")
    await cluster.start("a1", "b1")
    await asyncio.sleep(10)
    assert cluster.weights("hall") == everywhere(1)
    cluster.check_never_back()
    await cluster.stop()
    await cluster.start()
    await asyncio.sleep(20)
    assert cluster.weights("hall") == everywhere(1)
    await cluster.accept("a1", change("later", "press-9", 0, 9))
    await asyncio.sleep(6)
    assert cluster.weights("press-9") == everywhere(9)


async def test_log_that_starts_anew_twice_goes_on_twice(cluster):
    version = await started(cluster)
    for step in (2, 3):
        cluster.log.start_anew()
        await asyncio.sleep(ANEW_SECONDS)
        version = await cluster.accept("c1", change(f"s{step}", "hall", version, step))
    await asyncio.sleep(6)
    assert cluster.weights("hall") == everywhere(3)
    cluster.check_never_back()


async def test_vm_that_started_on_the_new_log_before_it_said_where_it_goes_on(cluster):
    await started(cluster)
    await cluster.stop("b1", "b2")
    cluster.log.start_anew()
    await cluster.start("b1", "b2")
    await asyncio.sleep(ANEW_SECONDS)
    assert cluster.weights("hall") == everywhere(1)
    cluster.check_never_back()


async def test_data_centre_cut_off_meanwhile_goes_on_with_the_others(cluster):
    base = await started(cluster)
    cluster.cut("b")
    await asyncio.sleep(4)
    cluster.log.start_anew()
    await asyncio.sleep(ANEW_SECONDS)
    await cluster.accept("a1", change("second", "hall", base, 2))
    assert cluster.weights("hall")["b1"] == 1
    cluster.heal("b")
    await asyncio.sleep(ANEW_SECONDS)
    assert cluster.weights("hall") == everywhere(2)
    cluster.check_never_back()
