"""Tests that a new version of the weights is rolled out to a pool, and rolled back, under load."""

import asyncio
from collections import defaultdict

import pytest

from pimentoquay.bench.deployment import Deployment, Pool
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.mix_load import LONG_ANSWERS, MODEL, Mix, MixLoad
from pimentoquay.bench.tests.test_role_changes import find_lease_holder, publish_configuration
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.standin.engine_model import EngineModel

pytestmark = pytest.mark.looptime

DEPLOYMENT = Deployment("tt-north", ("city-hall",), 0.0005, 3, (Pool(MODEL, 3, 3, 0),), ())
MAX_CONCURRENT_LOADS = 2
MAX_ROLLOUT_SECONDS = 60
MIX = Mix(LONG_ANSWERS.prompt_tokens, LONG_ANSWERS.max_tokens, 2.5)


def engine_versions(cluster):
    return sorted(engine._core.orders.version for engine in cluster.engine_by_name.values())


def versions_by_request(cluster):
    found = defaultdict(set)
    for engine in cluster.engine_by_name.values():
        for run in engine.observed().runs:
            found[run.request_id].add(run.version)
    return found


async def start_cluster():
    cluster = MemoryCluster(
        DEPLOYMENT,
        engine_model=EngineModel(decode_slots=8, prefill_seconds_per_token=0.001),
        settings={"orders": OrdersSection(loads_at_once=MAX_CONCURRENT_LOADS)},
    )
    await cluster.start()
    publish_configuration(cluster)
    load = MixLoad(cluster, MIX)
    return cluster, load, asyncio.create_task(load.run())


async def wait_for_rollout(cluster, version, count=6):
    """Wait until ``count`` engines have a version and return the elapsed seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for _ in range(2 * MAX_ROLLOUT_SECONDS):
        if engine_versions(cluster).count(version) >= count:
            return loop.time() - start
        await asyncio.sleep(0.5)
    raise AssertionError(f"{engine_versions(cluster)} after {MAX_ROLLOUT_SECONDS} s")


async def stop_and_check(cluster, load, sending):
    load.stop()
    await sending
    await cluster.close()
    mixed_requests = {
        name: found for name, found in versions_by_request(cluster).items() if len(found) > 1
    }
    assert mixed_requests == {}
    observed = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(item.swapped_under for item in observed) == 0
    assert load.failed_calls() == []
    assert cluster.weights.max_concurrent_reads <= MAX_CONCURRENT_LOADS
    now = asyncio.get_running_loop().time()
    assert load.goodput(0, now) >= 0.99


async def test_roll_mixes_no_versions_and_costs_no_goodput():
    cluster, load, sending = await start_cluster()
    await asyncio.sleep(10)
    publish_configuration(cluster, "v2")
    await wait_for_rollout(cluster, "v2")
    await asyncio.sleep(5)
    await stop_and_check(cluster, load, sending)


async def test_roll_back_half_way_mixes_no_versions():
    cluster, load, sending = await start_cluster()
    await asyncio.sleep(10)
    publish_configuration(cluster, "v2")
    await wait_for_rollout(cluster, "v2", 3)
    publish_configuration(cluster, "v1")
    await wait_for_rollout(cluster, "v1")
    await asyncio.sleep(15)
    assert engine_versions(cluster) == ["v1"] * 6
    await stop_and_check(cluster, load, sending)


async def test_rollout_continues_when_the_lease_holder_dies():
    cluster, load, sending = await start_cluster()
    await asyncio.sleep(10)
    publish_configuration(cluster, "v2")
    await wait_for_rollout(cluster, "v2", 3)
    holder = find_lease_holder(cluster)
    load.vms.remove(holder)
    await cluster.kill_control(holder)
    await wait_for_rollout(cluster, "v2")
    await asyncio.sleep(5)
    await stop_and_check(cluster, load, sending)
