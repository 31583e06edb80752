"""Test fixture: an entry on a TCP port, with stand-in engines and a granting scheduler."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.relay import entries_after
from pimentoquay.configuration.view import hash_of_key
from pimentoquay.entry.compose import EntryProcess, compose_entry
from pimentoquay.entry.connections import bind
from pimentoquay.entry.ports import EntryPorts
from pimentoquay.entry.settings import HttpSection
from pimentoquay.entry.tests.fakes import FakeScheduler, engine_member, entry_vm, grant
from pimentoquay.kernel import ChannelOpened, Identity, Node
from pimentoquay.messages import encode
from pimentoquay.messages.cluster import ClusterView, MemberKind
from pimentoquay.messages.placement import PlaceRequest, ReplaceRequest, Urgency
from pimentoquay.messages.workspaces import (
    ConfigurationRecord,
    KindSpec,
    ModelSpec,
    ServiceSpec,
    Workspace,
)
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine, StandinPlain
from pimentoquay.transport.memory import MemoryNetwork

KEY = "print-key"
FAST_MODEL = EngineModel(step_seconds=0.002, step_seconds_per_stream=0.0, prefill_seconds=0.002)


def workspace_of(name: str, key: str, model: str) -> Workspace:
    diagnosis = KindSpec("diagnosis", model, Urgency.NORMAL, 5.0, 0.5, 100, 40, True)
    order = KindSpec("order", model, Urgency.URGENT, 5.0, 0.5, 100, 40, False)
    return Workspace(
        name,
        "",
        (hash_of_key(key),),
        (ModelSpec(model, "v1", ""),),
        (diagnosis, order),
        (ServiceSpec("toner", ("/orders",), 5.0),),
        50,
        1,
    )


class GrantingScheduler(FakeScheduler):
    """Scheduler that grants the same engines to every request and sends the configuration."""

    engines = ("p1", "d1")

    def _replies(self, message: Any) -> tuple[Any, ...]:
        if isinstance(message, PlaceRequest | ReplaceRequest) and not self.answers:
            return (grant(*self.engines)(message),)
        return super()._replies(message)

    def send_on_connect(self, opened: ChannelOpened) -> None:
        state = ConfigurationState()
        workspaces = (
            workspace_of("print", KEY, "diag-llm"),
            workspace_of("braille", "braille-key", "proof-llm"),
        )
        for offset, workspace in enumerate(workspaces):
            record = ConfigurationRecord(f"c{offset}", workspace.name, 0, 0, workspace, "ann")
            state.fold(offset, encode(record))
        for entries in entries_after(state, -1):
            opened.channel.send(entries)


@dataclass
class HttpRig:
    """An entry that serves HTTP, with its stand-ins."""

    entry: EntryProcess
    scheduler: GrantingScheduler
    engine_by_name: dict[str, StandinEngine]
    plain: StandinPlain
    url: str
    running: asyncio.Task[None]

    def held(self) -> int:
        """Return the number of tokens for which engines hold memory."""
        return sum(engine.observed().held_tokens for engine in self.engine_by_name.values())


def _members() -> tuple:
    toner = replace(engine_member("toner-1"), kind=MemberKind.SERVICE, pool="toner")
    proof = replace(engine_member("proof-1"), pool="proof-llm")
    return (entry_vm("vm-a"), *map(engine_member, ("p1", "d1")), toner, proof)


@asynccontextmanager
async def http_rig(**limits: Any) -> AsyncIterator[HttpRig]:
    """Run an entry with the settings ``limits``, and drain it at the end."""
    network = MemoryNetwork()
    directory = EngineDirectory()
    engines = {
        name: StandinEngine(name, "diag-llm", directory, model=FAST_MODEL) for name in ("p1", "d1")
    }
    directory.engine_by_address.update(engines)
    plain = StandinPlain("toner-1")
    view = ClusterView(1, _members(), ("vm-a",), ("city-hall",))
    scheduler = GrantingScheduler(network, "vm-a", view)
    identity = Identity("vm-a", "entry", "tt-north", "city-hall", 1)
    node = Node(identity, network.transport(identity))
    ports = EntryPorts(lambda member: engines[member.name], lambda member: plain)
    section = HttpSection(listen="127.0.0.1:0", **{"drain_notice_seconds": 0.0, **limits})
    entry = compose_entry(node, ports, "vm-a:1", section)
    control = asyncio.create_task(scheduler.run())
    listener = bind(section.listen)
    running = asyncio.create_task(entry.run(listener))
    try:
        for _ in range(500):
            await asyncio.sleep(0.01)
            if entry.http.is_ready and entry.service.link.channel_to("vm-a"):
                break
        port = listener.getsockname()[1]
        yield HttpRig(entry, scheduler, engines, plain, f"http://127.0.0.1:{port}", running)
        await entry.drain()
        async with asyncio.timeout(10):
            await running
    finally:
        running.cancel()
        control.cancel()
        await asyncio.wait({running, control})
        listener.close()
