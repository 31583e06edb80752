"""One run: a deployment in memory under virtual time, with callers, faults and measures."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import aclosing
from dataclasses import dataclass, replace
from typing import Any

from pimentoquay.backends.base import EngineRole, ImportOrder, PrefillOrder, PrefillResult
from pimentoquay.bench.compare.deployment import VMS_PER_DATA_CENTRE, Deployment
from pimentoquay.bench.compare.measures import CallRecord, Measures, measure
from pimentoquay.bench.compare.naive import NaivePart
from pimentoquay.bench.compare.scenarios import Scenario
from pimentoquay.bench.compare.variants import Variant
from pimentoquay.bench.compare.workload import Arrival, arrivals
from pimentoquay.entry import RequestService, RequestSpec, SchedulerLink
from pimentoquay.entry.metrics import EntryMetrics, RequestOutcome
from pimentoquay.kernel import (
    ChannelOpened,
    Identity,
    LoopClock,
    Node,
    PimentoquayError,
    ResultCode,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.policy import prefix_hashes
from pimentoquay.scheduler import SchedulerPart
from pimentoquay.services.ports import Ports
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine, count_tokens
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

__all__ = ["World", "run_scenario"]

WARM_UP_SECONDS = 2.0
"""Time between the start of the processes and the first request."""

LOCAL_DELAY_SECONDS = 0.0002
"""One way between VMs of one data centre."""

WORKSPACE_LIMIT = 200
SILENT_SECONDS = 0.75
"""Time after a control process's death at which its peers count it as dead."""


class CountedEngine(StandinEngine):
    """A stand-in engine that notes when work was sent to it, and whether it took it."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_at: list[float] = []
        self.accepted_at: list[float] = []

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Note the call and do it."""
        self.sent_at.append(asyncio.get_running_loop().time())
        result = await super().prefill(order)
        self.accepted_at.append(asyncio.get_running_loop().time())
        return result

    async def import_kv(self, order: ImportOrder) -> None:
        """Note the call and do it."""
        self.sent_at.append(asyncio.get_running_loop().time())
        await super().import_kv(order)
        self.accepted_at.append(asyncio.get_running_loop().time())


class OutcomeLog(EntryMetrics):
    """Entry metrics that keep every queue time."""

    def __init__(self) -> None:
        super().__init__()
        self.worst_queue = 0.0

    def count(self, outcome: RequestOutcome) -> None:
        """Count one outcome."""
        super().count(outcome)
        self.worst_queue = max(self.worst_queue, outcome.queue_seconds or 0.0)


@dataclass
class ControlProcess:
    """The control process of one VM."""

    node: Node
    peers: PeerSet
    part: Any
    task: asyncio.Task[None]


