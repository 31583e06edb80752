"""One data centre is cut off from the other and from the platform, and comes back."""

import asyncio

import pytest

from pimentoquay.bench.faults.callers import run_call
from pimentoquay.bench.faults.operators import publish_race
from pimentoquay.bench.faults.records import Call, CallKind, Ending
from pimentoquay.bench.faults.wires import PLATFORM
from pimentoquay.bench.faults.world import FaultWorld
from pimentoquay.kernel import ResultCode

pytestmark = pytest.mark.looptime

CUT_OFF, OTHER = "dc-a", "dc-b"
CUT_SECONDS = 20.0
CONVERGED_SECONDS = 6.0
SERVES_SECONDS = 6.0
"""After a cut, the part without the scheduler has noticed and has one of its own."""

CALLS_PER_SECOND = 4


def set_cut(world, is_cut):
    world.set_cut(CUT_OFF, OTHER, is_cut)
    world.set_cut(CUT_OFF, PLATFORM, is_cut)


def versions_of(world):
    """Return the last version that each VM put in force."""
    world.note_in_force(asyncio.get_running_loop().time())
    return {item.vm: item.version for item in world.in_force}


async def call_all(world, seconds, first):
    """Call streams through every VM in turn; return what their callers saw."""
    tasks = []
    for number in range(first, first + int(seconds * CALLS_PER_SECOND)):
        prompt = f"log {number} " * 30
        call = Call(number, 0.0, CallKind.STREAM, number, prompt, 12, 0.0, f"key-{number}")
        tasks.append(asyncio.create_task(run_call(world, call)))
        await asyncio.sleep(1 / CALLS_PER_SECOND)
    return await asyncio.gather(*tasks)


async def test_cut_data_centre_serves_on_and_converges_with_nothing_reverted():
    world = FaultWorld(seed=1)
    await world.begin()
    await call_all(world, 2, 0)
    inside = [vm for vm in world.vms if world.vm_by_name[vm].plan.data_centre == CUT_OFF]
    outside = [vm for vm in world.vms if vm not in inside]
    before = versions_of(world)
    assert len(set(before.values())) == 1
    cut_at = asyncio.get_running_loop().time()
    set_cut(world, True)
    calling = asyncio.create_task(call_all(world, CUT_SECONDS, 100))
    await asyncio.sleep(CUT_SECONDS / 2)
    await publish_race(world, (outside[0],), "during-the-cut")
    assert world.published[0].code is ResultCode.CONFIG_ACCEPTED
    records = await calling
    during = versions_of(world)
    assert {during[vm] for vm in inside} == set(before.values())
    assert {during[vm] for vm in outside} == {world.published[0].version}
    failed = [item for item in records if item is None or item.ending is not Ending.ANSWERED]
    assert all(item is not None and item.began_at < cut_at + SERVES_SECONDS for item in failed)
    served = {item.vms[0] for item in records if item is not None and item not in failed}
    assert served == set(world.vms)
    set_cut(world, False)
    await asyncio.sleep(CONVERGED_SECONDS)
    assert set(versions_of(world).values()) == {world.published[0].version}
    after = await call_all(world, 5, 500)
    assert all(item is not None and item.ending is Ending.ANSWERED for item in after)
    for vm in world.vms:
        seen = [item.version for item in world.in_force if item.vm == vm]
        assert seen == sorted(seen)
    await world.close()
    assert world.errors == []
