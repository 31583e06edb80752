"""A whole deployment in one event loop, with stand-in backend servers and an in-memory network.

Control and entry processes run their real code; only their outer interfaces are replaced. Under
virtual time, runs with the same seed are identical.

Example
-------
::

    cluster = MemoryCluster(PRINT_SERVICES, seed=1)
    await cluster.start()
    async with aclosing(cluster.vm_by_name["tt-north-vm-1"].entry.service.run(spec)) as frames:
        answer = [frame async for frame in frames]
    await cluster.close()
"""

import asyncio
import contextlib
import dataclasses

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.bench.deployment import Deployment, EnginePlan, VmPlan
from pimentoquay.control import load_parts
from pimentoquay.control.compose import PART_NAMES, ControlProcess, compose_control
from pimentoquay.control.settings import ControlSection, ControlSettings
from pimentoquay.entry.compose import EntryProcess, compose_entry
from pimentoquay.entry.ports import EntryPorts
from pimentoquay.entry.settings import HttpSection
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.kernel.sections import ClusterSection, LogSection, PlatformSection, VmSection
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.ports import Ports
from pimentoquay.standin.directory import EngineDirectory
from pimentoquay.standin.engine import StandinEngine
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.log import LogModel, StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import StandinPlain
from pimentoquay.standin.weight_store import StandinWeights
from pimentoquay.transport.memory import MemoryNetwork

__all__ = ["MemoryCluster", "Vm"]

WALL_CLOCK_START = 1_800_000_000.0
"""Unix time at loop time 0 in seconds; fixed, so that timestamps are the same in every run."""

_CONTROL_PORT = 7200
_ENGINE_PORT = 7100


@dataclasses.dataclass
class Vm:
    """An entry VM with its processes; a process that is down is ``None``."""

    plan: VmPlan
    address: str
    control: ControlProcess | None = None
    control_task: "asyncio.Task[None] | None" = None
    entry: EntryProcess | None = None
    entry_task: "asyncio.Task[None] | None" = None


