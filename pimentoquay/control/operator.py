"""Operator part: handles status, time line and drain requests on behalf of all VMs."""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.control.cluster_status import cluster_status_lines
from pimentoquay.control.scatter_gather import ScatterGather, merge_answers
from pimentoquay.control.settings import OperatorSection
from pimentoquay.kernel import Channel, ChannelOpened, Node, plugin
from pimentoquay.kernel.status import PartStatus, StatusRequested
from pimentoquay.membership.events import DrainRequested
from pimentoquay.messages.cluster import ClusterView
from pimentoquay.messages.operator import (
    DrainAnswer,
    DrainRequest,
    Scope,
    StatusAnswer,
    StatusLine,
    StatusRequest,
    TimelineEvents,
    TimelineRequest,
    VmStatus,
)
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.timeline_responder import own_events

__all__ = ["OperatorPart"]

PART_STATUS_WAIT_SECONDS = 0.05
"""Time to wait for the status of the parts of this process, in seconds."""

DRAIN_DELAY_SECONDS = 0.2
"""Delay between answering a drain request and draining, in seconds.

A leaving VM closes channels, so the answer has to be sent before.
"""

ENTRY_WAIT_SECONDS = 0.3
"""Maximum time to wait for the events of this VM's entry process, in seconds."""


@plugin("control-part", "operator")
class OperatorPart:
    """Answers requests of ``pimentoquay-ctl``, also those that other VMs forward.

    Parameters
    ----------
    node
        Kernel of the process.
    peers
        Channels to the other processes.
    ports, section
        Not used.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: OperatorSection) -> None:
        self._node = node
        self._peers = peers
        self._scatter_gather = ScatterGather(node, peers)
        self._view: ClusterView | None = None
        self._configuration_offset = -1
        self._is_leaving = False
        self._status_by_part: dict[str, PartStatus] = {}
        self.inbox = node.bus.subscribe(
            ChannelOpened,
            ClusterView,
            ConfigurationInForce,
            DrainRequested,
            PartStatus,
            StatusRequest,
            StatusAnswer,
            TimelineRequest,
            TimelineEvents,
            DrainRequest,
            DrainAnswer,
        )

    async def run(self) -> None:
        """Handle requests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                envelope = await self.inbox.get()
                if isinstance(envelope.message, StatusRequest | TimelineRequest | DrainRequest):
                    if envelope.channel is not None:
                        tasks.create_task(self._respond(envelope.message, envelope.channel))
                else:
                    self._handle(envelope.message)

    @singledispatchmethod
    def _handle(self, message: Any) -> None:
        self._scatter_gather.handle_answer(message)

    @_handle.register
    def _(self, message: ClusterView) -> None:
        self._view = message

    @_handle.register
    def _(self, message: ConfigurationInForce) -> None:
        self._configuration_offset = message.offset

    @_handle.register
    def _(self, message: DrainRequested) -> None:
        self._is_leaving = True
        for channel in self._local_entries():
            self._request_drain(channel)

    @_handle.register
    def _(self, message: ChannelOpened) -> None:
        if self._is_leaving and message.channel in self._local_entries():
            self._request_drain(message.channel)

    def _local_entries(self) -> list[Channel]:
        vm = self._node.identity.vm
        return [channel for channel in self._peers.channels("entry") if channel.peer.vm == vm]

    def _request_drain(self, entry: Channel) -> None:
        entry.send(DrainRequest(0, Scope.SELF, self._node.identity.vm))

    @_handle.register
    def _(self, message: PartStatus) -> None:
        self._status_by_part[message.part] = message

    async def _respond(self, request: Any, channel: Channel) -> None:
        other_answers = asyncio.create_task(self._scatter_gather.query_other_vms(request))
        local_answer = await self._local_answer(request)
        channel.send(merge_answers(local_answer, await other_answers))
        if isinstance(local_answer, DrainAnswer) and local_answer.was_told:
            self._node.timers.after(DRAIN_DELAY_SECONDS, self._drain)

    def _drain(self) -> None:
        if not self._is_leaving:
            self._node.bus.publish(DrainRequested())

    @singledispatchmethod
    async def _local_answer(self, request: Any) -> Any:
        raise TypeError(f"unsupported request type {type(request).__name__}")

    @_local_answer.register
    async def _(self, request: StatusRequest) -> StatusAnswer:
        self._node.bus.publish(StatusRequested())
        await self._node.timers.sleep(PART_STATUS_WAIT_SECONDS)
        identity = self._node.identity
        status = VmStatus(
            identity.vm,
            identity.region,
            identity.data_centre,
            self._configuration_offset,
            self._is_leaving,
            (*cluster_status_lines(self._view, identity), *self._part_lines()),
        )
        expected = self._view.live_vms if self._view and request.scope is Scope.ALL else ()
        return StatusAnswer(request.query, (status,), expected)

    @_local_answer.register
    async def _(self, request: TimelineRequest) -> TimelineEvents:
        entries = [(channel, Scope.SELF) for channel in self._local_entries()]
        answers = await self._scatter_gather.query_channels(entries, request, ENTRY_WAIT_SECONDS)
        local_answer = TimelineEvents(request.query, own_events(self._node, request))
        merged: TimelineEvents = merge_answers(local_answer, answers)
        return merged

    @_local_answer.register
    async def _(self, request: DrainRequest) -> DrainAnswer:
        return DrainAnswer(request.query, request.vm == self._node.identity.vm)

    def _part_lines(self) -> list[StatusLine]:
        return [
            StatusLine(name, item.subject, item.state, item.detail)
            for name, status in sorted(self._status_by_part.items())
            for item in status.items
        ]