class World:
    """The processes of one run."""

    def __init__(self, deployment: Deployment, variant: Variant, model: EngineModel) -> None:
        self.deployment = deployment
        self.variant = variant
        self.network = MemoryNetwork(LOCAL_DELAY_SECONDS)
        self.engine_by_name: dict[str, CountedEngine] = {}
        self.outcomes = OutcomeLog()
        self.records: list[CallRecord] = []
        self.calls: dict[str, asyncio.Task[None]] = {}
        self.control_by_vm: dict[str, ControlProcess] = {}
        self._entry_by_vm: dict[str, RequestService] = {}
        self._data_centre_by_vm: dict[str, str] = {}
        self._members: list[Member] = []
        self._live: list[str] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._directory = EngineDirectory()
        self._entry_peers: list[PeerSet] = []
        self._incarnation = 0
        self.start_at = 0.0
        self.fault_at = 0.0
        self.rng = random.Random(0)
        self.faulty_engine: CountedEngine | None = None
        self.held_after_cancel = 0
        self._build_members(model)

    async def start(self) -> None:
        """Start every process and wait until the channels are up."""
        for vm in self._data_centre_by_vm:
            await self.start_control(vm)
        for vm in self._data_centre_by_vm:
            self._start_entry(vm)
        self.publish_view()
        await asyncio.sleep(WARM_UP_SECONDS)

    async def stop(self) -> None:
        """End every process."""
        for vm in list(self.control_by_vm):
            await self.kill_control(vm)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peers in self._entry_peers:
            await peers.close()
        await asyncio.sleep(0.01)

    async def start_control(self, vm: str) -> None:
        """Start, or start anew, the control process of a VM."""
        self._incarnation += 1
        node = self._node(vm, "control", self._incarnation)
        peers = PeerSet(node)
        part = self._part(node, peers)
        opened = node.bus.subscribe(ChannelOpened)
        await node.transport.listen(f"{vm}:1", peers.serve)
        task = asyncio.create_task(self._run_control(vm, part, opened))
        self.control_by_vm[vm] = ControlProcess(node, peers, part, task)
        self._live.append(vm)
        node.bus.publish(self._view(vm))

    async def kill_control(self, vm: str) -> None:
        """End a control process as a crash does."""
        control = self.control_by_vm.pop(vm)
        control.task.cancel()
        await asyncio.gather(control.task, return_exceptions=True)
        control.node.timers.close()
        await control.node.transport.close()
        self._live.remove(vm)

    async def lose_owner(self, pool: str, down: float) -> None:
        """Kill the control process that owns the pool's first shard, and restart it later."""
        owner = next(
            vm
            for vm, control in self.control_by_vm.items()
            if any(name.startswith(pool) for name in control.part.scheduler_by_shard)
        )
        await self.kill_control(owner)
        await asyncio.sleep(SILENT_SECONDS)
        self.publish_view()
        await asyncio.sleep(down - SILENT_SECONDS)
        await self.start_control(owner)
        self.publish_view()

    def publish_view(self) -> None:
        """Tell every control process and its entry who is alive."""
        for vm, control in self.control_by_vm.items():
            view = self._view(vm)
            control.node.bus.publish(view)
            for channel in control.peers.channels("entry"):
                channel.send(view)

    def engines_of(self, pool: str, role: EngineRole) -> list[CountedEngine]:
        """Return a pool's engines that were started in a role."""
        return [
            self.engine_by_name[name]
            for name in self.engine_by_name
            if name.startswith(f"{pool}-") and name.split("-")[-2] == role.name.lower()
        ]

    async def call(self, arrival: Arrival) -> None:
        """Run one request as its caller sees it."""
        vms = [v for v, dc in self._data_centre_by_vm.items() if dc == arrival.data_centre]
        service = self._entry_by_vm[vms[arrival.vm_index % len(vms)]]
        record = CallRecord(arrival)
        self.records.append(record)
        try:
            async with aclosing(service.run(_spec(arrival))) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    record.take(chunk, asyncio.get_running_loop().time())
            record.code = ResultCode.OK
        except PimentoquayError as error:
            record.code = error.code
        finally:
            record.ended_at = asyncio.get_running_loop().time()

    def schedulers(self) -> Iterator[Any]:
        """Yield every shard scheduler."""
        for control in self.control_by_vm.values():
            yield from getattr(control.part, "scheduler_by_shard", {}).values()

    async def _run_control(self, vm: str, part: Any, opened: "asyncio.Queue[Any]") -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(part.run())
            group.create_task(self._greet(vm, opened))

    async def _greet(self, vm: str, opened: "asyncio.Queue[Any]") -> None:
        while True:
            channel = (await opened.get()).message.channel
            if channel.peer.process == "entry":
                channel.send(self._view(vm))

    def _start_entry(self, vm: str) -> None:
        node = self._node(vm, "entry", 1 + list(self._data_centre_by_vm).index(vm))
        peers = PeerSet(node)
        self._entry_peers.append(peers)
        link = SchedulerLink(node, peers, f"{vm}:1")
        self._entry_by_vm[vm] = RequestService(
            node, link, lambda member: self.engine_by_name[member.name], self.outcomes
        )
        self._tasks.append(asyncio.create_task(link.run()))

    def _node(self, vm: str, process: str, incarnation: int) -> Node:
        place = self._data_centre_by_vm[vm]
        identity = Identity(vm, process, self._seen_region(vm), place, incarnation)
        return Node(identity, self.network.transport(identity), LoopClock(0.0))

    def _seen_region(self, vm: str) -> str:
        if self.variant.is_split:
            return self._data_centre_by_vm[vm]
        return self.deployment.region

    def _part(self, node: Node, peers: PeerSet) -> Any:
        if self.variant.section is not None:
            engine = lambda member: self.engine_by_name[member.name]  # noqa: E731
            ports: Any = Ports(engine, None, None, None, None)  # type: ignore[arg-type]
            return SchedulerPart(node, peers, ports, self.variant.section)
        pools = [pool.name for pool in self.deployment.pools]
        return NaivePart(
            node,
            {pool: self._stage_members(pool, EngineRole.DECODE) for pool in pools},
            {pool: self._stage_members(pool, EngineRole.PREFILL) for pool in pools},
        )

    def _stage_members(self, pool: str, unsuited: EngineRole) -> tuple[Member, ...]:
        word = f"-{unsuited.name.lower()}-"
        return tuple(m for m in self._members if m.pool == pool and word not in m.name)

    def _view(self, vm: str) -> ClusterView:
        """Return what a VM knows; a naive one knows itself alone, and every engine as near."""
        members, live = tuple(self._members), tuple(sorted(self._live))
        if self.variant.section is None:
            place = self._data_centre_by_vm[vm]
            members = tuple(replace(member, region=place, data_centre=place) for member in members)
            live = (vm,)
        elif self.variant.is_split:
            members = tuple(replace(member, region=member.data_centre) for member in members)
        return ClusterView(1, members, live, self.deployment.data_centres)

    def _build_members(self, model: EngineModel) -> None:
        number = 0
        for place, count in zip(self.deployment.data_centres, VMS_PER_DATA_CENTRE, strict=True):
            for index in range(count):
                vm = f"{place}-{index}"
                self._data_centre_by_vm[vm] = place
                self._members.append(self._member(vm, MemberKind.ENTRY_VM, place, f"{vm}:1", ""))
            for pool in self.deployment.pools:
                for role in pool.roles:
                    number += 1
                    name = f"{pool.name}-{role.name.lower()}-{number}"
                    engine = CountedEngine(
                        name, pool.name, self._directory, role, model=replace(model, seed=number)
                    )
                    self.engine_by_name[name] = engine
                    self._directory.engine_by_address[f"{name}:1"] = engine
                    kind = MemberKind.ENGINE
                    self._members.append(self._member(name, kind, place, f"{name}:1", pool.name))
        self._delay_data_centres()

    def _member(self, name: str, kind: MemberKind, place: str, address: str, pool: str) -> Member:
        region = self.deployment.region
        return Member(name, kind, MemberState.LIVE, region, place, address, pool, True)

    def _delay_data_centres(self) -> None:
        for vm, place in self._data_centre_by_vm.items():
            for other, other_place in self._data_centre_by_vm.items():
                if place != other_place:
                    self.network.set_delay(vm, other, self.deployment.delay)


