"""Tests that engines change between prefill and decode as the mix of the load shifts."""

import asyncio
import dataclasses
from collections import Counter
from itertools import pairwise

import pytest

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.deployment import Deployment, Pool
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.mix_load import LONG_ANSWERS, LONG_PROMPTS, MODEL, MixLoad
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.messages.workspaces import ModelSpec, Workspace
from pimentoquay.orders.part import OrdersPart
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.scheduler.part import SchedulerPart
from pimentoquay.standin.engine_model import EngineModel

pytestmark = pytest.mark.looptime

DEPLOYMENT = Deployment("tt-north", ("city-hall",), 0.0005, 3, (Pool(MODEL, 2, 4, 0),), ())
HOLD_SECONDS = 15.0
DWELL_SECONDS = 30.0
MAX_RESTORE_SECONDS = 20.0
"""Maximum time to restore the roles, in seconds.

It covers two status reports at the quiet period, two reconciliations and a drain.
"""


def role_by_engine(cluster):
    return {name: engine._core.orders.role for name, engine in cluster.engine_by_name.items()}


def role_counts(cluster):
    return Counter(role_by_engine(cluster).values())


def role_change_times(cluster):
    """Return the times at which an order changed the role of an engine."""
    found = []
    for name, engine in cluster.engine_by_name.items():
        role = EngineRole.PREFILL if "-p" in name.removeprefix(MODEL) else EngineRole.DECODE
        for record in engine.observed().orders:
            if record.order.role is not role:
                role = record.order.role
                found.append(record.at)
    return sorted(found)


def publish_configuration(cluster, version="v1"):
    """Publish to every VM a configuration with a workspace that uses the pool."""
    workspace = Workspace("rates", "t", (), (ModelSpec(MODEL, version, ""),), (), (), 1, 1)
    for vm in cluster.vm_by_name.values():
        vm.control.node.bus.publish(ConfigurationInForce(1, {"rates": workspace}, {"rates": 1}))


async def start_cluster(mix, cluster_class=MemoryCluster, **model):
    section = OrdersSection(role_hold=HOLD_SECONDS, role_dwell=DWELL_SECONDS)
    engine_model = EngineModel(
        decode_slots=8, prefill_seconds_per_token=0.001, role_change_cuts=True, **model
    )
    cluster = cluster_class(DEPLOYMENT, engine_model=engine_model, settings={"orders": section})
    await cluster.start()
    publish_configuration(cluster)
    load = MixLoad(cluster, mix)
    return cluster, load, asyncio.create_task(load.run())


async def stop_cluster(cluster, load, sending):
    load.stop()
    await sending
    await cluster.close()


def decoded_twice(cluster):
    observed = [engine.observed() for engine in cluster.engine_by_name.values()]
    return [request_id for item in observed for request_id in item.decoded_twice]


def now():
    return asyncio.get_running_loop().time()


async def test_a_lasting_shift_of_the_mix_moves_engines_and_cuts_no_stream():
    cluster, load, sending = await start_cluster(LONG_ANSWERS)
    await asyncio.sleep(30)
    assert role_change_times(cluster) == []
    shift = now()
    load.mix = LONG_PROMPTS
    await asyncio.sleep(120)
    assert len(role_change_times(cluster)) == 2
    assert role_counts(cluster) == {EngineRole.PREFILL: 4, EngineRole.DECODE: 2}
    before = load.goodput(shift + 5, shift + 25)
    after = load.goodput(shift + 95, shift + 115)
    assert before < 0.7
    assert after >= 0.99
    load.mix = LONG_ANSWERS
    await asyncio.sleep(80)
    assert role_counts(cluster) == {EngineRole.PREFILL: 3, EngineRole.DECODE: 3}
    assert load.goodput(now() - 30, now() - 10) >= 0.99
    await stop_cluster(cluster, load, sending)
    assert load.failed_calls() == []
    assert decoded_twice(cluster) == []


async def test_a_mix_that_oscillates_faster_than_the_hold_time_moves_nothing():
    cluster, load, sending = await start_cluster(LONG_ANSWERS)
    for _ in range(5):
        await asyncio.sleep(10)
        load.mix = LONG_PROMPTS
        await asyncio.sleep(10)
        load.mix = LONG_ANSWERS
    assert role_change_times(cluster) == []
    await stop_cluster(cluster, load, sending)


