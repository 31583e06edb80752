"""Test rig: gateways and stand-ins of the store and engines in one event loop, on loopback."""

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from pimentoquay.gateway import Gateway, compose_gateway
from pimentoquay.http1 import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.http1.tests.scripted import WAIT_SECONDS, until
from pimentoquay.kernel import Identity, LoopClock, Node
from pimentoquay.kernel.errors import HttpError
from pimentoquay.platform.settings import Bounds, DeploymentSettings
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import PlatformStore
from pimentoquay.standin.virtual_links import VirtualLinks
from pimentoquay.transport.memory import MemoryNetwork

MEMORY = {
    "slotCount": 64,
    "kvTokens": 91_912,
    "kvTokenBytes": 18_432,
    "handleTtlS": 0.5,
    "holdMs": 2000.0,
}


def route(name, kind, service, **more):
    item = {
        "name": name,
        "host": "shop.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 14_000,
        "targetLatencyMs": 4000,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return item | more


ROUTES = (
    route("look", "idempotent", "desk"),
    route("order", "non_idempotent", "desk", maxAttempts=1),
    route("digest", "stream", "llm", resumable=True, gapTargetMs=300, stickySessions=True),
    route("sheet", "stream", "llm", maxAttempts=1, gapTargetMs=300, stickySessions=True),
)


def configuration(version=1, routes=ROUTES, **more):
    services = [
        {"name": "desk", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": False},
        {"name": "llm", "healthPath": "/health", "maxConns": 360, "engineId": MEMORY},
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    item = {"version": version, "routes": list(routes), "services": services, "limits": limits}
    return json.dumps(item | more).encode()


@dataclass
class Response:
    """A response as a caller received it; ``is_whole`` is false if it was cut off."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool


@dataclass
class Rig:
    """Stand-ins and gateways of one test; gateways are named by their VM."""

    store: PlatformStore = field(default_factory=PlatformStore)
    store_address: str = ""
    network: MemoryNetwork = field(default_factory=MemoryNetwork)
    links: VirtualLinks = field(default_factory=VirtualLinks)
    engine_by_id: dict = field(default_factory=dict)
    gateway_by_vm: dict = field(default_factory=dict)
    _stop_by_vm: dict = field(default_factory=dict)
    _task_by_vm: dict = field(default_factory=dict)
    _request_count: int = 0
    _start_count: int = 0

    async def add_engine(self, engine: PlatformEngine) -> PlatformEngine:
        await engine.serve()
        self.engine_by_id[engine.id] = engine
        await self.store.put("keyed.servers", engine.id, engine.entry())
        return engine

    async def replace_engines(self, engines) -> None:
        """Put engines in the place of those of their names, and wait until all gateways know."""
        for engine in engines:
            await self.engine_by_id[engine.id].close()
            await self.add_engine(engine)
        replaced = {(engine.id, engine.born) for engine in engines}
        for gateway in self.gateway_by_vm.values():
            await until(
                lambda fleet=gateway.fleet: replaced
                <= {(each.id, each.incarnation) for each in fleet.engines()},
                "listed",
            )

    async def add_gateway(
        self, vm="vm-1", store_address=None, seeds=(), wait=True, metrics_port=None
    ) -> Gateway:
        settings = DeploymentSettings(
            vm=vm,
            data_centre="hall",
            region="here",
            host="127.0.0.1",
            callers_address="127.0.0.1:0",
            readiness_address="127.0.0.1:0",
            control_address=f"{vm}:1",
            control_addresses=tuple(seeds),
            store_address=store_address or self.store_address,
            bounds=Bounds(2.0, 3.0, 8.0, 2.0, 0.2, 10.0, 5000.0),
            tunnel_address="127.0.0.1:0",
        )
        self._start_count += 1
        identity = Identity(vm, "gateway", "here", "hall", self._start_count)
        node = Node(identity, self.network.transport(identity), LoopClock())
        gateway = compose_gateway(settings, node, metrics_port, self.links.connector(vm))
        stop = asyncio.Event()
        self.gateway_by_vm[vm] = gateway
        self._stop_by_vm[vm] = stop
        self._task_by_vm[vm] = asyncio.create_task(gateway.run(stop))
        if wait:
            await until(lambda: gateway.dispatcher.is_ready, "ready")
        return gateway

    async def add_gateways_behind_relays(self) -> tuple[list[str], str]:
        """Add gateways up to seven, with the fixture ``relays``; return all VMs, and a leaf."""
        vms = [f"vm-{number}" for number in range(1, 8)]
        for vm in vms[1:]:
            await self.add_gateway(vm)
        meshes = [self.gateway_by_vm[vm].mesh for vm in vms]
        await until(lambda: all(len(each.relays.live_relays()) >= 2 for each in meshes), "relays")
        return vms, next(vm for vm in vms if vm not in meshes[0].plan.relays)

    def has_ended(self, vm) -> bool:
        """Return whether a gateway has ended by itself."""
        return self._task_by_vm[vm].done()

    async def kill(self, vm) -> None:
        """End a gateway as a kill does: its connections end without a drain."""
        task = self._task_by_vm.pop(vm)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self._close_gateway(self.gateway_by_vm.pop(vm))

    async def _close_gateway(self, gateway) -> None:
        gateway.node.timers.close()
        gateway.links.close()
        gateway.paths.close()
        await gateway.tunnel_server.close()
        gateway.store.close()
        await gateway.caller_server.close()
        await gateway.readiness_server.close()
        await gateway.peers.close()
        await gateway.node.transport.close()

    def stop(self, vm="vm-1") -> asyncio.Task:
        self._stop_by_vm[vm].set()
        return self._task_by_vm[vm]

    @contextlib.asynccontextmanager
    async def open(
        self,
        path,
        vm="vm-1",
        method="POST",
        body=b"x",
        headers=(),
        request_id="",
        deadline_ms=14_000,
    ):
        """Send a request on a new connection and yield the exchange."""
        self._request_count += 1
        request_id = request_id or f"r{self._request_count}"
        gateway = self.gateway_by_vm[vm]
        pool = ConnectionPool(f"127.0.0.1:{gateway.caller_server.port}", 5.0, ReusePolicy())
        sent_headers = (
            (b"Host", b"shop.example"),
            (b"Pimentoquay-Request-Id", request_id.encode()),
            (b"Pimentoquay-Deadline-Ms", str(deadline_ms).encode()),
            *headers,
        )
        try:
            async with pool.exchange(
                method.encode(), path.encode(), sent_headers, body
            ) as exchange:
                yield exchange
        finally:
            pool.close()

    async def send_request(self, path, **options) -> Response:
        """Send a request and return its response, which may be incomplete."""
        async with self.open(path, **options) as exchange:
            return await read_response(exchange)

    async def stream(self, path="/digest/a", **options) -> Response:
        headers = (*options.pop("headers", ()), *model_headers(**options.pop("model", {})))
        return await self.send_request(path, headers=headers, **options)

    async def close(self) -> None:
        for task in self._task_by_vm.values():
            task.cancel()
        await asyncio.gather(*self._task_by_vm.values(), return_exceptions=True)
        for gateway in self.gateway_by_vm.values():
            await self._close_gateway(gateway)
        for engine in self.engine_by_id.values():
            await engine.close()
        await self.store.close()


async def read_response(exchange: Exchange) -> Response:
    parts = []
    is_whole = False
    with contextlib.suppress(HttpError):
        while (part := await exchange.read_chunk(WAIT_SECONDS)) is not None:
            parts.append(part)
        is_whole = True
    headers = {name.decode().lower(): value.decode() for name, value in exchange.headers}
    return Response(exchange.status, headers, b"".join(parts), is_whole)


def model_headers(
    prompt=5000, max_output=8320, hint=4000, parts=(b"5c1e07a2:200", b"91bd3f06:4800")
):
    return (
        (b"Pimentoquay-Model", b"m"),
        (b"Pimentoquay-Token-Counts", f"{prompt},{max_output}".encode()),
        (b"Pimentoquay-Length-Hint", str(hint).encode()),
        (b"Pimentoquay-Prompt-Prefix", b",".join(parts)),
    )


@contextlib.asynccontextmanager
async def rig(start_gateway=True, document=None) -> AsyncIterator[Rig]:
    """Yield a rig with two plain servers, one prefill and two decode engines, and a gateway.

    ``document`` is its configuration, if it is not that without workspaces.
    """
    env = Rig()
    try:
        env.store_address = await env.store.serve()
        await env.store.put("keyed.op", "config", document or configuration())
        await env.add_engine(PlatformEngine("desk-1", "desk"))
        await env.add_engine(PlatformEngine("desk-2", "desk"))
        await env.add_engine(PlatformEngine("pre-1", "llm", stage="prefill"))
        await env.add_engine(PlatformEngine("dec-1", "llm", stage="decode"))
        await env.add_engine(PlatformEngine("dec-2", "llm", stage="decode"))
        if start_gateway:
            await env.add_gateway()
        yield env
    finally:
        await env.close()


__all__ = ["Response", "Rig", "rig", "until"]
