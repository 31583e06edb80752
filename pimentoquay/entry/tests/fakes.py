"""Test fixtures: a real entry with a scripted scheduler and scripted engines, in memory."""

import asyncio
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.backends.base import (
    DecodeOrder,
    EngineLostError,
    EngineRefusedError,
    EngineRole,
    EngineStatus,
    ImportOrder,
    PrefillOrder,
    PrefillResult,
    RunningRequest,
)
from pimentoquay.entry import RequestService, RequestSpec, SchedulerLink
from pimentoquay.kernel import ChannelOpened, Identity, Node, ResultCode
from pimentoquay.messages.cluster import ClusterView, Member, MemberKind, MemberState
from pimentoquay.messages.placement import (
    FindRequest,
    Grant,
    LeaseRenewal,
    Located,
    PlaceRequest,
    Reannouncement,
    Refusal,
    Release,
    ReplaceRequest,
    StageReport,
    Urgency,
)
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.transport.memory import MemoryNetwork
from pimentoquay.transport.peers import PeerSet

SHARD = "diag-llm@city-hall#0"
KIND = KindSpec("diagnosis", "diag-llm", Urgency.NORMAL, 2.0, 0.1, 8000, 200, True)


def frame(index: int) -> bytes:
    """Return the frame of one token of a ``FakeEngine``."""
    return b'data: {"choices": [{"text": "t%d "}]}\n\n' % index


END = b'data: {"choices": [{"finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'


def spec_of(request_id: str = "r1", **changes: Any) -> RequestSpec:
    """Return a request with default values except for ``changes``."""
    values: dict[str, Any] = {
        "request_id": request_id,
        "workspace": "print",
        "model": "diag-llm",
        "kind": KIND,
        "prompt": "fault log",
        "prompt_tokens": 3,
        "prefix": (1,),
        "max_tokens": 20,
        "chat": False,
        "streaming": True,
        "workspace_limit": 10,
    }
    return RequestSpec(**{**values, **changes})


WHOLE = b"".join(map(frame, range(5))) + END
"""The answer of a ``FakeEngine`` with its default settings."""


class FakeEngine:
    """Engine that answers every request with ``tokens`` tokens.

    ``failures_by_call`` maps the name of a call to the results of its next calls: an error that is
    raised, or a delay in seconds. ``break_at`` is the token before which the stream breaks once.
    """

    def __init__(self, name: str, role: EngineRole = EngineRole.MIXED, tokens: int = 5) -> None:
        self.name = name
        self.role = role
        self.tokens = tokens
        self.failures_by_call: dict[str, list[Exception | float]] = defaultdict(list)
        self.break_at: int | None = None
        self.frame_of = frame
        self.calls: list[str] = []
        self.held: set[tuple[str, int]] = set()
        self.running: tuple[RunningRequest, ...] = ()

    async def _call(self, name: str, request_id: str, attempt: int) -> None:
        self.calls.append(f"{name}:{attempt}")
        outcome = self.failures_by_call[name].pop(0) if self.failures_by_call[name] else 0.0
        if isinstance(outcome, EngineRefusedError):
            raise outcome
        self.held.add((request_id, attempt))
        if isinstance(outcome, Exception):
            raise outcome
        await asyncio.sleep(0.01 + outcome)

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        await self._call("prefill", order.request_id, order.attempt)
        return PrefillResult(3, 0, 3000, 0.8)

    async def import_kv(self, order: ImportOrder) -> None:
        await self._call("import", order.request_id, order.attempt)
        self.calls.append(f"source:{order.source_engine}:{order.source_attempt}")

    async def decode(self, order: DecodeOrder) -> AsyncIterator[bytes]:
        await self._call("decode", order.request_id, order.attempt)
        async with aclosing(self._stream(order.request_id, order.attempt, 0)) as stream:
            async for chunk in stream:
                yield chunk

    async def resume(self, request_id: str, attempt: int, offset: int) -> AsyncIterator[bytes]:
        known = {held for held, _ in self.held} | {item.request_id for item in self.running}
        if attempt == -1 and request_id not in known:
            raise EngineRefusedError(f"{self.name} holds nothing of {request_id}")
        await self._call(f"resume@{offset}", request_id, attempt)
        async with aclosing(self._stream(request_id, attempt, offset)) as stream:
            async for chunk in stream:
                yield chunk

    async def _stream(self, request_id: str, attempt: int, start: int) -> AsyncIterator[bytes]:
        for index in range(start, self.tokens):
            if index == self.break_at:
                self.break_at = None
                raise EngineLostError("connection reset")
            await asyncio.sleep(0.01)
            yield self.frame_of(index)
        self.held.discard((request_id, attempt))
        yield END

    async def cancel(self, request_id: str, attempt: int) -> None:
        self.calls.append(f"cancel:{attempt}")
        self.held -= {item for item in self.held if item[0] == request_id}

    async def status(self) -> EngineStatus:
        return EngineStatus(
            self.name, "diag-llm", "v1", (), self.role, 20, 0, 9999, 0, 0, 0, 0.0, self.running
        )


