"""One run of a scenario: all processes of a deployment in memory, under virtual time."""

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

__all__ = ["Simulation", "run_scenario"]

WARM_UP_SECONDS = 2.0
"""Time between the start of the processes and the first request, in seconds."""

LOCAL_DELAY_SECONDS = 0.0002
"""One-way network delay between VMs of a data centre, in seconds."""

WORKSPACE_LIMIT = 200
"""Maximum number of concurrent requests of a workspace."""

FAILURE_DETECTION_SECONDS = 0.75
"""Time after which peers consider a killed control process dead, in seconds."""


class RecordingEngine(StandinEngine):
    """A stand-in engine that records the times at which work was sent to it and accepted by it."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.sent_at: list[float] = []
        self.accepted_at: list[float] = []

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Record the call and run the prefill."""
        self.sent_at.append(asyncio.get_running_loop().time())
        result = await super().prefill(order)
        self.accepted_at.append(asyncio.get_running_loop().time())
        return result

    async def import_kv(self, order: ImportOrder) -> None:
        """Record the call and import the KV cache."""
        self.sent_at.append(asyncio.get_running_loop().time())
        await super().import_kv(order)
        self.accepted_at.append(asyncio.get_running_loop().time())


class QueueTimeMetrics(EntryMetrics):
    """Entry metrics that also keep the longest queue time, in seconds."""

    def __init__(self) -> None:
        super().__init__()
        self.worst_queue = 0.0

    def count(self, outcome: RequestOutcome) -> None:
        """Count the outcome of a request."""
        super().count(outcome)
        self.worst_queue = max(self.worst_queue, outcome.queue_seconds or 0.0)


@dataclass
class ControlProcess:
    """The control process of one VM."""

    node: Node
    peers: PeerSet
    part: Any
    task: asyncio.Task[None]


