"""The scheduler part on an in-memory network: ownership, leases and lost entry processes."""

import asyncio
from contextlib import aclosing, asynccontextmanager
from typing import Any

import pytest

from pimentoquay.backends.base import DecodeOrder, EngineRole, PrefillOrder
from pimentoquay.kernel import Identity, Node, ResultCode
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.messages.placement import (
    Grant,
    LeaseRenewal,
    PlaceRequest,
    Release,
    Stage,
    StageReport,
    Urgency,
)
from pimentoquay.scheduler import SchedulerPart, SchedulerSection
from pimentoquay.services.ports import Ports
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

pytestmark = pytest.mark.looptime
SHARD = "m@dc#0"
PROMPT = "a fault log of some length " * 8
ANSWER_TOKENS = 800


def member(name, kind, pool=""):
    return Member(name, kind, MemberState.LIVE, "region", "dc", f"{name}:1", pool, True)


def identity(vm, process):
    return Identity(vm, process, "region", "dc", 1)


class SchedulerHarness:
    """A control process with only the scheduler part, and one stand-in engine."""

    def __init__(self):
        self.network = MemoryNetwork()
        model = EngineModel(status_lag=0.1)
        self.engine = StandinEngine("e", "m", EngineDirectory(), EngineRole.MIXED, model=model)
        self.node = Node(
            identity("vm", "control"), self.network.transport(identity("vm", "control"))
        )
        self.peers = PeerSet(self.node)
        unused: Any = None
        ports = Ports(lambda member: self.engine, unused, unused, unused, unused)
        self.part = SchedulerPart(self.node, self.peers, ports, SchedulerSection())
        self.members = (member("vm", MemberKind.ENTRY_VM), member("e", MemberKind.ENGINE, "m"))

    async def connect(self, vm):
        return await self.network.transport(identity(vm, "entry")).connect("vm:1")

    def ledger(self):
        return self.part.scheduler_by_shard[SHARD].ledger

    async def decode(self, channel, name):
        """Run a request until it decodes, and return its stream after the first chunk."""
        channel.send(
            PlaceRequest(
                name, 0, SHARD, "w", "k", Urgency.URGENT, 60, ANSWER_TOKENS, (), 5.0, 0.055, 0
            )
        )
        assert await channel.receive() == Grant(name, 0, "e", "e")
        await self.engine.prefill(PrefillOrder(name, 0, "w", "m", PROMPT, ANSWER_TOKENS, 0))
        channel.send(StageReport(name, 0, Stage.PREFILL, "e", ResultCode.OK, 60, 0, 0.03))
        stream = self.engine.decode(DecodeOrder(name, 0, False))
        await anext(stream)
        return stream

    def held(self):
        return [item.request_id for item in self.engine.observed().held]


@asynccontextmanager
async def running():
    harness = SchedulerHarness()
    await harness.node.transport.listen("vm:1", harness.peers.serve)
    task = asyncio.create_task(harness.part.run())
    harness.node.bus.publish(ClusterView(1, harness.members, ("vm",), ("dc",)))
    await asyncio.sleep(1)
    try:
        yield harness
    finally:
        task.cancel()
        await harness.node.transport.close()


async def test_streams_of_a_lost_entry_are_freed_within_two_seconds():
    async with running() as harness:
        channel = await harness.connect("vm-2")
        stream = await harness.decode(channel, "a")
        await stream.aclose()
        await channel.close()
        await asyncio.sleep(1.0)
        assert harness.held() == ["a"]
        await asyncio.sleep(1.0)
        assert harness.held() == [] and len(harness.ledger()) == 0


async def test_a_stream_that_is_read_outlives_the_channel_to_its_scheduler():
    async with running() as harness:
        channel = await harness.connect("vm-2")
        async with aclosing(await harness.decode(channel, "a")) as stream:
            await channel.close()
            chunks = [chunk async for chunk in stream]
        assert chunks[-1].endswith(b"data: [DONE]\n\n")


async def test_release_frees_the_grant_and_renewals_are_echoed():
    async with running() as harness:
        channel = await harness.connect("vm-2")
        async with aclosing(await harness.decode(channel, "a")):
            assert len(harness.ledger()) == 1
            channel.send(Release("a", ResultCode.CANCELLED, 1, 0.1))
            channel.send(LeaseRenewal(7))
            while not isinstance(answer := await channel.receive(), LeaseRenewal):
                pass
            assert answer == LeaseRenewal(7)
            assert len(harness.ledger()) == 0


async def test_a_vm_that_does_not_own_the_shard_refuses_the_request():
    async with running() as harness:
        channel = await harness.connect("vm-2")
        harness.node.bus.publish(ClusterView(2, harness.members[1:], ("vm",), ("dc",)))
        await asyncio.sleep(0.1)
        channel.send(
            PlaceRequest(
                "a", 0, SHARD, "w", "k", Urgency.URGENT, 60, ANSWER_TOKENS, (), 5.0, 0.055, 0
            )
        )
        refusal = await channel.receive()
        assert refusal.code is ResultCode.NOT_OWNER


async def test_silence_ends_a_lease():
    async with running() as harness:
        channel = await harness.connect("vm-2")
        stream = await harness.decode(channel, "a")
        await stream.aclose()
        for _ in range(3):
            await asyncio.sleep(1)
            channel.send(LeaseRenewal(1))
        assert harness.held() == ["a"]
        await asyncio.sleep(7)
        assert harness.held() == [] and len(harness.ledger()) == 0