class MemoryCluster:
    """Starts, stops and kills the processes of a deployment.

    Parameters
    ----------
    deployment
        Data centres, VMs, engines and services to start.
    seed
        Seed of the engines.
    engine_model
        Costs and limits of every engine.
    part_names
        Names of the parts of each control process.
    settings
        Sections of the control settings that differ from the defaults, by name.
    log_model
        Costs and limits of the log.
    weights
        Weight store of the engines; a new one by default.
    """

    def __init__(
        self,
        deployment: Deployment,
        seed: int = 1,
        engine_model: EngineModel | None = None,
        part_names: tuple[str, ...] = PART_NAMES,
        settings: dict[str, object] | None = None,
        log_model: LogModel | None = None,
        weights: StandinWeights | None = None,
    ) -> None:
        load_parts()
        self.deployment = deployment
        self._part_names = part_names
        self._settings = settings or {}
        self._incarnation = 0
        self.network = MemoryNetwork(deployment.one_way_delay)
        self.log = StandinLog(log_model)
        self.weights = weights or StandinWeights()
        model = engine_model or EngineModel()
        self._directory = EngineDirectory()
        self.member_by_name: dict[str, Member] = {}
        self.engine_by_name: dict[str, StandinEngine] = {}
        for index, plan in enumerate(deployment.engines()):
            self._add_engine(plan, dataclasses.replace(model, seed=seed * 1000 + index), index)
        self.plain_service_by_name: dict[str, StandinPlain] = {}
        for index, service in enumerate(deployment.service_plans()):
            self.plain_service_by_name[service.name] = StandinPlain(service.name)
            self._add_member(
                service.name, MemberKind.SERVICE, service.data_centre, f"10.2.0.{index}:80"
            )
        self.vm_by_name: dict[str, Vm] = {}
        for index, vm_plan in enumerate(deployment.vms()):
            address = f"10.0.0.{index + 1}:{_CONTROL_PORT}"
            self.vm_by_name[vm_plan.name] = Vm(vm_plan, address)
            self._add_member(vm_plan.name, MemberKind.ENTRY_VM, vm_plan.data_centre, address)
        self.membership = StandinMembership(self.member_by_name.values())

    async def start(self, settle: float = 4.0) -> None:
        """Start every process and wait ``settle`` seconds for the VMs to connect to each other."""
        for name in self.vm_by_name:
            self.start_control(name)
            self.start_entry(name)
        await asyncio.sleep(settle)

    async def close(self) -> None:
        """Kill every process."""
        for name in self.vm_by_name:
            await self.kill_entry(name)
            await self.kill_control(name)

    def start_control(self, name: str) -> ControlProcess:
        """Start the control process of a VM."""
        vm = self.vm_by_name[name]
        node = self._node(vm.plan, "control")
        ports = self.ports_of(node.identity)
        vm.control = compose_control(node, ports, self._control_settings(vm), self._part_names)
        vm.control_task = vm.control.start()
        return vm.control

    def start_entry(self, name: str) -> EntryProcess:
        """Start the entry process of a VM."""
        vm = self.vm_by_name[name]
        node = self._node(vm.plan, "entry")
        ports = self.ports_of(node.identity)
        section = HttpSection("-")
        vm.entry = compose_entry(node, EntryPorts(ports.engine, ports.plain), vm.address, section)
        vm.entry_task = asyncio.create_task(vm.entry.run(), name=f"entry {name}")
        return vm.entry

    async def kill_control(self, name: str) -> None:
        """End a control process abruptly, as a kill would."""
        vm = self.vm_by_name[name]
        if vm.control is not None and vm.control_task is not None:
            task, vm.control_task = vm.control_task, None
            await vm.control.node.transport.close()
            vm.control = None
            await _cancel_and_wait(task)

    async def kill_entry(self, name: str) -> None:
        """End an entry process abruptly; its requests end without a message to callers or peers."""
        vm = self.vm_by_name[name]
        if vm.entry is not None and vm.entry_task is not None:
            entry, vm.entry = vm.entry, None
            task, vm.entry_task = vm.entry_task, None
            await entry.node.transport.close()
            await _cancel_and_wait(task)

    def ports_of(self, process: Identity) -> Ports:
        """Return the outer interfaces of a process, which are connected to the stand-ins."""
        return Ports(self._engine, self._plain, self.log, self.membership, self.weights)

    def _engine(self, member: Member) -> EngineClient:
        return self.engine_by_name[member.name]

    def _plain(self, member: Member) -> PlainClient:
        return self.plain_service_by_name[member.name]

    def _node(self, plan: VmPlan, process: str) -> Node:
        self._incarnation += 1
        identity = Identity(
            plan.name, process, self.deployment.region, plan.data_centre, self._incarnation
        )
        return Node(identity, self.network.transport(identity), LoopClock(WALL_CLOCK_START))

    def _control_settings(self, vm: Vm) -> ControlSettings:
        required = {
            "vm": VmSection(vm.plan.name, self.deployment.region, vm.plan.data_centre),
            "cluster": ClusterSection("memory"),
            "platform": PlatformSection("-", "-", "-"),
            "control": ControlSection(vm.address),
            "log": LogSection(),
        }
        sections = {**required, **self._settings}
        for field in dataclasses.fields(ControlSettings):
            if field.name not in sections:
                sections[field.name] = field.type()  # type: ignore[operator]
        return ControlSettings(**sections)  # type: ignore[arg-type]

    def _add_engine(self, plan: EnginePlan, model: EngineModel, index: int) -> None:
        engine = StandinEngine(
            plan.name, plan.model, self._directory, plan.role, model=model, weights=self.weights
        )
        address = f"10.1.{index // 250}.{index % 250}:{_ENGINE_PORT}"
        self._directory.engine_by_address[address] = engine
        self.engine_by_name[plan.name] = engine
        self._add_member(
            plan.name,
            MemberKind.ENGINE,
            plan.data_centre,
            address,
            plan.model,
            model.checks_fencing,
        )

    def _add_member(
        self,
        name: str,
        kind: MemberKind,
        data_centre: str,
        address: str,
        pool: str = "",
        checks_fencing: bool = True,
    ) -> None:
        self.member_by_name[name] = Member(
            name,
            kind,
            MemberState.LIVE,
            self.deployment.region,
            data_centre,
            address,
            pool or name,
            checks_fencing,
        )


async def _cancel_and_wait(task: "asyncio.Task[None]") -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
