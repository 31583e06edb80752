"""Control processes with the membership and configuration parts, under virtual time."""

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
PLACES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c"}


@dataclass
class LogPort:
    """The log as one VM reaches it."""

    log: StandinLog
    is_cut: bool = False
    reads: int = 0

    async def append(self, stream: str, data: bytes) -> int:
        """Append, unless this VM is cut off."""
        self._check()
        return await self.log.append(stream, data)

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Read, unless this VM is cut off."""
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
    """One running control process."""

    node: Node
    peers: PeerSet
    part: ConfigurationPart
    port: LogPort
    inbox: asyncio.Queue
    task: asyncio.Task
    in_force: list[ConfigurationInForce] = field(default_factory=list)

    def events(self) -> list[ConfigurationInForce]:
        """Return every configuration that was in force, oldest first."""
        while not self.inbox.empty():
            self.in_force.append(self.inbox.get_nowait().message)
        return self.in_force


class ClusterFake:
    """VMs in data centres a, b and c before one log."""

    def __init__(self, retention: float = 3600.0, **section: Any) -> None:
        self.network = MemoryNetwork()
        self.log = StandinLog(LogModel(retention=retention))
        self.membership = StandinMembership([_member(vm) for vm in PLACES])
        self.section = ConfigurationSection(log_retention=retention, **section)
        self.control_by_vm: dict[str, ControlFake] = {}
        self.highest_by_vm: dict[str, int] = {}
        self._starts = 0

    async def start(self, *vms: str, is_cut: bool = False) -> None:
        """Start the named VMs, all of them if none is named."""
        for vm in vms or tuple(PLACES):
            self._starts += 1
            identity = Identity(vm, "control", "r", PLACES[vm], self._starts)
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
        """End the named VMs at once, all of them if none is named."""
        self.check_never_back()
        for vm in vms or tuple(self.control_by_vm):
            control = self.control_by_vm.pop(vm)
            offsets = [event.offset for event in control.events()]
            self.highest_by_vm[vm] = max([self.highest_by_vm.get(vm, 0), *offsets])
            control.task.cancel()
            await asyncio.gather(control.task, return_exceptions=True)
            await control.peers.close()

    def cut(self, inside: str, *, log: bool = True) -> None:
        """Cut a data centre off from the others, and from the log unless told otherwise."""
        for vm, other in self._pairs(inside):
            self.network.cut(vm, other)
        self.cut_log(inside, log)

    def heal(self, inside: str) -> None:
        """Undo ``cut``."""
        for vm, other in self._pairs(inside):
            self.network.heal(vm, other)
        self.cut_log(inside, False)

    def cut_log(self, inside: str, is_cut: bool) -> None:
        """Cut a data centre off from the log, or reconnect it."""
        for vm, control in self.control_by_vm.items():
            if PLACES[vm] == inside:
                control.port.is_cut = is_cut

    async def publish(self, vm: str, record: ConfigurationRecord) -> PublishAnswer:
        """Publish through one VM as an operator does."""
        part = self.control_by_vm[vm].part
        part._reader.readers_wanted += 1
        try:
            return await part._publisher.publish(record)
        finally:
            part._reader.readers_wanted -= 1

    async def accept(self, vm: str, record: ConfigurationRecord) -> int:
        """Publish a change that has to be accepted; return its version."""
        answer = await self.publish(vm, record)
        assert answer.code is ResultCode.CONFIG_ACCEPTED, answer
        return answer.version

    def weights(self, name: str) -> dict[str, int | None]:
        """Return the weight of a workspace in force at each VM; ``None`` if it has none."""
        weight_by_vm: dict[str, int | None] = {}
        for vm, control in self.control_by_vm.items():
            events = control.events()
            found = events[-1].workspace_by_name.get(name) if events else None
            weight_by_vm[vm] = found.weight if found else None
        return weight_by_vm

    def check_never_back(self) -> None:
        """Check that no VM ever served a configuration older than one it had served."""
        for vm, control in self.control_by_vm.items():
            offsets = [event.offset for event in control.events()]
            assert offsets == sorted(offsets)
            assert not offsets or offsets[0] >= self.highest_by_vm.get(vm, 0), vm
            versions: dict[str, int] = {}
            for event in control.events():
                for name, version in event.version_by_name.items():
                    assert version >= versions.get(name, 0)
                    versions[name] = version

    async def close(self) -> None:
        """End everything."""
        await self.stop()

    def _pairs(self, inside: str) -> list[tuple[str, str]]:
        return [
            (vm, other)
            for vm in PLACES
            for other in PLACES
            if PLACES[vm] == inside and PLACES[other] != inside
        ]


def _member(vm: str) -> Member:
    live = MemberState.LIVE
    return Member(vm, MemberKind.ENTRY_VM, live, "r", PLACES[vm], f"{vm}:1", "", False)
