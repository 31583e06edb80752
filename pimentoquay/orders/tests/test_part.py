"""The orders part against stand-in engines, in virtual time."""

import asyncio
import contextlib
from typing import Any

import pytest

from pimentoquay.backends.base import EngineRole
from pimentoquay.backends.events import EngineIdle
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.kernel import Identity, LoopClock, Node, PimentoquayError
from pimentoquay.membership.tests.conftest import vm_member
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.messages.workspaces import ModelSpec, Workspace
from pimentoquay.orders.part import OrdersPart
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.services.ports import Ports
from pimentoquay.standin.directory import EngineDirectory
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.log import StandinLog
from pimentoquay.standin.weight_store import StandinWeights
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]

SECTION = OrdersSection(loads_at_once=2)


def workspace(version, adapter="", weight=1):
    models = (ModelSpec("llm", version, adapter),)
    return Workspace("w", "t", (), models, (), (), 1, weight)


class OrdersCluster:
    """Engines, a log, and control processes with only the orders part."""

    def __init__(self, engines=6, checks_fencing=True):
        self.log = StandinLog()
        self.weights = StandinWeights(rate=1e9)
        self.engine_by_name = {}
        self.checks_fencing = checks_fencing
        for index in range(engines):
            name = f"e{index}"
            role = EngineRole.PREFILL if index % 2 else EngineRole.DECODE
            model = EngineModel(checks_fencing=checks_fencing)
            self.engine_by_name[name] = StandinEngine(
                name, "llm", EngineDirectory(), role, "v1", model, self.weights
            )
        self.tasks = []
        self.node_by_vm = {}

    def members(self, vms):
        engines = [
            Member(
                name,
                MemberKind.ENGINE,
                MemberState.LIVE,
                "r",
                "d",
                f"{name}:1",
                "llm",
                self.checks_fencing,
            )
            for name in self.engine_by_name
        ]
        return (*engines, *(vm_member(vm, "d") for vm in vms))

    def start(self, vm):
        identity = Identity(vm, "control", "r", "d", 1)
        node = Node(identity, MemoryNetwork().transport(identity), LoopClock(0.0))
        unused: Any = None
        ports = Ports(
            lambda member: self.engine_by_name[member.name], unused, self.log, unused, unused
        )
        part = OrdersPart(node, PeerSet(node), ports, SECTION)
        self.tasks += [
            asyncio.create_task(node.run((part,))),
            asyncio.create_task(self._report_status(node)),
        ]
        self.node_by_vm[vm] = node

    def publish_state(self, vm, live=("a",), version="v2", adapter=""):
        node = self.node_by_vm[vm]
        node.bus.publish(ClusterView(1, self.members(live), tuple(live), ("d",)))
        node.bus.publish(ConfigurationInForce(1, {"w": workspace(version, adapter)}, {"w": 1}))

    async def _report_status(self, node):
        while True:
            await node.timers.sleep(1.0)
            for engine in self.engine_by_name.values():
                with contextlib.suppress(PimentoquayError):
                    status = await engine.status()
                    node.bus.publish(status)
                    if not status.running:
                        # There is no scheduler here that would report idle engines.
                        node.bus.publish(EngineIdle(status.engine))

    def order_counts(self):
        return [len(engine.observed().orders) for engine in self.engine_by_name.values()]

    async def versions(self):
        return [(await engine.status()).version for engine in self.engine_by_name.values()]

    async def close(self):
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        assert all(isinstance(result, asyncio.CancelledError) for result in results), results


async def run_orders(body, **options):
    cluster = OrdersCluster(**options)
    try:
        await body(cluster)
    finally:
        await cluster.close()


@pytest.mark.parametrize("checks_fencing", [True, False])
async def test_every_engine_reaches_the_version_in_force_few_at_a_time(checks_fencing):
    async def body(cluster):
        cluster.start("a")
        cluster.publish_state("a", adapter="lora")
        min_serving = 6
        for _ in range(120):
            await asyncio.sleep(1)
            done = (await cluster.versions()).count("v2")
            loading = cluster.weights.active_reads
            min_serving = min(min_serving, 6 - loading)
            if done == 6:
                break
        await asyncio.sleep(20)
        assert await cluster.versions() == ["v2"] * 6
        for engine in cluster.engine_by_name.values():
            assert (await engine.status()).adapters == ("lora",)
        assert cluster.weights.max_concurrent_reads <= 2
        assert min_serving >= 4

    await run_orders(body, checks_fencing=checks_fencing)


async def test_reached_state_is_not_ordered_again():
    async def body(cluster):
        cluster.start("a")
        cluster.publish_state("a")
        await asyncio.sleep(120)
        loads = cluster.order_counts()
        await asyncio.sleep(120)
        after = cluster.order_counts()
        assert loads == after

    await run_orders(body)


async def test_deposed_owner_that_wakes_orders_nothing_that_lasts():
    """Guards against orders of a former owner that resumes with an old configuration.

    Process A is paused, B takes over the shard with a newer configuration, and A resumes.
    """

    async def body(cluster):
        cluster.start("a")
        cluster.publish_state("a", version="v2")
        await asyncio.sleep(100)
        assert await cluster.versions() == ["v2"] * 6
        cluster.node_by_vm["a"].timers.pause()
        cluster.start("b")
        cluster.publish_state("b", live=("b",), version="v3")
        await asyncio.sleep(200)
        assert await cluster.versions() == ["v3"] * 6
        before = cluster.order_counts()
        cluster.node_by_vm["a"].timers.resume()
        await asyncio.sleep(120)
        after = cluster.order_counts()
        assert before == after
        assert await cluster.versions() == ["v3"] * 6

    for checks_fencing in (True, False):
        await run_orders(body, checks_fencing=checks_fencing)


async def test_new_holder_with_nothing_to_change_shuts_out_the_one_before():
    """Guards against an order of A that was in flight when B took over and arrives late."""

    async def body(cluster):
        cluster.start("a")
        cluster.publish_state("a")
        await asyncio.sleep(100)
        engine = cluster.engine_by_name["e1"]
        late = engine.observed().orders[-1].order
        cluster.node_by_vm["a"].timers.pause()
        cluster.start("b")
        cluster.publish_state("b", live=("b",))
        await asyncio.sleep(60)
        with pytest.raises(PimentoquayError, match="is older than"):
            await engine.order(late)
        counts = cluster.order_counts()
        await asyncio.sleep(60)
        assert cluster.order_counts() == counts, "one order for each engine and holder"
        cluster.node_by_vm["a"].timers.resume()

    await run_orders(body)


async def test_engine_restarted_with_an_old_version_is_brought_back():
    async def body(cluster):
        cluster.start("a")
        cluster.publish_state("a")
        await asyncio.sleep(100)
        cluster.engine_by_name["e1"].crash()
        await asyncio.sleep(5)
        cluster.engine_by_name["e1"].restart()
        await asyncio.sleep(60)
        assert await cluster.versions() == ["v2"] * 6

    await run_orders(body)
