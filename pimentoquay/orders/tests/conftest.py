"""Control processes that decide claims of idempotency keys, and fake entries that send claims."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

import pytest

from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.messages.orders import KeyClaim, KeyClaimAnswer, KeyOutcome
from pimentoquay.orders.once_only import OnceOnlyPart
from pimentoquay.orders.settings import OnceOnlySection
from pimentoquay.services.ports import Ports
from pimentoquay.standin.log import StandinLog
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet


@dataclass
class FakeEntry:
    """An entry process with a channel to each control process that it sends claims to."""

    identity: Identity
    network: MemoryNetwork
    channel_by_vm: dict = field(default_factory=dict)
    answers: dict = field(default_factory=dict)
    count: int = 0

    async def claim(self, vm, key="k", workspace="w"):
        """Send a claim of a key to a VM; return the claim id and the result code."""
        self.count += 1
        claim_id = f"{self.identity.vm}-{self.count}"
        channel = self.channel_by_vm.get(vm)
        if channel is None:
            channel = await self.network.transport(self.identity).connect(f"{vm}:1")
            self.channel_by_vm[vm] = channel
            self.reader = asyncio.create_task(self._read(channel))
        self.answers[claim_id] = asyncio.get_running_loop().create_future()
        channel.send(KeyClaim(key, workspace, "request", claim_id))
        async with asyncio.timeout(60):
            code = await self.answers[claim_id]
        return claim_id, code

    def report(self, vm, claim_id, code, key="k", workspace="w"):
        outcome = KeyOutcome(key, workspace, "request", claim_id, code)
        self.channel_by_vm[vm].send(outcome)

    async def _read(self, channel):
        try:
            while True:
                message = await channel.receive()
                if isinstance(message, KeyClaimAnswer):
                    self.answers[message.claim_id].set_result(message.code)
        except ConnectionError:
            return


class OnceOnlyCluster:
    """Several control processes that decide claims of idempotency keys and share one log."""

    def __init__(self):
        self.network = MemoryNetwork()
        self.log = StandinLog()
        self.log_by_vm = {}
        self.section = OnceOnlySection()
        self.node_by_vm = {}
        self.task_by_vm = {}
        self.starts = 0

    async def start(self, vm, log=None):
        self.starts += 1
        identity = Identity(vm, "control", "r", "d", self.starts)
        node = Node(identity, self.network.transport(identity), LoopClock(0.0))
        peers = PeerSet(node)
        unused: Any = None
        ports = Ports(unused, unused, log or self.log, unused, unused)
        part = OnceOnlyPart(node, peers, ports, self.section)
        await node.transport.listen(f"{vm}:1", peers.serve)
        self.node_by_vm[vm] = node
        self.task_by_vm[vm] = asyncio.create_task(node.run((part,)))

    async def stop(self, vm):
        task = self.task_by_vm.pop(vm)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def entry(self, vm="entry-1"):
        return FakeEntry(Identity(vm, "entry", "r", "d", 1), self.network)

    async def close(self):
        for vm in list(self.task_by_vm):
            await self.stop(vm)


@pytest.fixture
async def keys():
    cluster = OnceOnlyCluster()
    await cluster.start("a")
    await cluster.start("b")
    yield cluster
    await cluster.close()