async def test_a_mix_that_oscillates_slowly_moves_at_most_one_engine_in_each_dwell_time():
    cluster, load, sending = await start_cluster(LONG_ANSWERS)
    for _ in range(2):
        load.mix = LONG_PROMPTS
        await asyncio.sleep(45)
        load.mix = LONG_ANSWERS
        await asyncio.sleep(45)
    await stop_cluster(cluster, load, sending)
    change_times = role_change_times(cluster)
    assert change_times
    # The order is sent only once the engine has finished its answers. It can thus be up to 10 s
    # late, which shortens the time until the next order.
    assert all(later - earlier >= DWELL_SECONDS - 10 for earlier, later in pairwise(change_times))
    assert load.failed_calls() == []
    assert decoded_twice(cluster) == []


class PausableClient:
    """Engine client of a VM that can be paused between its lease check and the send."""

    def __init__(self, engine, cluster, vm):
        self._engine = engine
        self._cluster = cluster
        self._vm = vm

    def __getattr__(self, name):
        return getattr(self._engine, name)

    async def order(self, order):
        await self._cluster.send(self._vm, self._engine, order)
        await self._engine.order(order)


class OrderGate:
    """Selects and holds back the first order of one VM that changes the role of an engine."""

    def __init__(self):
        self.armed_vm = ""
        self.engine = ""
        self.held = asyncio.Event()
        self.opened = asyncio.Event()

    def should_hold(self, vm, engine, order):
        is_first = vm == self.armed_vm and not self.held.is_set()
        return is_first and order.role is not engine._core.orders.role


class GatedCluster(MemoryCluster):
    """Cluster in which one VM is paused while it sends an order, after it has checked its lease."""

    def __init__(self, *args, **options):
        self.gate = OrderGate()
        super().__init__(*args, **options)

    def ports_of(self, process):
        ports = super().ports_of(process)
        vm = process.vm
        return dataclasses.replace(
            ports, engine=lambda member: PausableClient(ports.engine(member), self, vm)
        )

    async def send(self, vm, engine, order):
        """Delay the order if the gate selects it; a paused process cannot react to a timeout."""
        if not self.gate.should_hold(vm, engine, order):
            return
        self.gate.engine = engine.name
        self.gate.held.set()
        self.vm_by_name[vm].control.node.timers.pause()
        self.network.pause(vm)
        try:
            await self.gate.opened.wait()
        except asyncio.CancelledError:
            await self.gate.opened.wait()

    def resume_vm(self):
        self.gate.opened.set()
        self.network.resume(self.gate.armed_vm)
        self.vm_by_name[self.gate.armed_vm].control.node.timers.resume()


def find_lease_holder(cluster):
    """Return the VM whose scheduler owns the only shard."""
    return next(
        name
        for name, vm in cluster.vm_by_name.items()
        for part in (vm.control.parts if vm.control else ())
        if isinstance(part, SchedulerPart) and part.scheduler_by_shard
    )


async def record_role(cluster, engine, role):
    """Record on the log that an engine gets a role, as the lease holder's role balance would."""
    control = cluster.vm_by_name[find_lease_holder(cluster)].control
    (orders,) = [part for part in control.parts if isinstance(part, OrdersPart)]
    (shard,) = orders._leases.shards
    await orders._leases.record_role(shard, engine, int(role))


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_a_holder_paused_as_it_sends_a_change_leaves_the_roles_right(checks_fencing):
    cluster, load, sending = await start_cluster(
        LONG_PROMPTS, GatedCluster, checks_fencing=checks_fencing
    )
    cluster.gate.armed_vm = holder = find_lease_holder(cluster)
    load.vms.remove(holder)
    await asyncio.wait_for(cluster.gate.held.wait(), 60)
    load.mix = LONG_ANSWERS
    await asyncio.sleep(70)
    assert len(role_change_times(cluster)) == 1, "the next holder makes the recorded change"
    await record_role(cluster, cluster.gate.engine, EngineRole.DECODE)
    await asyncio.sleep(30)
    assert len(role_change_times(cluster)) == 2
    wanted = role_by_engine(cluster)
    cluster.resume_vm()
    await asyncio.sleep(1)
    assert (role_by_engine(cluster) == wanted) is checks_fencing
    await asyncio.sleep(MAX_RESTORE_SECONDS - 1)
    assert role_by_engine(cluster) == wanted
    await asyncio.sleep(20)
    assert role_by_engine(cluster) == wanted
    await stop_cluster(cluster, load, sending)
    assert len(role_change_times(cluster)) == (2 if checks_fencing else 4)
    assert load.failed_calls() == []
