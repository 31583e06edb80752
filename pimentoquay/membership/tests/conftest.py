"""Test cluster of control processes with only the membership part, on an in-memory network."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest

from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.membership.part import MembershipPart
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.messages.cluster import (
    ClusterView,
    Member,
    MemberKind,
    MembershipUpdate,
    MemberState,
)
from pimentoquay.services.ports import Ports
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet


def vm_member(name, data_centre, state=MemberState.LIVE):
    """Return the list entry of a VM."""
    return Member(name, MemberKind.ENTRY_VM, state, "r", data_centre, f"{name}:1", "", False)


def engine_member(name, data_centre, state=MemberState.LIVE):
    """Return the list entry of an engine."""
    return Member(name, MemberKind.ENGINE, state, "r", data_centre, f"{name}:2", "llm", True)


class ListFake:
    """The platform's list, which some VMs may be unable to reach; counts the reads of each VM."""

    def __init__(self):
        self.update = MembershipUpdate(1, ())
        self.unreachable = set()
        self.hanging = set()
        self.reads = {}

    def set(self, *members):
        self.update = MembershipUpdate(self.update.version + 1, members)

    def client(self, vm):
        return ListClientFake(self, vm)


@dataclass
class ListClientFake:
    """One VM's client of the list."""

    fake: ListFake
    vm: str

    async def members(self):
        self.fake.reads[self.vm] = self.fake.reads.get(self.vm, 0) + 1
        if self.vm in self.fake.hanging:
            await asyncio.get_running_loop().create_future()
        if self.vm in self.fake.unreachable:
            raise ConnectionRefusedError("the list is unreachable")
        return self.fake.update


@dataclass
class ControlFake:
    """A running control process and the views that it has published."""

    inbox: asyncio.Queue
    node: Node
    part: MembershipPart
    task: asyncio.Task
    peers: PeerSet
    views: list = field(default_factory=list)

    @property
    def view(self):
        while not self.inbox.empty():
            self.views.append(self.inbox.get_nowait().message)
        return self.views[-1] if self.views else None


class ClusterFake:
    """Control processes that share one membership list and one network."""

    def __init__(self, section=None):
        self.network = MemoryNetwork()
        self.list = ListFake()
        self.section = section or MembershipSection()
        self.control_by_vm = {}
        self.starts = 0

    async def start(self, vm, data_centre, section=None):
        self.starts += 1
        identity = Identity(vm, "control", "r", data_centre, self.starts)
        node = Node(identity, self.network.transport(identity), LoopClock(0.0))
        peers = PeerSet(node)
        unused: Any = None
        ports = Ports(unused, unused, unused, self.list.client(vm), unused)
        inbox = node.bus.subscribe(ClusterView)
        part = MembershipPart(node, peers, ports, section or self.section)
        await node.transport.listen(f"{vm}:1", peers.serve)
        control = ControlFake(inbox, node, part, asyncio.create_task(node.run((part,))), peers)
        self.control_by_vm[vm] = control
        return control

    async def stop(self, vm):
        control = self.control_by_vm.pop(vm)
        control.task.cancel()
        await asyncio.gather(control.task, return_exceptions=True)
        await control.peers.close()

    async def start_all(self, vms_by_data_centre):
        members = [vm_member(vm, dc) for dc, vms in vms_by_data_centre.items() for vm in vms]
        self.list.set(*members)
        for data_centre, vms in vms_by_data_centre.items():
            for vm in vms:
                await self.start(vm, data_centre)

    def cut_data_centres(self, network_call, left, right):
        for a in left:
            for b in right:
                network_call(a, b)

    async def close(self):
        for vm in list(self.control_by_vm):
            await self.stop(vm)


@pytest.fixture
async def cluster():
    cluster_fake = ClusterFake()
    yield cluster_fake
    await cluster_fake.close()