class Simulation:
    """The processes, engines and callers of one run."""

    def __init__(self, deployment: Deployment, variant: Variant, model: EngineModel) -> None:
        self.deployment = deployment
        self.variant = variant
        self.network = MemoryNetwork(LOCAL_DELAY_SECONDS)
        self.engine_by_name: dict[str, RecordingEngine] = {}
        self.entry_metrics = QueueTimeMetrics()
        self.records: list[CallRecord] = []
        self.calls: dict[str, asyncio.Task[None]] = {}
        self.control_by_vm: dict[str, ControlProcess] = {}
        self._entry_by_vm: dict[str, RequestService] = {}
        self._data_centre_by_vm: dict[str, str] = {}
        self._members: list[Member] = []
        self._live_vms: list[str] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._directory = EngineDirectory()
        self._entry_peers: list[PeerSet] = []
        self._incarnation = 0
        self.start_at = 0.0
        self.fault_at = 0.0
        self.rng = random.Random(0)
        self.faulty_engine: RecordingEngine | None = None
        self.held_after_cancel = 0
        self._build_members(model)

    async def start(self) -> None:
        """Start every process and wait until their channels are open."""
        for vm in self._data_centre_by_vm:
            await self.start_control(vm)
        for vm in self._data_centre_by_vm:
            self._start_entry(vm)
        self.publish_view()
        await asyncio.sleep(WARM_UP_SECONDS)

    async def stop(self) -> None:
        """Stop every process."""
        for vm in list(self.control_by_vm):
            await self.kill_control(vm)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for peers in self._entry_peers:
            await peers.close()
        await asyncio.sleep(0.01)

    async def start_control(self, vm: str) -> None:
        """Start or restart the control process of a VM."""
        self._incarnation += 1
        node = self._make_node(vm, "control", self._incarnation)
        peers = PeerSet(node)
        part = self._make_part(node, peers)
        opened = node.bus.subscribe(ChannelOpened)
        await node.transport.listen(f"{vm}:1", peers.serve)
        task = asyncio.create_task(self._run_control(vm, part, opened))
        self.control_by_vm[vm] = ControlProcess(node, peers, part, task)
        self._live_vms.append(vm)
        node.bus.publish(self._view_of(vm))

    async def kill_control(self, vm: str) -> None:
        """End a control process abruptly, as a crash would."""
        control = self.control_by_vm.pop(vm)
        control.task.cancel()
        await asyncio.gather(control.task, return_exceptions=True)
        control.node.timers.close()
        await control.node.transport.close()
        self._live_vms.remove(vm)

    async def restart_owner(self, pool: str, down_seconds: float) -> None:
        """Kill the first control process that owns a shard of the pool, and restart it.

        ``down_seconds`` is the time until the restart, in seconds.
        """
        owner = next(
            vm
            for vm, control in self.control_by_vm.items()
            if any(name.startswith(pool) for name in control.part.scheduler_by_shard)
        )
        await self.kill_control(owner)
        await asyncio.sleep(FAILURE_DETECTION_SECONDS)
        self.publish_view()
        await asyncio.sleep(down_seconds - FAILURE_DETECTION_SECONDS)
        await self.start_control(owner)
        self.publish_view()

    def publish_view(self) -> None:
        """Send the current membership to every control process and its entry."""
        for vm, control in self.control_by_vm.items():
            view = self._view_of(vm)
            control.node.bus.publish(view)
            for channel in control.peers.channels("entry"):
                channel.send(view)

    def engines_of(self, pool: str, role: EngineRole) -> list[RecordingEngine]:
        """Return the engines of a pool that were started in a role."""
        return [
            self.engine_by_name[name]
            for name in self.engine_by_name
            if name.startswith(f"{pool}-") and name.split("-")[-2] == role.name.lower()
        ]

    async def call(self, arrival: Arrival) -> None:
        """Run one request and record what its caller receives."""
        vms = [v for v, dc in self._data_centre_by_vm.items() if dc == arrival.data_centre]
        service = self._entry_by_vm[vms[arrival.vm_index % len(vms)]]
        record = CallRecord(arrival)
        self.records.append(record)
        try:
            async with aclosing(service.run(_request_spec(arrival))) as chunks:  # type: ignore[type-var]
                async for chunk in chunks:
                    record.add_chunk(chunk, asyncio.get_running_loop().time())
            record.code = ResultCode.OK
        except PimentoquayError as error:
            record.code = error.code
        finally:
            record.ended_at = asyncio.get_running_loop().time()

    def schedulers(self) -> Iterator[Any]:
        """Yield the scheduler of every shard."""
        for control in self.control_by_vm.values():
            yield from getattr(control.part, "scheduler_by_shard", {}).values()

    async def _run_control(self, vm: str, part: Any, opened: "asyncio.Queue[Any]") -> None:
        async with asyncio.TaskGroup() as group:
            group.create_task(part.run())
            group.create_task(self._send_view_to_entries(vm, opened))

    async def _send_view_to_entries(self, vm: str, opened: "asyncio.Queue[Any]") -> None:
        while True:
            channel = (await opened.get()).message.channel
            if channel.peer.process == "entry":
                channel.send(self._view_of(vm))

    def _start_entry(self, vm: str) -> None:
        node = self._make_node(vm, "entry", 1 + list(self._data_centre_by_vm).index(vm))
        peers = PeerSet(node)
        self._entry_peers.append(peers)
        link = SchedulerLink(node, peers, f"{vm}:1")
        self._entry_by_vm[vm] = RequestService(
            node, link, lambda member: self.engine_by_name[member.name], self.entry_metrics
        )
        self._tasks.append(asyncio.create_task(link.run()))

    def _make_node(self, vm: str, process: str, incarnation: int) -> Node:
        data_centre = self._data_centre_by_vm[vm]
        identity = Identity(vm, process, self._visible_region(vm), data_centre, incarnation)
        return Node(identity, self.network.transport(identity), LoopClock(0.0))

    def _visible_region(self, vm: str) -> str:
        if self.variant.is_split:
            return self._data_centre_by_vm[vm]
        return self.deployment.region

    def _make_part(self, node: Node, peers: PeerSet) -> Any:
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

    def _stage_members(self, pool: str, excluded_role: EngineRole) -> tuple[Member, ...]:
        infix = f"-{excluded_role.name.lower()}-"
        return tuple(m for m in self._members if m.pool == pool and infix not in m.name)

    def _view_of(self, vm: str) -> ClusterView:
        """Return the membership as a VM sees it.

        With the naive policy, the VM sees no other VM, and all engines appear to be in its own data
        centre. With a split policy, each data centre appears as a region of its own.
        """
        members, live = tuple(self._members), tuple(sorted(self._live_vms))
        if self.variant.section is None:
            data_centre = self._data_centre_by_vm[vm]
            members = tuple(
                replace(member, region=data_centre, data_centre=data_centre) for member in members
            )
            live = (vm,)
        elif self.variant.is_split:
            members = tuple(replace(member, region=member.data_centre) for member in members)
        return ClusterView(1, members, live, self.deployment.data_centres)

    def _build_members(self, model: EngineModel) -> None:
        number = 0
        for data_centre, count in zip(
            self.deployment.data_centres, VMS_PER_DATA_CENTRE, strict=True
        ):
            for index in range(count):
                vm = f"{data_centre}-{index}"
                self._data_centre_by_vm[vm] = data_centre
                self._members.append(
                    self._make_member(vm, MemberKind.ENTRY_VM, data_centre, f"{vm}:1", "")
                )
            for pool in self.deployment.pools:
                for role in pool.roles:
                    number += 1
                    name = f"{pool.name}-{role.name.lower()}-{number}"
                    engine = RecordingEngine(
                        name,
                        pool.name,
                        self._directory,
                        role,
                        model=replace(model, seed=number),
                    )
                    self.engine_by_name[name] = engine
                    self._directory.engine_by_address[f"{name}:1"] = engine
                    kind = MemberKind.ENGINE
                    self._members.append(
                        self._make_member(name, kind, data_centre, f"{name}:1", pool.name)
                    )
        self._set_delays()

    def _make_member(
        self, name: str, kind: MemberKind, data_centre: str, address: str, pool: str
    ) -> Member:
        region = self.deployment.region
        return Member(name, kind, MemberState.LIVE, region, data_centre, address, pool, True)

    def _set_delays(self) -> None:
        for vm, data_centre in self._data_centre_by_vm.items():
            for other, other_data_centre in self._data_centre_by_vm.items():
                if data_centre != other_data_centre:
                    self.network.set_delay(vm, other, self.deployment.delay)


def _request_spec(arrival: Arrival) -> RequestSpec:
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
    """Run a scenario with a policy for some seconds of virtual time and return its measures."""
    import looptime  # Imported here so that the other commands work without this test dependency.

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
    simulation = Simulation(deployment, variant, model)
    await simulation.start()
    start = simulation.start_at = loop.time()
    rng = random.Random(f"fault/{seed}")
    fault = asyncio.create_task(scenario.fault(simulation, start, seconds, rng))
    for arrival in arrivals(deployment, scenario.shape(deployment, seconds), model, seconds, seed):
        await asyncio.sleep(start + arrival.at - loop.time())
        task = asyncio.create_task(simulation.call(arrival))
        simulation.calls[arrival.request_id] = task
        task.add_done_callback(lambda _, name=arrival.request_id: simulation.calls.pop(name))
    await asyncio.gather(*simulation.calls.values(), return_exceptions=True)
    await fault
    await asyncio.sleep(scenario.settle_seconds)
    result = measure(simulation, scenario, start, seconds)
    await simulation.stop()
    return result
