"""Small in-memory cluster whose processes, connections and stand-ins can be made to fail."""

import asyncio
import hashlib
from collections import Counter
from dataclasses import replace

from pimentoquay.backends.base import EngineClient, PlainClient
from pimentoquay.bench.deployment import Deployment, EnginePlan, Pool
from pimentoquay.bench.faults.connections import (
    PLATFORM,
    ConnectionFaults,
    InterruptibleEngine,
    InterruptibleLog,
    InterruptibleMembership,
    InterruptiblePlainService,
    ProcessConnection,
)
from pimentoquay.bench.faults.records import WORKSPACE, CallRecord, InForce, Published
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.configuration.publish import STREAM
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.configuration.view import hash_of_key
from pimentoquay.control.compose import ControlProcess
from pimentoquay.control.drain import drain_control
from pimentoquay.entry.compose import EntryProcess
from pimentoquay.kernel import Envelope, Identity, Node
from pimentoquay.messages import encode
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import (
    ConfigurationRecord,
    KindSpec,
    ModelSpec,
    ServiceSpec,
    Workspace,
)
from pimentoquay.orders.settings import OnceOnlySection, OrdersSection
from pimentoquay.services.ports import Ports
from pimentoquay.standin.engine_model import EngineModel
from pimentoquay.standin.log import LogModel
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.standin.plain_service import StandinPlain
from pimentoquay.standin.weight_store import StandinWeights

__all__ = [
    "KEY",
    "MODEL",
    "SERVICE",
    "WORKSPACE",
    "FaultCluster",
    "make_workspace",
]

KEY = "key-of-office"
"""API key of the workspace."""

MODEL = "diag-llm"
SERVICE = "orders"

_DEPLOYMENT = Deployment("region", ("dc-a", "dc-b"), 0.0005, 4, (Pool(MODEL, 1, 1, 1),), (SERVICE,))
_WEIGHT_BYTES_PER_SECOND = 1e10
"""Rate of the weight store in bytes per second, at which a load takes less than a second."""

_LOG_MODEL = LogModel(retention=15.0)
_SETTINGS: dict[str, object] = {
    "configuration": ConfigurationSection(
        log_retention=_LOG_MODEL.retention, checkpoint_fraction=0.2
    ),
    "once_only": OnceOnlySection(key_lifetime=_LOG_MODEL.retention),
    "orders": OrdersSection(
        lease=4.0,
        longest_pause=6.0,
        order_timeout=1.0,
        log_timeout=1.0,
        reconcile_period=0.5,
        loads_at_once=4,
        load_timeout=2.0,
        role_high=0.1,
        role_low=1.0,
        role_hold=0.0,
        role_dwell=2.0,
        prefill_backlog=100.0,
    ),
}
"""Settings whose lease, role and retention times are short enough to pass in each schedule."""

_DRAIN_NOTICE_SECONDS = 1.0
"""Time from the start of a drain until the wait for the entry's last caller, in seconds."""


def make_workspace(weight: int, model_version: str) -> Workspace:
    """Return the workspace of all callers; each of its versions has a different ``weight``."""
    kinds = (
        KindSpec("diagnosis", MODEL, Urgency.NORMAL, 1.5, 0.1, 8000, 250, True),
        KindSpec("once", MODEL, Urgency.URGENT, 1.5, 0.1, 8000, 250, False),
    )
    service = ServiceSpec(SERVICE, ("/orders",), 2.0)
    models = (ModelSpec(MODEL, model_version, ""),)
    hashes = (hash_of_key(KEY),)
    return Workspace(WORKSPACE, "office", hashes, models, kinds, (service,), 60, weight)


