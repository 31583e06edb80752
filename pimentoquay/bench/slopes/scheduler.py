"""Cost of a shard's scheduler: processor time of a request, memory of a grant, time at rest.

The real scheduler part runs on a node of its own. The entry is a channel that only collects the
messages sent to it, and the engines return their status immediately. Encoding and transport of
messages are not included; ``messages`` measures them.
"""

import asyncio
import time
import tracemalloc
from typing import Any

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.bench.slopes.messages import sample_place_request
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import Identity, Node, ResultCode, plugin
from pimentoquay.membership import shards_of
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.messages.placement import Grant, PlaceRequest, Release, Stage, StageReport
from pimentoquay.scheduler.part import SchedulerPart
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.services.ports import Ports
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

__all__ = ["scheduler_slopes"]

PREFILL_ENGINES = 8
DECODE_ENGINES = 8
SLOTS = 20
REQUESTS = 500
HELD_GRANTS = 100
"""Number of grants held at the same time."""

DEADLINE_SECONDS = 30.0
VM = Identity("vm-1", "control", "tt-north", "city-hall", 1)


class CollectingChannel:
    """Channel to an entry that collects the messages sent to it."""

    peer = Identity("vm-2", "entry", "tt-north", "city-hall", 2)
    unsent_bytes = 0

    def __init__(self) -> None:
        self.sent: asyncio.Queue[Any] = asyncio.Queue()

    def send(self, message: Any) -> None:
        """Collect a message."""
        self.sent.put_nowait(message)

    async def receive(self) -> Any:
        """Wait forever; the entry sends nothing."""
        await asyncio.Event().wait()

    async def close(self) -> None:
        """Close the channel; there is nothing to release."""


class IdleEngine:
    """Engine that reports itself as idle and accepts cancellations."""

    def __init__(self, member: Member) -> None:
        self._member = member

    async def status(self) -> EngineStatus:
        """Return an idle status."""
        role = EngineRole.PREFILL if "-p" in self._member.name else EngineRole.DECODE
        capacity = 10_000_000
        return EngineStatus(
            self._member.name, "m", "v1", (), role, SLOTS, 0, capacity, 0, 0, 0, 0.0, ()
        )

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Accept a cancellation without effect."""

    async def cache_events(self, after: int) -> tuple[Any, ...]:
        """Return no events."""
        return ()


@plugin("slope", "scheduler")
def scheduler_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure a 16-engine scheduler: processor time per request and at rest, memory per grant."""
    runs = [asyncio.run(_measure()) for _ in range(repeats)]
    return (
        slope_of("scheduling a request", "µs", "request", [run[0] for run in runs]),
        slope_of("memory of a held grant", "B", "grant", [run[1] for run in runs]),
        slope_of("scheduler at rest, 16 engines", "µs", "second", [run[2] for run in runs]),
    )


async def _measure() -> tuple[float, float, float]:
    members = _members()
    shard = next(iter(shards_of(members)))
    node = Node(VM, MemoryNetwork().transport(VM))
    ports = Ports(IdleEngine, _raise_for_plain_service, None, None, None)  # type: ignore[arg-type]
    part = SchedulerPart(node, PeerSet(node), ports, SchedulerSection())
    running = asyncio.create_task(part.run())
    channel = CollectingChannel()
    node.bus.publish(ClusterView(1, members, (VM.vm,), (VM.data_centre,)))
    await asyncio.sleep(2.0)
    request_cost = await _time_requests(node, channel, shard)
    memory = await _memory_of_grants(node, channel, shard)
    started = time.process_time()
    await asyncio.sleep(1.0)
    idle_cost = (time.process_time() - started) * 1e6
    running.cancel()
    node.timers.close()
    return request_cost, memory, idle_cost


def _raise_for_plain_service(member: Member) -> Any:
    raise LookupError(member.name)


def _members() -> tuple[Member, ...]:
    names = [f"e-p{index}" for index in range(PREFILL_ENGINES)]
    names += [f"e-d{index}" for index in range(DECODE_ENGINES)]
    engines = [_member(name, MemberKind.ENGINE, "m") for name in names]
    return (*engines, _member(VM.vm, MemberKind.ENTRY_VM, ""))


def _member(name: str, kind: MemberKind, pool: str) -> Member:
    address = "127.0.0.1:1"
    return Member(name, kind, MemberState.LIVE, VM.region, VM.data_centre, address, pool, True)


async def _time_requests(node: Node, channel: CollectingChannel, shard: str) -> float:
    started = time.process_time()
    for number in range(REQUESTS):
        grant = await _place(node, channel, shard, f"r{number}")
        for stage in Stage:
            node.bus.publish(_report(grant, stage), channel)
        node.bus.publish(Release(grant.request_id, ResultCode.OK, 40, 1.0), channel)
    await asyncio.sleep(0)
    return (time.process_time() - started) / REQUESTS * 1e6


async def _memory_of_grants(node: Node, channel: CollectingChannel, shard: str) -> float:
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(HELD_GRANTS):
        grant = await _place(node, channel, shard, f"h{number}")
        node.bus.publish(_report(grant, Stage.PREFILL), channel)
        node.bus.publish(_report(grant, Stage.TRANSFER), channel)
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used / HELD_GRANTS


async def _place(node: Node, channel: CollectingChannel, shard: str, request_id: str) -> Grant:
    sample = sample_place_request()
    request = PlaceRequest(
        request_id,
        0,
        shard,
        sample.workspace,
        sample.kind,
        sample.urgency,
        400,
        40,
        sample.prefix,
        DEADLINE_SECONDS,
        sample.token_interval,
        1000,
    )
    node.bus.publish(request, channel)
    while True:
        message = await channel.sent.get()
        if isinstance(message, Grant):
            return message
        if getattr(message, "request_id", "") == request_id:
            raise RuntimeError(f"the scheduler refused: {message}")


def _report(grant: Grant, stage: Stage) -> StageReport:
    engine = grant.prefill_engine if stage is Stage.PREFILL else grant.decode_engine
    return StageReport(grant.request_id, grant.attempt, stage, engine, ResultCode.OK, 400, 0, 0.2)
