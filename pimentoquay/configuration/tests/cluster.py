"""Test cluster of control processes with membership and configuration parts in virtual time."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.configuration.part import ConfigurationPart
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import Identity, LoopClock, Node, ResultCode
from pimentoquay.membership.part import MembershipPart
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.messages.operator import PublishAnswer
from pimentoquay.messages.workspaces import ConfigurationRecord
from pimentoquay.services.base import LogPage, LogUnavailableError
from pimentoquay.services.ports import Ports
from pimentoquay.standin.log import LogModel, StandinLog
from pimentoquay.standin.membership_list import StandinMembership
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

STREAM = "configuration"
DATA_CENTRE_BY_VM = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}


@dataclass
class LogPort:
    """One VM's connection to the log, which tests can cut; counts its reads."""

    log: StandinLog
    is_cut: bool = False
    reads: int = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record, unless the VM is cut off."""
        self._check()
        return await self.log.append(stream, data)

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Read a page, unless the VM is cut off before or during the read."""
        self._check()
        self.reads += 1
        page = await self.log.read(stream, from_offset, wait)
        self._check()
        return page

    def _check(self) -> None:
        if self.is_cut:
            raise LogUnavailableError("this VM is cut off")


@dataclass
class ControlFake:
    """A running control process, its connection to the log and the configurations in force."""

    node: Node
    peers: PeerSet
    part: ConfigurationPart
    port: LogPort
    inbox: asyncio.Queue
    task: asyncio.Task
    in_force: list[ConfigurationInForce] = field(default_factory=list)

    def events(self) -> list[ConfigurationInForce]:
        """Return every configuration that has been in force, oldest first."""
        while not self.inbox.empty():
            self.in_force.append(self.inbox.get_nowait().message)
        return self.in_force


class ClusterFake:
    """VMs in data centres a, b and c that share one log."""

    def __init__(self, retention: float = 3600.0, **section: Any) -> None:
        self.network = MemoryNetwork()
        self.log = StandinLog(LogModel(retention=retention))
        self.membership = StandinMembership([_member(vm) for vm in DATA_CENTRE_BY_VM])
        self.section = ConfigurationSection(log_retention=retention, **section)
        self.control_by_vm: dict[str, ControlFake] = {}
        self.highest_offset_by_vm: dict[str, int] = {}
        self._starts = 0

    async def start(self, *vms: str, is_cut: bool = False) -> None:
        """Start the given VMs, or all of them."""
        for vm in vms or tuple(DATA_CENTRE_BY_VM):
            self._starts += 1
            identity = Identity(vm, "control", "r", DATA_CENTRE_BY_VM[vm], self._starts)
            node = Node(identity, self.network.transport(identity), LoopClock(0.0))
            peers = PeerSet(node)
            port = LogPort(self.log, is_cut)
            unused: Any = None
            ports = Ports(unused, unused, port, self.membership, unused)
            membership = MembershipPart(node, peers, ports, MembershipSection())
            part = ConfigurationPart(node, peers, ports, self.section)
            inbox = node.bus.subscribe(ConfigurationInForce)
            await node.transport.listen(f"{vm}:1", peers.serve)
            task = asyncio.create_task(node.run((membership, part)))
            self.control_by_vm[vm] = ControlFake(node, peers, part, port, inbox, task)

    async def stop(self, *vms: str) -> None:
        """Stop the given VMs, or all of them, without a drain."""
        self.check_no_rollback()
        for vm in vms or tuple(self.control_by_vm):
            control = self.control_by_vm.pop(vm)
            offsets = [event.offset for event in control.events()]
            self.highest_offset_by_vm[vm] = max([self.highest_offset_by_vm.get(vm, 0), *offsets])
            control.task.cancel()
            await asyncio.gather(control.task, return_exceptions=True)
            await control.peers.close()

    def cut(self, data_centre: str, *, log: bool = True) -> None:
        """Cut a data centre off from the others and, with ``log``, from the log."""
        for vm, other in self._pairs(data_centre):
            self.network.cut(vm, other)
        self.cut_log(data_centre, log)

    def heal(self, data_centre: str) -> None:
        """Reconnect a data centre to the others and to the log, after ``cut``."""
        for vm, other in self._pairs(data_centre):
            self.network.heal(vm, other)
        self.cut_log(data_centre, False)

    def cut_log(self, data_centre: str, is_cut: bool) -> None:
        """Cut a data centre off from the log, or reconnect it."""
        for vm, control in self.control_by_vm.items():
            if DATA_CENTRE_BY_VM[vm] == data_centre:
                control.port.is_cut = is_cut

    async def publish(self, vm: str, record: ConfigurationRecord) -> PublishAnswer:
        """Publish a change through one VM and return the outcome."""
        part = self.control_by_vm[vm].part
        part._reader.waiting_publishers += 1
        try:
            return await part._publisher.publish(record)
        finally:
            part._reader.waiting_publishers -= 1

    async def accept(self, vm: str, record: ConfigurationRecord) -> int:
        """Publish a change, check that it is accepted, and return its version."""
        answer = await self.publish(vm, record)
        assert answer.code is ResultCode.CONFIG_ACCEPTED, answer
        return answer.version

    def weights(self, name: str) -> dict[str, int | None]:
        """Return the weight of a workspace at each VM, ``None`` where it is not in force."""
        weight_by_vm: dict[str, int | None] = {}
        for vm, control in self.control_by_vm.items():
            events = control.events()
            found = events[-1].workspace_by_name.get(name) if events else None
            weight_by_vm[vm] = found.weight if found else None
        return weight_by_vm

    def check_no_rollback(self) -> None:
        """Check that no VM ever went back to an older configuration, also across restarts."""
        for vm, control in self.control_by_vm.items():
            offsets = [event.offset for event in control.events()]
            assert offsets == sorted(offsets)
            assert not offsets or offsets[0] >= self.highest_offset_by_vm.get(vm, 0), vm
            versions: dict[str, int] = {}
            for event in control.events():
                for name, version in event.version_by_name.items():
                    assert version >= versions.get(name, 0)
                    versions[name] = version

    async def close(self) -> None:
        """Stop all VMs."""
        await self.stop()

    def _pairs(self, data_centre: str) -> list[tuple[str, str]]:
        return [
            (vm, other)
            for vm in DATA_CENTRE_BY_VM
            for other in DATA_CENTRE_BY_VM
            if DATA_CENTRE_BY_VM[vm] == data_centre and DATA_CENTRE_BY_VM[other] != data_centre
        ]


def _member(vm: str) -> Member:
    live = MemberState.LIVE
    return Member(vm, MemberKind.ENTRY_VM, live, "r", DATA_CENTRE_BY_VM[vm], f"{vm}:1", "", False)
