"""The operator part: status, time line and drain, asked of one VM and answered for all."""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.control.gather import Gatherer, merge_answers
from pimentoquay.control.settings import OperatorSection
from pimentoquay.control.view_status import view_lines
from pimentoquay.kernel import Channel, ChannelOpened, Node, plugin
from pimentoquay.kernel.status import PartStatus, StatusWanted
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

PART_STATUS_SECONDS = 0.05
"""How long the parts of this process have to tell their state."""

DRAIN_DELAY_SECONDS = 0.2
"""A VM that leaves gives up channels, so its answer goes out this long before."""

ENTRY_WAIT_SECONDS = 0.3
"""How long this VM's entry has to tell its events."""


@plugin("control-part", "operator")
class OperatorPart:
    """Answers ``pimentoquay-ctl``, and other VMs that ask on its behalf."""

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: OperatorSection) -> None:
        self._node = node
        self._peers = peers
        self._gatherer = Gatherer(node, peers)
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
        """Answer until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                envelope = await self.inbox.get()
                if isinstance(envelope.message, StatusRequest | TimelineRequest | DrainRequest):
                    if envelope.channel is not None:
                        tasks.create_task(self._answer(envelope.message, envelope.channel))
                else:
                    self._note(envelope.message)

    @singledispatchmethod
    def _note(self, message: Any) -> None:
        self._gatherer.take_answer(message)

    @_note.register
    def _(self, message: ClusterView) -> None:
        self._view = message

    @_note.register
    def _(self, message: ConfigurationInForce) -> None:
        self._configuration_offset = message.offset

    @_note.register
    def _(self, message: DrainRequested) -> None:
        self._is_leaving = True
        for channel in self._own_entries():
            self._tell_to_leave(channel)

    @_note.register
    def _(self, message: ChannelOpened) -> None:
        if self._is_leaving and message.channel in self._own_entries():
            self._tell_to_leave(message.channel)

    def _own_entries(self) -> list[Channel]:
        vm = self._node.identity.vm
        return [channel for channel in self._peers.channels("entry") if channel.peer.vm == vm]

    def _tell_to_leave(self, entry: Channel) -> None:
        entry.send(DrainRequest(0, Scope.SELF, self._node.identity.vm))

    @_note.register
    def _(self, message: PartStatus) -> None:
        self._status_by_part[message.part] = message

    async def _answer(self, request: Any, channel: Channel) -> None:
        others = asyncio.create_task(self._gatherer.ask_others(request))
        own = await self._own(request)
        channel.send(merge_answers(own, await others))
        if isinstance(own, DrainAnswer) and own.was_told:
            self._node.timers.after(DRAIN_DELAY_SECONDS, self._drain)

    def _drain(self) -> None:
        if not self._is_leaving:
            self._node.bus.publish(DrainRequested())

    @singledispatchmethod
    async def _own(self, request: Any) -> Any:
        raise TypeError(f"no answer to {type(request).__name__}")

    @_own.register
    async def _(self, request: StatusRequest) -> StatusAnswer:
        self._node.bus.publish(StatusWanted())
        await self._node.timers.sleep(PART_STATUS_SECONDS)
        identity = self._node.identity
        status = VmStatus(
            identity.vm,
            identity.region,
            identity.data_centre,
            self._configuration_offset,
            self._is_leaving,
            (*view_lines(self._view, identity), *self._part_lines()),
        )
        expected = self._view.live_vms if self._view and request.scope is Scope.ALL else ()
        return StatusAnswer(request.query, (status,), expected)

    @_own.register
    async def _(self, request: TimelineRequest) -> TimelineEvents:
        entries = [(channel, Scope.SELF) for channel in self._own_entries()]
        answers = await self._gatherer.ask(entries, request, ENTRY_WAIT_SECONDS)
        own = TimelineEvents(request.query, own_events(self._node, request))
        merged: TimelineEvents = merge_answers(own, answers)
        return merged

    @_own.register
    async def _(self, request: DrainRequest) -> DrainAnswer:
        return DrainAnswer(request.query, request.vm == self._node.identity.vm)

    def _part_lines(self) -> list[StatusLine]:
        return [
            StatusLine(name, item.subject, item.state, item.detail)
            for name, status in sorted(self._status_by_part.items())
            for item in status.items
        ]
