"""Baseline policy: each VM alone grants requests round robin, at once, and retries at once."""

import asyncio
import itertools
from functools import singledispatchmethod
from typing import Any

from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Node, ResultCode
from pimentoquay.messages.cluster import Member
from pimentoquay.messages.placement import (
    FindRequest,
    Grant,
    LeaseRenewal,
    PlaceRequest,
    Reannouncement,
    Refusal,
    Release,
    ReplaceRequest,
    Stage,
    StageReport,
)
from pimentoquay.policy import CircuitLimits, Circuits, CircuitState

__all__ = ["NaivePart"]

MAX_RETRIES = 3
"""Maximum number of retries of one request."""


class NaivePart:
    """Places the requests of its own VM's entry, using a counter and a circuit breaker per engine.

    Parameters
    ----------
    node
        Node of the control process.
    prefill_engines_by_pool, decode_engines_by_pool
        Engines of the region that can run the prefill or the decode stage, by pool.
    """

    def __init__(
        self,
        node: Node,
        prefill_engines_by_pool: dict[str, tuple[Member, ...]],
        decode_engines_by_pool: dict[str, tuple[Member, ...]],
    ) -> None:
        self._node = node
        self._turn_counter = itertools.count(sum(map(ord, node.identity.vm)))
        self._prefill_engines_by_pool = prefill_engines_by_pool
        self._decode_engines_by_pool = decode_engines_by_pool
        self._circuits = Circuits(CircuitLimits(first_wait=1.0, longest_wait=1.0))
        self._pool_by_request: dict[str, str] = {}
        self._retries_by_request: dict[str, int] = {}
        self.inbox: asyncio.Queue[Any] = node.bus.subscribe(
            PlaceRequest,
            ReplaceRequest,
            Release,
            StageReport,
            LeaseRenewal,
            FindRequest,
            Reannouncement,
            ChannelOpened,
            ChannelClosed,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            envelope = await self.inbox.get()
            self._handle(envelope.message, envelope.channel)

    @singledispatchmethod
    def _handle(self, message: Any, channel: Channel) -> None:
        """Ignore messages that only matter to a scheduler with a ledger."""

    @_handle.register
    def _handle_place(self, message: PlaceRequest, channel: Channel) -> None:
        pool = message.shard.partition("@")[0]
        self._pool_by_request[message.request_id] = pool
        self._grant(channel, message.request_id, message.attempt, "")

    @_handle.register
    def _handle_replace(self, message: ReplaceRequest, channel: Channel) -> None:
        now = self._node.clock.now()
        if message.code is ResultCode.CIRCUIT_OPEN:
            if message.failed_stage is Stage.PREFILL:
                self._circuits.refused(message.failed_engine, now)
        else:
            self._circuits.failed(message.failed_engine, now)
        retries = self._retries_by_request.get(message.request_id, 0)
        if message.request_id not in self._pool_by_request or retries >= MAX_RETRIES:
            self._refuse(channel, message.request_id, message.attempt)
            return
        self._retries_by_request[message.request_id] = retries + 1
        self._grant(channel, message.request_id, message.attempt, message.kv_engine)

    @_handle.register
    def _handle_release(self, message: Release, channel: Channel) -> None:
        self._pool_by_request.pop(message.request_id, None)
        self._retries_by_request.pop(message.request_id, None)

    @_handle.register
    def _handle_report(self, message: StageReport, channel: Channel) -> None:
        self._circuits.succeeded(message.engine)

    @_handle.register
    def _handle_renewal(self, message: LeaseRenewal, channel: Channel) -> None:
        channel.send(message)

    def _grant(self, channel: Channel, request_id: str, attempt: int, kv_engine: str) -> None:
        pool = self._pool_by_request[request_id]
        source = kv_engine or self._next_engine(self._prefill_engines_by_pool[pool], request_id)
        target = self._next_engine(self._decode_engines_by_pool[pool], request_id)
        if not source or not target:
            self._refuse(channel, request_id, attempt)
            return
        if source in {member.name for member in self._decode_engines_by_pool[pool]}:
            target = source
        channel.send(Grant(request_id, attempt, source, target))

    def _refuse(self, channel: Channel, request_id: str, attempt: int) -> None:
        channel.send(Refusal(request_id, attempt, ResultCode.NO_BACKEND, 1.0, "naive"))

    def _next_engine(self, members: tuple[Member, ...], request_id: str) -> str:
        now = self._node.clock.now()
        for _ in members:
            name = members[next(self._turn_counter) % len(members)].name
            state = self._circuits.state(name, now)
            if state is CircuitState.PROBE_DUE:
                self._circuits.begin_probe(name, request_id, now)
                return name
            if state is CircuitState.CLOSED:
                return name
        return ""
