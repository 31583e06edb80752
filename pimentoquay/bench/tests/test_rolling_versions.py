"""Another version of the weights is rolled over a pool under load, and rolled back half way."""

import asyncio
from collections import defaultdict

import pytest

from pimentoquay.bench.deployment import Deployment, Pool
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.role_load import LONG_ANSWERS, MODEL, Mix, MixLoad
from pimentoquay.bench.tests.test_role_changes import configure, holder_of
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.standin.engine_model import EngineModel

pytestmark = pytest.mark.looptime

DEPLOYMENT = Deployment("tt-north", ("city-hall",), 0.0005, 3, (Pool(MODEL, 3, 3, 0),), ())
LOADS_AT_ONCE = 2
LONGEST_ROLL_SECONDS = 60
MIX = Mix(LONG_ANSWERS.prompt_tokens, LONG_ANSWERS.max_tokens, 2.5)


def versions(cluster):
    return sorted(engine._core.orders.version for engine in cluster.engine_by_name.values())


def versions_by_request(cluster):
    found = defaultdict(set)
    for engine in cluster.engine_by_name.values():
        for run in engine.observed().runs:
            found[run.request_id].add(run.version)
    return found


async def started():
    cluster = MemoryCluster(
        DEPLOYMENT,
        engine_model=EngineModel(decode_slots=8, prefill_seconds_per_token=0.001),
        settings={"orders": OrdersSection(loads_at_once=LOADS_AT_ONCE)},
    )
    await cluster.start()
    configure(cluster)
    load = MixLoad(cluster, MIX)
    return cluster, load, asyncio.create_task(load.run())


async def rolled(cluster, version, count=6):
    """Wait until so many engines have a version; return how long that took."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for _ in range(2 * LONGEST_ROLL_SECONDS):
        if versions(cluster).count(version) >= count:
            return loop.time() - start
        await asyncio.sleep(0.5)
    raise AssertionError(f"{versions(cluster)} after {LONGEST_ROLL_SECONDS} s")


async def ended(cluster, load, sending):
    load.stop()
    await sending
    await cluster.close()
    mixed = {name: found for name, found in versions_by_request(cluster).items() if len(found) > 1}
    assert mixed == {}
    observed = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(item.swapped_under for item in observed) == 0
    assert load.broken() == []
    assert cluster.weights.max_concurrent_reads <= LOADS_AT_ONCE
    now = asyncio.get_running_loop().time()
    assert load.goodput(0, now) >= 0.99


async def test_roll_mixes_no_versions_and_costs_no_goodput():
    cluster, load, sending = await started()
    await asyncio.sleep(10)
    configure(cluster, "v2")
    await rolled(cluster, "v2")
    await asyncio.sleep(5)
    await ended(cluster, load, sending)


async def test_roll_back_half_way_mixes_no_versions():
    cluster, load, sending = await started()
    await asyncio.sleep(10)
    configure(cluster, "v2")
    await rolled(cluster, "v2", 3)
    configure(cluster, "v1")
    await rolled(cluster, "v1")
    await asyncio.sleep(15)
    assert versions(cluster) == ["v1"] * 6
    await ended(cluster, load, sending)


async def test_roll_goes_on_when_the_holder_dies_half_way():
    cluster, load, sending = await started()
    await asyncio.sleep(10)
    configure(cluster, "v2")
    await rolled(cluster, "v2", 3)
    holder = holder_of(cluster)
    load.vms.remove(holder)
    await cluster.kill_control(holder)
    await rolled(cluster, "v2")
    await asyncio.sleep(5)
    await ended(cluster, load, sending)
