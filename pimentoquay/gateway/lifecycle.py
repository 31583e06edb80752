"""A gateway with its parts: start, service until it is stopped, and drain."""

import asyncio
from dataclasses import dataclass

from pimentoquay.gateway.allowance_granter import AllowanceGranting
from pimentoquay.gateway.dispatcher import Dispatcher
from pimentoquay.gateway.feed import StoreFeed
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.memory_watch import WATCH_SECONDS, MemoryWatch
from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.origin_store import OriginStore
from pimentoquay.gateway.path_watch import PathWatch
from pimentoquay.gateway.pool_client import PoolClient
from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.request_guard import RequestGuard
from pimentoquay.gateway.stage_controller import StageController
from pimentoquay.gateway.stream_origins import OriginExchange
from pimentoquay.gateway.vm_registry import VmRegistry
from pimentoquay.http1 import HttpServer
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.settings import DeploymentSettings
from pimentoquay.platform.store import StoreClient
from pimentoquay.policy.planned_stop import StopTimes
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.websocket import split_address
from pimentoquay.tunnels import EnginePaths, TunnelServer

__all__ = ["Gateway"]

OUT_OF_ROTATION_SECONDS = 3.0
"""Time for which new requests still arrive after the gateway reports that it is not ready. The
platform checks readiness once a second and removes a VM after two failed checks."""

GRACE_MARGIN_SECONDS = 0.5
"""Time between the end of the drain and the kill by the platform that ends the grace period."""

ANSWER_SECONDS = 0.2
"""Time at the end of the drain in which requests without an answer get their final one."""

SEED_INTERVAL_SECONDS = 1.5
"""Interval at which the seed addresses are dialled while no other gateway is known to be alive."""

EVIDENCE_EXPIRY_SECONDS = 60.0
"""Interval at which old evidence of crashes is dropped; it is kept for a day."""


@dataclass
class Gateway:
    """A gateway with its HTTP servers and background tasks."""

    settings: DeploymentSettings
    node: Node
    store: StoreClient
    fleet: Fleet
    feed: StoreFeed
    mesh: Mesh
    vm_registry: VmRegistry
    peers: PeerSet
    links: EngineLinks
    paths: EnginePaths
    path_watch: PathWatch
    tunnel_server: TunnelServer
    stage_controller: StageController
    pool_client: PoolClient
    pool_coordinator: PoolCoordinator
    allowance_granting: AllowanceGranting
    guard: RequestGuard
    origins: OriginExchange
    origin_store: OriginStore
    dispatcher: Dispatcher
    caller_server: HttpServer
    readiness_server: HttpServer
    metrics_server: HttpServer
    memory_watch: MemoryWatch
    metrics_port: int | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then drain the requests in progress."""
        await self._listen()
        self.pool_client.start()
        self.origins.start()
        self.mesh.step.start()
        self.paths.start()
        self.path_watch.start()
        self.node.timers.every(EVIDENCE_EXPIRY_SECONDS, self.guard.expire)
        self.node.timers.every(WATCH_SECONDS, self.memory_watch.look)
        self.pool_coordinator.start()
        self.allowance_granting.start()
        tasks = [
            asyncio.create_task(service)
            for service in (
                self.feed.run(),
                self.origin_store.run(),
                self.mesh.run(),
                self.stage_controller.run(),
                self._discover_peers(),
            )
        ]
        stopping = asyncio.create_task(stop.wait())
        try:
            await asyncio.wait([stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            for task in (stopping, *tasks):
                task.cancel()
            raise
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()  # type: ignore[misc]
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.close()
        self.paths.close()
        await self.tunnel_server.close()
        self.store.close()
        self.node.timers.close()

    async def _listen(self) -> None:
        settings = self.settings
        for server, address in (
            (self.readiness_server, settings.readiness_address),
            (self.caller_server, settings.callers_address),
        ):
            await server.listen(*split_address(address))
        if self.metrics_port is not None:
            await self.metrics_server.listen(settings.host, self.metrics_port)
        if settings.tunnel_address:
            address = await self.tunnel_server.listen(*split_address(settings.tunnel_address))
            self.mesh.addresses.set_tunnel_address(address)
        if settings.control_address:
            await self.node.transport.listen(settings.control_address, self.peers.serve)

    async def _discover_peers(self) -> None:
        settings, timers = self.settings, self.node.timers
        timers.every(
            SEED_INTERVAL_SECONDS, lambda: self.mesh.dial_seeds(settings.control_addresses)
        )
        await self.vm_registry.run()

    @property
    def _has_work(self) -> bool:
        return bool(self.caller_server.requests_in_progress or self.tunnel_server.active)

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        logger.bind(in_progress=self.caller_server.requests_in_progress).info("draining")
        diverted_at = started_at + OUT_OF_ROTATION_SECONDS
        ends_at = started_at + self.settings.bounds.grace_seconds - GRACE_MARGIN_SECONDS
        self.dispatcher.drain(StopTimes(diverted_at, ends_at - ANSWER_SECONDS))
        self.mesh.update_own_state(is_draining=True)
        self.caller_server.drain()
        self.tunnel_server.drain()
        await self.node.timers.sleep(OUT_OF_ROTATION_SECONDS)
        await self.caller_server.close()
        while self._has_work and loop.time() < ends_at:
            await self.node.timers.sleep(0.05)
            self.caller_server.close_idle()
        self.caller_server.stop()  # What is read from now on would be cut.
        logger.bind(in_progress=self.caller_server.requests_in_progress).info("drained")
