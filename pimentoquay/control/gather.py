"""Asking many VMs one question and merging their answers.

A question goes along the channels that are there already, at most three hops: to the other VMs
of the data centre, from those to one VM of each other data centre, and on to its neighbours.
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

__all__ = ["Gatherer", "merge_answers"]

WAIT_BY_SCOPE = {Scope.SELF: 0.4, Scope.DATA_CENTRE: 0.8, Scope.GATEWAYS: 1.2, Scope.ALL: 1.6}
"""How long the answers of each scope are waited for, in seconds."""


class Gatherer:
    """Sends questions on and collects what comes back."""

    def __init__(self, node: Node, peers: PeerSet) -> None:
        self._node = node
        self._peers = peers
        self._queries = count(1)
        self._answer_by_query: dict[int, asyncio.Future[Any]] = {}

    def take_answer(self, answer: Any) -> None:
        """Hand an answer to whoever waits for it."""
        waiting = self._answer_by_query.get(answer.query)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer)

    async def ask_others(self, request: Any) -> list[Any]:
        """Return the answers of the other VMs that a request's scope reaches."""
        targets = self._targets(request.scope)
        return await self.ask(targets, request, WAIT_BY_SCOPE[request.scope])

    async def ask(
        self, targets: list[tuple[Channel, Scope]], request: Any, wait: float
    ) -> list[Any]:
        """Ask over some channels; return what was answered within ``wait`` seconds."""
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
        own = self._node.identity.data_centre
        channel_by_vm = {channel.peer.vm: channel for channel in self._peers.channels("control")}
        near = [channel for channel in channel_by_vm.values() if channel.peer.data_centre == own]
        far = {
            channel.peer.data_centre: channel
            for channel in channel_by_vm.values()
            if channel.peer.data_centre != own
        }
        targets: list[tuple[Channel, Scope]] = []
        if scope is Scope.DATA_CENTRE:
            targets += [(channel, Scope.SELF) for channel in near]
        if scope is Scope.ALL:
            targets += [(channel, Scope.GATEWAYS) for channel in near]
        if scope in (Scope.GATEWAYS, Scope.ALL):
            targets += [(channel, Scope.DATA_CENTRE) for channel in far.values()]
        return targets


@singledispatch
def merge_answers(own: Any, others: list[Any]) -> Any:
    """Return one answer made of this VM's own and the others' answers of its type."""
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