Answer = Callable[[Any], Any]


class FakeScheduler:
    """Control process of one VM that replies to placement requests with ``answers`` in turn."""

    def __init__(self, network: MemoryNetwork, vm: str, view: ClusterView) -> None:
        identity = Identity(vm, "control", "tt-north", "city-hall", 1)
        self.node = Node(identity, network.transport(identity))
        self.peers = PeerSet(self.node)
        self.view = view
        self.received: list[Any] = []
        self.answers: list[Answer] = []
        self.located: Located | None = None
        self.inbox = self.node.bus.subscribe(
            ChannelOpened,
            PlaceRequest,
            ReplaceRequest,
            FindRequest,
            Release,
            StageReport,
            Reannouncement,
            LeaseRenewal,
        )

    async def run(self) -> None:
        await self.node.transport.listen(f"{self.node.identity.vm}:1", self.peers.serve)
        while True:
            envelope = await self.inbox.get()
            message = envelope.message
            if isinstance(message, ChannelOpened):
                message.channel.send(self.view)
                self.send_on_connect(message)
            elif isinstance(message, LeaseRenewal):
                envelope.channel.send(message)
            else:
                self.received.append(message)
                for reply in self._replies(message):
                    envelope.channel.send(reply)

    def send_on_connect(self, opened: ChannelOpened) -> None:
        """Send further messages to an entry that connects; none by default."""

    def _replies(self, message: Any) -> tuple[Any, ...]:
        if isinstance(message, FindRequest):
            refusal = Refusal(message.request_id, 0, ResultCode.REQUEST_UNKNOWN, 0.0, "")
            return (self.located or refusal,)
        if isinstance(message, PlaceRequest | ReplaceRequest) and self.answers:
            reply = self.answers.pop(0)(message)
            return reply if isinstance(reply, tuple) else (reply,)
        return ()

    def of_type(self, cls: type) -> list[Any]:
        """Return the received messages of a class."""
        return [message for message in self.received if isinstance(message, cls)]


def grant(prefill: str, decode: str) -> Answer:
    """Return a reply function that grants a prefill engine and a decode engine."""
    return lambda message: Grant(message.request_id, message.attempt, prefill, decode)


def refuse(code: ResultCode) -> Answer:
    """Return a reply function that refuses the request."""
    return lambda message: Refusal(message.request_id, message.attempt, code, 1.5, "full")


def no_reply(message: Any) -> tuple[Any, ...]:
    """Leave a request without a reply."""
    return ()


@dataclass
class Rig:
    """An entry with its fakes."""

    network: MemoryNetwork
    service: RequestService
    link: SchedulerLink
    scheduler_by_vm: dict[str, FakeScheduler]
    engine_by_name: dict[str, FakeEngine] = field(default_factory=dict)

    @property
    def scheduler(self) -> FakeScheduler:
        """The fake scheduler that currently owns ``SHARD``."""
        return self.scheduler_by_vm[self.link.directory.owner(SHARD)]

    def next_answers(self, *answers: Answer) -> None:
        """Set the replies of each scheduler to its next placement requests."""
        for scheduler in self.scheduler_by_vm.values():
            scheduler.answers = list(answers)

    def nothing_is_held(self) -> bool:
        """Return whether no engine holds memory for any request."""
        return not any(engine.held for engine in self.engine_by_name.values())


def entry_vm(name: str) -> Member:
    return Member(
        name, MemberKind.ENTRY_VM, MemberState.LIVE, "tt-north", "city-hall", f"{name}:1", "", False
    )


def engine_member(name: str) -> Member:
    return Member(
        name, MemberKind.ENGINE, MemberState.LIVE, "tt-north", "city-hall", name, "diag-llm", True
    )


@asynccontextmanager
async def entry_rig(vms: tuple[str, ...] = ("vm-a",)) -> AsyncIterator[Rig]:
    """Run an entry on the first VM, with a scripted scheduler on each VM and three engines."""
    network = MemoryNetwork()
    engines = {name: FakeEngine(name) for name in ("p1", "d1", "d2")}
    members = (*map(entry_vm, vms), *map(engine_member, engines))
    view = ClusterView(1, members, vms, ("city-hall",))
    schedulers = {vm: FakeScheduler(network, vm, view) for vm in vms}
    identity = Identity(vms[0], "entry", "tt-north", "city-hall", 1)
    node = Node(identity, network.transport(identity))
    peers = PeerSet(node)
    link = SchedulerLink(node, peers, f"{vms[0]}:1")
    service = RequestService(node, link, lambda member: engines[member.name])
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(part.run()) for part in (*schedulers.values(), link)]
        try:
            for _ in range(20):
                await asyncio.sleep(0.01)
                if peers.channel_to(link.directory.owner(SHARD)) is not None:
                    break
            yield Rig(network, service, link, schedulers, engines)
        finally:
            for task in tasks:
                task.cancel()
            await peers.close()


async def collect(stream: AsyncIterator[bytes]) -> bytes:
    return b"".join([chunk async for chunk in stream])
