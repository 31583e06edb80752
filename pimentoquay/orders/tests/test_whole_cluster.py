"""Idempotency keys and orders in an in-memory cluster of seven VMs."""

import asyncio
import random

import pytest

from pimentoquay.backends.base import PlainCall
from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.entry.plain import PlainTarget
from pimentoquay.kernel import PimentoquayError, ResultCode, is_not_run
from pimentoquay.messages.workspaces import ModelSpec, ServiceSpec, Workspace

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

ORDERS = ServiceSpec("toner-orders", ("/orders",), 5.0)


class ServiceCallers:
    """Calls one service through any VM and records the result code of each call."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.count = 0
        self.codes_by_key = {}

    async def call(self, vm, key):
        entry = self.cluster.vm_by_name[vm].entry
        if entry is None:
            return
        self.count += 1
        call = PlainCall(f"r{self.count}", "POST", "/orders", key.encode(), "text/plain")
        target = PlainTarget("rates-hall", ORDERS, True, key)
        try:
            await entry._plain.call(target, call)
            code = ResultCode.OK
        except PimentoquayError as error:
            code = error.code
        self.codes_by_key.setdefault(key, []).append(code)

    def check(self):
        """Compare the runs at the backend servers with the result codes; return their number."""
        runs = [
            run
            for name, plain in self.cluster.plain_service_by_name.items()
            if name.startswith("toner-orders")
            for run in plain.observed().runs
        ]
        assert len({run.request_id for run in runs}) == len(runs)
        done = [code for codes in self.codes_by_key.values() for code in codes]
        assert done.count(ResultCode.OK) <= len(runs) <= len(self.codes_by_key)
        for key, codes in self.codes_by_key.items():
            assert codes.count(ResultCode.OK) <= 1, key
        may_have_run = sum(
            any(not is_not_run(code) for code in codes) for codes in self.codes_by_key.values()
        )
        assert len(runs) <= may_have_run
        return len(runs)


async def started():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()
    return cluster, ServiceCallers(cluster), list(cluster.vm_by_name)


async def test_one_key_through_every_vm_at_once_runs_once():
    cluster, callers, vms = await started()
    await asyncio.gather(*(callers.call(vm, "k") for vm in vms for _ in range(3)))
    assert callers.check() == 1
    assert callers.codes_by_key["k"].count(ResultCode.OK) == 1
    await cluster.close()


class RandomFaults:
    """Injects kills, network cuts and log faults in a random order."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng

    async def run(self, count):
        kinds = (self.kill, self.cut, self.outage, self.slow, self.kill_and_cut)
        for _ in range(count):
            await asyncio.sleep(self.rng.uniform(0, 5))
            self.cluster.log.lose_next_answers(self.rng.randrange(3))
            await self.rng.choice(kinds)()

    async def kill(self):
        victim = self.rng.choice(list(self.cluster.vm_by_name))
        await self.cluster.kill_control(victim)
        await asyncio.sleep(self.rng.uniform(1, 6))
        self.cluster.start_control(victim)

    async def cut(self):
        cut_off = self.rng.choice(PRINT_SERVICES.data_centres)
        location = {name: vm.plan.data_centre for name, vm in self.cluster.vm_by_name.items()}
        pairs = [
            (a, b) for a in location for b in location if location[a] == cut_off != location[b]
        ]
        for pair in pairs:
            self.cluster.network.cut(*pair)
        await asyncio.sleep(self.rng.uniform(1, 8))
        for pair in pairs:
            self.cluster.network.heal(*pair)

    async def outage(self):
        self.cluster.log.outage(self.rng.uniform(0, 5))

    async def slow(self):
        self.cluster.log.slow(self.rng.uniform(0, 3), self.rng.uniform(0, 6))

    async def kill_and_cut(self):
        await asyncio.gather(self.kill(), self.cut())


@pytest.mark.parametrize("seed", range(4))
async def test_keys_run_at_most_once_through_kills_cuts_and_log_faults(seed):
    rng = random.Random(seed)
    cluster, callers, vms = await started()

    async def caller():
        for _ in range(15):
            await asyncio.sleep(rng.uniform(0, 4))
            await callers.call(rng.choice(vms), f"k{rng.randrange(30)}")

    await asyncio.gather(RandomFaults(cluster, rng).run(6), *(caller() for _ in range(8)))
    assert callers.check() >= 10
    await cluster.close()


async def test_published_version_reaches_every_engine_of_a_region():
    cluster, _, _ = await started()
    workspace = Workspace("w", "t", (), (ModelSpec("diag-llm", "v2", ""),), (), (), 1, 1)
    for vm in cluster.vm_by_name.values():
        vm.control.node.bus.publish(ConfigurationInForce(1, {"w": workspace}, {"w": 1}))
    await asyncio.sleep(90)
    versions = {
        (await engine.status()).version
        for name, engine in cluster.engine_by_name.items()
        if cluster.member_by_name[name].pool == "diag-llm"
    }
    assert versions == {"v2"}
    assert cluster.weights.max_concurrent_reads <= 4 * len(PRINT_SERVICES.data_centres)
    await cluster.close()
