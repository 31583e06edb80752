"""Composition root of the entry process, and its graceful shutdown.

``compose_entry`` is used by the daemon, with WebSocket channels and HTTP clients, and by tests,
with in-memory channels and stand-ins for backend servers.
"""

import asyncio
import socket

from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.entry.configuration_feed import ConfigurationFeed
from pimentoquay.entry.connections import make_server
from pimentoquay.entry.http import EntryHttp
from pimentoquay.entry.key_claims import KeyClaims
from pimentoquay.entry.metrics import EntryMetrics
from pimentoquay.entry.plain import PlainService
from pimentoquay.entry.ports import EntryPorts
from pimentoquay.entry.scheduler_link import SchedulerLink
from pimentoquay.entry.service import RequestService
from pimentoquay.entry.settings import HttpSection
from pimentoquay.kernel import Node, Part
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.operator import DrainRequest
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.timeline_responder import TimelineResponder

__all__ = ["EntryProcess", "compose_entry"]


class EntryProcess:
    """A composed entry process that can be run and drained.

    Parameters
    ----------
    node, peers
        The process's identity, clock and message bus, and its channels to other processes.
    parts
        The tasks that the process runs.
    service, plain
        The services that run model requests and calls of plain services.
    http
        The HTTP interface for callers.
    section
        Settings of the HTTP server and its limits.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        parts: tuple[Part, ...],
        service: RequestService,
        plain: PlainService,
        http: EntryHttp,
        section: HttpSection,
    ) -> None:
        self.node = node
        self.service = service
        self.http = http
        self._peers = peers
        self._parts = parts
        self._plain = plain
        self._timeline = TimelineResponder(node)
        self._drain_requests = node.bus.subscribe(DrainRequest)
        self._section = section
        self._server = make_server(http.app, section)

    async def run(self, listener: socket.socket | None = None) -> None:
        """Run until ``drain`` has finished and all requests have ended.

        Parameters
        ----------
        listener
            Listening socket for callers. Without one, run without an HTTP server until cancelled.
        """
        parts = (*self._parts, self._timeline)
        tasks = [asyncio.create_task(part.run()) for part in parts]
        try:
            if listener is None:
                await asyncio.gather(*tasks)
            else:
                await self._server.serve(sockets=[listener])
                await self.service.drained()
                await self._plain.drained()
        finally:
            for task in tasks:
                task.cancel()
            await self._peers.close()
            self.node.timers.close()
            await self.node.transport.close()

    async def wait_for_drain_request(self) -> None:
        """Return once the control process of the entry's VM announces that the VM is leaving."""
        vm = self.node.identity.vm
        while True:
            envelope = await self._drain_requests.get()
            if envelope.channel is not None and envelope.channel.peer.vm == vm:
                return

    async def drain(self) -> None:
        """Stop accepting requests, so that ``run`` returns once all of them have ended.

        ``/readyz`` answers 503 at once, so that the load balancer sends new requests elsewhere.
        Requests that still arrive within ``drain_notice_seconds`` are served.
        """
        self.http.draining = True
        self.node.timeline.record("drain")
        logger.bind(requests=len(self.service.run_by_id)).info("draining")
        await self.node.timers.sleep(self._section.drain_notice_seconds)
        self._server.should_exit = True


def compose_entry(
    node: Node, ports: EntryPorts, control_address: str, section: HttpSection
) -> EntryProcess:
    """Return an entry process with all its parts connected.

    Parameters
    ----------
    node
        The process's identity, clock and message bus.
    ports
        Factories of the clients of backend servers.
    control_address
        IP:PORT of the control process of the entry's VM.
    section
        Settings of the HTTP server and its limits.
    """
    peers = PeerSet(node)
    metrics = EntryMetrics()
    configuration = ConfigurationView()
    feed = ConfigurationFeed(node, configuration)
    link = SchedulerLink(node, peers, control_address)
    claims = KeyClaims(node, link)
    service = RequestService(node, link, ports.engine, metrics, claims)
    plain = PlainService(node, link, ports.plain, metrics, claims)
    http = EntryHttp(service, plain, configuration, section)
    parts = (link, feed, claims)
    return EntryProcess(node, peers, parts, service, plain, http, section)
