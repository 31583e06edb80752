"""Tests that a VM is shut down under load without loss, with its processes ended in any order."""

import asyncio

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.test_rolling_drain import Load
from pimentoquay.control.drain import drain_control
from pimentoquay.scheduler.part import SchedulerPart

pytestmark = pytest.mark.looptime

GAP_SECONDS = (0.0, 1.0, 4.0)
"""Times between the ends of the two processes, in seconds."""


def find_pool_owner(cluster, model):
    """Return the VM that schedules the only shard of a model's pool."""
    return next(
        name
        for name, vm in cluster.vm_by_name.items()
        for part in (vm.control.parts if vm.control else ())
        if isinstance(part, SchedulerPart)
        and any(shard.startswith(f"{model}@") for shard in part.scheduler_by_shard)
    )


async def end_entry(cluster, load, name):
    load.in_service.discard(name)
    entry = cluster.vm_by_name[name].entry
    await entry.drain()
    await entry.service.drained()
    load.record_interrupted(name)
    await cluster.kill_entry(name)


async def end_control(cluster, name):
    await asyncio.wait_for(drain_control(cluster.vm_by_name[name].control), 60)
    await cluster.kill_control(name)


async def entry_first(cluster, load, name, gap):
    await end_entry(cluster, load, name)
    await asyncio.sleep(gap)
    await end_control(cluster, name)


async def control_first(cluster, load, name, gap):
    control_end = asyncio.create_task(end_control(cluster, name))
    await asyncio.sleep(gap)
    await end_entry(cluster, load, name)
    await control_end


async def entry_then_control_is_killed(cluster, load, name, gap):
    await end_entry(cluster, load, name)
    await asyncio.sleep(gap)
    await cluster.kill_control(name)


@pytest.mark.parametrize("gap", GAP_SECONDS)
@pytest.mark.parametrize("shut_down", [entry_first, control_first, entry_then_control_is_killed])
async def test_shutdown_of_the_owner_in_any_order_interrupts_nothing(shut_down, gap):
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()
    load = Load(cluster, seed=1)
    sending = asyncio.create_task(load.run())
    await asyncio.sleep(3)
    await shut_down(cluster, load, find_pool_owner(cluster, "diag-llm"), gap)
    await asyncio.sleep(3)
    assert find_pool_owner(cluster, "diag-llm")
    load.in_service.clear()
    await sending
    assert load.faults == []
    assert load.answered > 30
    await asyncio.sleep(4)
    assert all(engine.observed().held_tokens == 0 for engine in cluster.engine_by_name.values())
    await cluster.close()