class FaultCluster(MemoryCluster):
    """Cluster of two data centres with two VMs each, with methods to inject failures.

    It also keeps the records from which the invariants are checked.
    """

    def __init__(self, seed: int) -> None:
        self.connection_faults = ConnectionFaults()
        self.in_force: list[InForce] = []
        self.draining: set[str] = set()
        self.published: list[Published] = []
        self.model_version = "v2"
        self.version_by_weight = {1: self.model_version}
        self.configuration_log: dict[int, bytes] = {}
        self.errors: list[str] = []
        self.records: list[CallRecord] = []
        self._connection_by_incarnation: dict[int, ProcessConnection] = {}
        self._pause_count_by_process: Counter[str] = Counter()
        self._leaving_count_by_engine: Counter[str] = Counter()
        self._inbox_by_vm: dict[str, asyncio.Queue[Envelope]] = {}
        model = EngineModel(step_seconds=0.05, load_seconds=0.2, decode_slots=8)
        weights = StandinWeights(_WEIGHT_BYTES_PER_SECOND)
        super().__init__(
            _DEPLOYMENT, seed, model, settings=_SETTINGS, log_model=_LOG_MODEL, weights=weights
        )
        self._add_second_server()
        self.vms = tuple(self.vm_by_name)
        self.engines = tuple(self.engine_by_name)

    async def publish_and_start(self) -> None:
        """Publish the workspace and start every process."""
        record = ConfigurationRecord(
            "first", WORKSPACE, 0, 0, make_workspace(1, self.model_version), "operator"
        )
        await self.log.append(STREAM, encode(record))
        await self.start()

    def ports_of(self, process: Identity) -> Ports:
        """Return clients of the stand-ins over a new connection of one process."""
        connection = ProcessConnection(self.connection_faults, process)
        self._connection_by_incarnation[process.incarnation] = connection

        def engine(member: Member) -> EngineClient:
            return InterruptibleEngine(
                self.engine_by_name[member.name], connection, member.data_centre
            )

        def plain(member: Member) -> PlainClient:
            return InterruptiblePlainService(
                self.plain_service_by_name[member.name], connection, member.data_centre
            )

        log, membership = (
            InterruptibleLog(self.log, connection),
            InterruptibleMembership(self.membership, connection),
        )
        return Ports(engine, plain, log, membership, self.weights)

    def start_control(self, name: str) -> ControlProcess:
        """Start a VM's control process and subscribe to the configurations it puts in force."""
        control = super().start_control(name)
        self._inbox_by_vm[name] = control.node.bus.subscribe(ConfigurationInForce)
        return control

    def start_vm(self, name: str) -> None:
        """Start those processes of a VM that are not running."""
        self.draining.discard(name)
        if self.vm_by_name[name].control is None:
            self.start_control(name)
        if self.vm_by_name[name].entry is None:
            self.start_entry(name)

    def entry_of(self, name: str) -> EntryProcess | None:
        """Return a VM's entry process, or ``None`` if a load balancer would not use it."""
        entry = self.vm_by_name[name].entry
        if entry is None or name in self.draining or not entry.http.is_ready:
            return None
        return entry

    def connection_of(self, entry: EntryProcess) -> ProcessConnection:
        """Return the connection of an entry process."""
        return self._connection_by_incarnation[entry.node.identity.incarnation]

    async def kill_control(self, name: str) -> None:
        """Kill a VM's control process."""
        control = self.vm_by_name[name].control
        if control is not None:
            self._connection_by_incarnation[control.node.identity.incarnation].kill()
        await super().kill_control(name)

    async def kill_entry(self, name: str) -> None:
        """Kill a VM's entry process; its callers lose their connections."""
        entry = self.vm_by_name[name].entry
        if entry is not None:
            self.connection_of(entry).kill()
        await super().kill_entry(name)

    def pause(self, vm: str, process: str) -> None:
        """Pause a process and its timers until ``resume`` has been called once for each pause."""
        name = f"{vm}/{process}"
        self._pause_count_by_process[name] += 1
        if self._pause_count_by_process[name] > 1:
            return
        self.network.pause(name)
        self.connection_faults.pause(name)
        for node in self._nodes(vm, process):
            node.timers.pause()

    def resume(self, vm: str, process: str) -> None:
        """End one pause of a process; it continues once all its pauses have ended."""
        name = f"{vm}/{process}"
        self._pause_count_by_process[name] -= 1
        if self._pause_count_by_process[name]:
            return
        self.network.resume(name)
        self.connection_faults.resume(name)
        for node in self._nodes(vm, process):
            node.timers.resume()

    def set_cut(self, first: str, second: str, is_cut: bool) -> None:
        """Cut or reconnect two data centres, or a data centre and the platform."""
        pair = frozenset((first, second))
        if is_cut:
            self.connection_faults.cuts.add(pair)
        else:
            self.connection_faults.cuts.discard(pair)
        if PLATFORM in pair:
            return
        apply = self.network.cut if is_cut else self.network.heal
        for first_vm in self._vms_in(first):
            for second_vm in self._vms_in(second):
                apply(first_vm, second_vm)

    async def drain(self, name: str) -> None:
        """Shut a VM down gracefully, as its programs do on a termination signal."""
        vm = self.vm_by_name[name]
        control, entry = vm.control, vm.entry
        self.draining.add(name)
        if control is None or entry is None:
            return
        entry.http.draining = True
        leaving = asyncio.create_task(drain_control(control))
        await asyncio.sleep(_DRAIN_NOTICE_SECONDS)
        await self.connection_of(entry).idle.wait()
        await entry.service.drained()
        if vm.entry is entry:
            await super().kill_entry(name)
        await asyncio.wait([leaving], timeout=10.0)
        leaving.cancel()
        if vm.control is control:
            await super().kill_control(name)

    def list_as_leaving(self, engine: str) -> None:
        """List an engine as leaving until ``list_as_live`` has been called once for each call."""
        self._leaving_count_by_engine[engine] += 1
        self.membership.leave(engine)

    def list_as_live(self, engine: str) -> None:
        """Undo one call of ``list_as_leaving``; the engine is live once all calls are undone."""
        self._leaving_count_by_engine[engine] -= 1
        if not self._leaving_count_by_engine[engine]:
            self.membership.put(self.member_by_name[engine])

    def next_weight(self) -> int:
        """Return an unused weight, which identifies a new version of the workspace."""
        weight = len(self.version_by_weight) + 1
        self.version_by_weight[weight] = self.model_version
        return weight

    def record_configuration_log(self) -> None:
        """Copy the configuration records of the log before it discards them."""
        for record in self.log.records(STREAM):
            self.configuration_log[record.offset] = record.data

    async def engines_not_loaded(self) -> tuple[str, ...]:
        """Return the engines that do not run the configured model version."""
        if not self.in_force:
            return self.engines
        weight = max(self.in_force, key=lambda item: item.version).weight
        configured_version = self.version_by_weight[weight]
        not_loaded = [
            name
            for name, engine in self.engine_by_name.items()
            if (await engine.status()).version != configured_version
        ]
        return tuple(not_loaded)

    def digest(self) -> str:
        """Return a hash of all records and of the time lines of the running processes."""
        nodes = [
            node
            for vm in self.vms
            for name in ("control", "entry")
            for node in self._nodes(vm, name)
        ]
        seen = (
            self.records,
            self.published,
            self.in_force,
            self.connection_faults.orders,
            [engine.observed() for engine in self.engine_by_name.values()],
            [node.timeline.events() for node in nodes],
        )
        return hashlib.blake2b(repr(seen).encode(), digest_size=16).hexdigest()

    def record_ended_processes(self) -> None:
        """Record as errors the processes that ended without being killed or drained."""
        for name, vm in self.vm_by_name.items():
            for task in (vm.control_task, vm.entry_task):
                if task is not None and task.done():
                    self.errors.append(f"{name}: {task.get_name()} ended: {_end_reason(task)}")
                    vm.control_task = None if task is vm.control_task else vm.control_task
                    vm.entry_task = None if task is vm.entry_task else vm.entry_task

    def record_versions_in_force(self, now: float) -> None:
        """Record the versions that VMs have put in force since the last call."""
        for vm, inbox in self._inbox_by_vm.items():
            while not inbox.empty():
                event = inbox.get_nowait().message
                version = event.version_by_name.get(WORKSPACE, 0)
                weight = event.workspace_by_name[WORKSPACE].weight if version else 0
                self.in_force.append(InForce(now, vm, version, weight))

    def _add_engine(self, plan: EnginePlan, model: EngineModel, index: int) -> None:
        """Add an engine; engines of the second data centre ignore fencing numbers."""
        checks_fencing = plan.data_centre == _DEPLOYMENT.data_centres[0]
        super()._add_engine(plan, replace(model, checks_fencing=checks_fencing), index)

    def _add_second_server(self) -> None:
        name = f"{SERVICE}-2"
        self.plain_service_by_name[name] = StandinPlain(name)
        member = Member(
            name,
            MemberKind.SERVICE,
            MemberState.LIVE,
            _DEPLOYMENT.region,
            _DEPLOYMENT.data_centres[1],
            "10.2.1.0:80",
            SERVICE,
            False,
        )
        self.member_by_name[name] = member
        self.membership = StandinMembership(self.member_by_name.values())

    def _nodes(self, name: str, process: str) -> list[Node]:
        vm = self.vm_by_name[name]
        running = vm.control if process == "control" else vm.entry
        return [] if running is None else [running.node]

    def _vms_in(self, data_centre: str) -> list[str]:
        return [name for name, vm in self.vm_by_name.items() if vm.plan.data_centre == data_centre]


def _end_reason(task: "asyncio.Task[None]") -> str:
    return "cancelled" if task.cancelled() else repr(task.exception())
