"""The composition root of the entry process, and its graceful shutdown.

The same function serves the daemon, with WebSocket channels and HTTP clients, and tests, with
channels in memory and stand-ins.
"""

import asyncio
import socket

from pimentoquay.configuration.view import ConfigurationView
from pimentoquay.entry.connections import make_server
from pimentoquay.entry.feed import ConfigurationFeed
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
    """One entry process, ready to run.

    Parameters
    ----------
    node, peers
        The kernel of the process and its channels.
    parts
        The tasks that it runs.
    service, plain, http
        What runs the requests, and the callers' interface to it.
    section
        The limits for callers.
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
        """Run until ``drain`` has finished; callers connect to ``listener`` if one is given."""
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

    async def drain_requested(self) -> None:
        """Return once the VM's own control process says that the VM leaves."""
        vm = self.node.identity.vm
        while True:
            envelope = await self._drain_requests.get()
            if envelope.channel is not None and envelope.channel.peer.vm == vm:
                return

    async def drain(self) -> None:
        """Stop taking requests and let ``run`` return once all are finished.

        First ``/readyz`` turns to 503, so that the platform's balancer sends new callers
        elsewhere; whoever still comes within the notice is served.
        """
        self.http.draining = True
        self.node.timeline.record("drain")
        logger.bind(requests=len(self.service.run_by_id)).info("draining")
        await self.node.timers.sleep(self._section.drain_notice_seconds)
        self._server.should_exit = True


def compose_entry(
    node: Node, ports: EntryPorts, control_address: str, section: HttpSection
) -> EntryProcess:
    """Wire an entry process from its kernel, its ports and its settings."""
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
