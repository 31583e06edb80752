"""Tests of a data centre that is cut off from the other and from the platform for 20 s."""

import asyncio

import pytest

from pimentoquay.bench.faults.callers import run_call
from pimentoquay.bench.faults.cluster import FaultCluster
from pimentoquay.bench.faults.connections import PLATFORM
from pimentoquay.bench.faults.operators import publish_race
from pimentoquay.bench.faults.records import Call, CallKind, Ending
from pimentoquay.kernel import ResultCode

pytestmark = pytest.mark.looptime

CUT_OFF, OTHER = "dc-a", "dc-b"
CUT_SECONDS = 20.0
CONVERGENCE_SECONDS = 6.0
"""Maximum time after the end of the cut until all VMs have the same configuration, in seconds."""

FAILOVER_SECONDS = 6.0
"""Maximum time after the start of the cut until each side has a scheduler, in seconds.

The side without one has to detect the loss and start its own.
"""

CALLS_PER_SECOND = 4


def set_cut(cluster, is_cut):
    cluster.set_cut(CUT_OFF, OTHER, is_cut)
    cluster.set_cut(CUT_OFF, PLATFORM, is_cut)


def versions_of(cluster):
    """Return the last version that each VM put in force."""
    cluster.record_versions_in_force(asyncio.get_running_loop().time())
    return {item.vm: item.version for item in cluster.in_force}


async def call_all(cluster, seconds, first):
    """Make streamed calls through every VM in turn; return their records."""
    tasks = []
    for number in range(first, first + int(seconds * CALLS_PER_SECOND)):
        prompt = f"log {number} " * 30
        call = Call(number, 0.0, CallKind.STREAM, number, prompt, 12, 0.0, f"key-{number}")
        tasks.append(asyncio.create_task(run_call(cluster, call)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return await asyncio.gather(*tasks)


async def test_cut_off_data_centre_keeps_serving_and_converges_without_reverting():
    cluster = FaultCluster(seed=1)
    await cluster.publish_and_start()
    await call_all(cluster, 2, 0)
    inside = [vm for vm in cluster.vms if cluster.vm_by_name[vm].plan.data_centre == CUT_OFF]
    outside = [vm for vm in cluster.vms if vm not in inside]
    before = versions_of(cluster)
    assert len(set(before.values())) == 1
    cut_at = asyncio.get_running_loop().time()
    set_cut(cluster, True)
    calling = asyncio.create_task(call_all(cluster, CUT_SECONDS, 100))
    await asyncio.sleep(CUT_SECONDS / 2)
    await publish_race(cluster, (outside[0],), "during-the-cut")
    assert cluster.published[0].code is ResultCode.CONFIG_ACCEPTED
    records = await calling
    during = versions_of(cluster)
    assert {during[vm] for vm in inside} == set(before.values())
    assert {during[vm] for vm in outside} == {cluster.published[0].version}
    failed = [item for item in records if item is None or item.ending is not Ending.ANSWERED]
    assert all(item is not None and item.began_at < cut_at + FAILOVER_SECONDS for item in failed)
    served = {item.vms[0] for item in records if item is not None and item not in failed}
    assert served == set(cluster.vms)
    set_cut(cluster, False)
    await asyncio.sleep(CONVERGENCE_SECONDS)
    assert set(versions_of(cluster).values()) == {cluster.published[0].version}
    after = await call_all(cluster, 5, 500)
    assert all(item is not None and item.ending is Ending.ANSWERED for item in after)
    for vm in cluster.vms:
        versions = [item.version for item in cluster.in_force if item.vm == vm]
        assert versions == sorted(versions)
    await cluster.close()
    assert cluster.errors == []
