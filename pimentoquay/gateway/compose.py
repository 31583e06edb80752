"""The composition root of a gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from pimentoquay.gateway.context import Repeats, Sharing
from pimentoquay.gateway.feed import StoreFeed
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.front import Front
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.mesh import Mesh
from pimentoquay.gateway.metrics import (
    CONNECTIONS,
    IN_PROGRESS,
    LIST_AGE,
    PEERS,
    STORE_CALLS,
    VERSION,
    WAITING,
    GatewayMetrics,
)
from pimentoquay.gateway.plain import PlainForwarder
from pimentoquay.gateway.prefills import Prefills
from pimentoquay.gateway.reservations import Reservations
from pimentoquay.gateway.stage_orders import StageOrders
from pimentoquay.gateway.streams import StreamForwarder
from pimentoquay.http1 import HttpRequest, HttpServer, Reply, ServerLimits
from pimentoquay.kernel import Node
from pimentoquay.kernel.logs import logger
from pimentoquay.platform.settings import DeploymentSettings
from pimentoquay.platform.store import StoreClient, StoreError
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.poll_timing import poll_timing
from pimentoquay.policy.repeat_allowance import RepeatLimits
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.websocket import split_address

__all__ = ["Gateway", "compose_gateway"]

OUT_OF_ROTATION_SECONDS = 3.0
"""How long callers still come after readiness ends: the platform asks once a second, and two
misses take a VM out."""

GRACE_MARGIN_SECONDS = 0.5
"""Kept from the time between the signal to stop and the kill."""

SEED_SECONDS = 1.5
"""When the addresses of the settings are dialled if no peer has been heard by then."""

FIND_SECONDS = 1.0
"""The wait between tries to learn the peers' addresses from the store."""


@dataclass
class Gateway:
    """One gateway and its servers."""

    settings: DeploymentSettings
    node: Node
    store: StoreClient
    fleet: Fleet
    feed: StoreFeed
    mesh: Mesh
    peers: PeerSet
    links: EngineLinks
    orders: StageOrders
    front: Front
    callers: HttpServer
    readiness: HttpServer
    measures: HttpServer
    metrics_port: int | None = None

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until asked to stop, then finish what was begun."""
        await self._listen()
        tasks = [
            asyncio.create_task(part)
            for part in (
                self.feed.run(),
                self.mesh.run(),
                self.orders.run(),
                self._find_peers(),
            )
        ]
        stopping = asyncio.create_task(stop.wait())
        await asyncio.wait([stopping, *tasks], return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()  # type: ignore[misc]
        await self._drain()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.close()
        self.store.close()
        self.node.timers.close()

    async def _listen(self) -> None:
        settings = self.settings
        for server, address in (
            (self.readiness, settings.readiness_address),
            (self.callers, settings.callers_address),
        ):
            await server.listen(*split_address(address))
        if self.metrics_port is not None:
            await self.measures.listen(settings.host, self.metrics_port)
        if settings.control_address:
            await self.node.transport.listen(settings.control_address, self.peers.serve)

    async def _find_peers(self) -> None:
        settings, timers = self.settings, self.node.timers
        timers.every(SEED_SECONDS, lambda: self.mesh.dial_seeds(settings.control_addresses))
        await self.feed.announce(settings.vm, settings.control_address, settings.data_centre)
        while True:
            try:
                self.mesh.know(await self.feed.vms())
            except StoreError as error:
                logger.bind(error=str(error)).info("the peers' addresses cannot be read yet")
                await timers.sleep(FIND_SECONDS)
            else:
                await asyncio.Event().wait()

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        begun_at = loop.time()
        logger.bind(in_progress=self.callers.requests_in_progress).info("draining")
        self.front.is_draining = True
        self.mesh.is_draining = True
        self.callers.drain()
        await self.node.timers.sleep(OUT_OF_ROTATION_SECONDS)
        await self.callers.close()
        ends_at = begun_at + self.settings.bounds.grace_seconds - GRACE_MARGIN_SECONDS
        while self.callers.requests_in_progress and loop.time() < ends_at:
            await self.node.timers.sleep(0.05)
            self.callers.close_idle()
        logger.bind(in_progress=self.callers.requests_in_progress).info("drained")


def compose_gateway(
    settings: DeploymentSettings, node: Node, metrics_port: int | None = None
) -> Gateway:
    """Wire the parts of one gateway; metrics are served where a port is given."""
    fleet = Fleet(node.timers.now)
    links = EngineLinks(fleet)
    running = RunLedger()
    bounds = settings.bounds
    limits = RepeatLimits(bounds.repeat_ratio, bounds.repeat_slack, bounds.repeat_window_seconds)
    prefilling = TokenLedger()
    metrics = GatewayMetrics()
    sharing = Sharing(
        Placer(settings.vm, settings.data_centre),
        running,
        prefilling,
        StageDemand(),
        fleet,
        links,
        metrics,
        Repeats(limits),
    )
    peers = PeerSet(node)
    reservations = Reservations(
        sharing,
        lambda: mesh.peers_waiting,
        lambda: mesh.misses_peers,
        lambda: mesh.note_held_changed(),
        sharing.demand.record_decode,
    )
    mesh = Mesh(
        node,
        peers,
        fleet,
        running,
        prefilling,
        sharing.demand,
        settings.control_address,
        lambda: reservations.waiting,
    )
    mesh.on_load_changed.append(reservations.note_change)
    mesh.on_load_changed.append(lambda: _follow_mesh(sharing, mesh))
    store = StoreClient(settings.store_address)
    pace = poll_timing(bounds.drain_seconds, bounds.config_seconds, settings.vm)
    feed = StoreFeed(
        store, fleet, node.timers, pace, mesh.is_reader, mesh.publish, mesh.note_held_changed
    )
    orders = StageOrders(
        settings.vm,
        sharing,
        store,
        node.timers,
        bounds.lease_seconds,
        mesh.is_reader,
        mesh.publish,
    )
    mesh.on_stage_ordered.append(orders.note_ordered)
    streams = StreamForwarder(sharing, reservations, Prefills(sharing, mesh.note_held_changed))
    front = Front(sharing, PlainForwarder(sharing), streams)
    callers = HttpServer(front.handle, lambda: _limits(fleet))
    readiness = HttpServer(_readiness(front), ServerLimits)
    metrics.value_by_gauge = {
        IN_PROGRESS: lambda: callers.requests_in_progress,
        LIST_AGE: lambda: min(fleet.list_age, 1e6),
        VERSION: lambda: fleet.configuration.version if fleet.configuration else 0,
        WAITING: lambda: reservations.waiting.tokens,
        STORE_CALLS: lambda: store.calls,
        CONNECTIONS: lambda: links.opened,
        PEERS: lambda: mesh.vms,
    }
    measures = HttpServer(metrics.answer, ServerLimits)
    return Gateway(
        settings,
        node,
        store,
        fleet,
        feed,
        mesh,
        peers,
        links,
        orders,
        front,
        callers,
        readiness,
        measures,
        metrics_port,
    )


def _follow_mesh(sharing: Sharing, mesh: Mesh) -> None:
    sharing.repeats.vms = mesh.vms
    sharing.placer = replace(sharing.placer, has_delayed_loads=not mesh.loads.plan.is_full)


def _limits(fleet: Fleet) -> ServerLimits:
    configuration = fleet.configuration
    return configuration.limits if configuration is not None else ServerLimits()


def _readiness(front: Front) -> Callable[[HttpRequest, Reply], Awaitable[None]]:
    async def answer(request: HttpRequest, reply: Reply) -> None:
        reply.send(200 if front.is_ready else 503, (), b"")

    return answer
