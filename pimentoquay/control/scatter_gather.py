"""Sending of an operator's request to many VMs and merging of their answers.

A request is forwarded over the existing channels in at most three hops: to the other VMs of the
data centre, from all of these to one VM of each other data centre, and from that one to the other
VMs of its data centre.
"""

import asyncio
import dataclasses
from functools import singledispatch
from itertools import count
from typing import Any

from pimentoquay.kernel import Channel, Node
from pimentoquay.messages.operator import (
    DrainAnswer,
    Scope,
    StatusAnswer,
    TimelineEvents,
)
from pimentoquay.transport.peers import PeerSet
from pimentoquay.transport.timeline_responder import MAX_ANSWERED_EVENTS

__all__ = ["ScatterGather", "merge_answers"]

WAIT_SECONDS_BY_SCOPE = {
    Scope.SELF: 0.4,
    Scope.DATA_CENTRE: 0.8,
    Scope.GATEWAYS: 1.2,
    Scope.ALL: 1.6,
}
"""Maximum time to wait for answers by scope of the request, in seconds."""


class ScatterGather:
    """Forwards requests to other processes and collects their answers.

    Parameters
    ----------
    node
        Kernel of the process.
    peers
        Channels to the other processes.
    """

    def __init__(self, node: Node, peers: PeerSet) -> None:
        self._node = node
        self._peers = peers
        self._queries = count(1)
        self._answer_by_query: dict[int, asyncio.Future[Any]] = {}

    def handle_answer(self, answer: Any) -> None:
        """Deliver an answer to the caller that waits for it; late answers are ignored."""
        waiting = self._answer_by_query.get(answer.query)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def query_other_vms(self, request: Any) -> list[Any]:
        """Send a request to the other VMs within its scope and return their answers."""
        targets = self._targets(request.scope)
        return await self.query_channels(targets, request, WAIT_SECONDS_BY_SCOPE[request.scope])

    async def query_channels(
        self, targets: list[tuple[Channel, Scope]], request: Any, wait: float
    ) -> list[Any]:
        """Send a request over channels and return the answers.

        Parameters
        ----------
        targets
            Channels, each with the scope of the request sent over it.
        request
            Request, which is sent with its own query number over each channel.
        wait
            Maximum time to wait for answers, in seconds.
        """
        loop = asyncio.get_running_loop()
        futures: dict[int, asyncio.Future[Any]] = {}
        for channel, scope in targets:
            query = next(self._queries)
            futures[query] = self._answer_by_query[query] = loop.create_future()
            channel.send(dataclasses.replace(request, query=query, scope=scope))
        try:
            if futures:
                await asyncio.wait(futures.values(), timeout=wait)
        finally:
            for query in futures:
                del self._answer_by_query[query]
        return [future.result() for future in futures.values() if future.done()]

    def _targets(self, scope: Scope) -> list[tuple[Channel, Scope]]:
        own_data_centre = self._node.identity.data_centre
        channel_by_vm = {channel.peer.vm: channel for channel in self._peers.channels("control")}
        local_channels = [
            channel
            for channel in channel_by_vm.values()
            if channel.peer.data_centre == own_data_centre
        ]
        remote_channels = {
            channel.peer.data_centre: channel
            for channel in channel_by_vm.values()
            if channel.peer.data_centre != own_data_centre
        }
        targets: list[tuple[Channel, Scope]] = []
        if scope is Scope.DATA_CENTRE:
            targets += [(channel, Scope.SELF) for channel in local_channels]
        if scope is Scope.ALL:
            targets += [(channel, Scope.GATEWAYS) for channel in local_channels]
        if scope in (Scope.GATEWAYS, Scope.ALL):
            targets += [(channel, Scope.DATA_CENTRE) for channel in remote_channels.values()]
        return targets


@singledispatch
def merge_answers(own: Any, others: list[Any]) -> Any:
    """Return an answer that combines this VM's own answer with those of other VMs."""
    raise TypeError(f"cannot merge answers of type {type(own).__name__}")


@merge_answers.register
def _(own: StatusAnswer, others: list[Any]) -> StatusAnswer:
    status_by_vm = {status.vm: status for answer in [*others, own] for status in answer.vms}
    ordered = sorted(status_by_vm.values(), key=lambda item: (item.data_centre, item.vm))
    silent = tuple(vm for vm in own.silent if vm not in status_by_vm)
    return StatusAnswer(own.query, tuple(ordered), silent)


@merge_answers.register
def _(own: TimelineEvents, others: list[Any]) -> TimelineEvents:
    events = {event for answer in [own, *others] for event in answer.events}
    ordered = sorted(
        events, key=lambda event: (event.wall_us, event.count, event.vm, event.process)
    )
    return TimelineEvents(own.query, tuple(ordered[-MAX_ANSWERED_EVENTS:]))


@merge_answers.register
def _(own: DrainAnswer, others: list[Any]) -> DrainAnswer:
    return DrainAnswer(own.query, own.was_told or any(answer.was_told for answer in others))