def _spec(arrival: Arrival) -> RequestSpec:
    return RequestSpec(
        arrival.request_id,
        arrival.workspace,
        arrival.kind.model,
        arrival.kind,
        arrival.prompt,
        count_tokens(arrival.prompt),
        prefix_hashes(arrival.prompt),
        arrival.kind.max_tokens,
        False,
        True,
        WORKSPACE_LIMIT,
    )


def run_scenario(
    scenario: Scenario, deployment: Deployment, variant: Variant, seed: int, seconds: float
) -> Measures:
    """Run one scenario with one policy and return what was measured."""
    import looptime  # A library of tests; the programs themselves do without it.

    logger.disable("pimentoquay")
    loop = looptime.new_event_loop(start=0)
    try:
        return loop.run_until_complete(_run(scenario, deployment, variant, seed, seconds))
    finally:
        loop.close()
        logger.enable("pimentoquay")


async def _run(
    scenario: Scenario, deployment: Deployment, variant: Variant, seed: int, seconds: float
) -> Measures:
    loop = asyncio.get_running_loop()
    model = scenario.engine_model(deployment)
    world = World(deployment, variant, model)
    await world.start()
    start = world.start_at = loop.time()
    rng = random.Random(f"fault/{seed}")
    fault = asyncio.create_task(scenario.fault(world, start, seconds, rng))
    for arrival in arrivals(deployment, scenario.shape(deployment, seconds), model, seconds, seed):
        await asyncio.sleep(start + arrival.at - loop.time())
        task = asyncio.create_task(world.call(arrival))
        world.calls[arrival.request_id] = task
        task.add_done_callback(lambda _, name=arrival.request_id: world.calls.pop(name))
    await asyncio.gather(*world.calls.values(), return_exceptions=True)
    await fault
    await asyncio.sleep(scenario.settle_seconds)
    result = measure(world, scenario, start, seconds)
    await world.stop()
    return result
