"""The entry's link to the schedulers: channels, the lease, and answers matched to waiters.

The link is a task of its own. It dials the VMs that own shards, renews the entry's lease on
every such channel, and hands each ``Grant``, ``Refusal`` or ``Located`` to the request that
waits for exactly that attempt; any other answer is late or crossed and is dropped.

The link also keeps the grants that this entry holds, by shard. When a shard has a new owner, or
the channel to its owner was opened anew, it announces them there, so that streams go on while
the scheduler's ledger is rebuilt.
"""

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import Any

from pimentoquay.entry.directory import ClusterDirectory
from pimentoquay.entry.view_source import ViewSource
from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Node,
    PimentoquayError,
    RefusedError,
    ResultCode,
)
from pimentoquay.membership.view import changed_view
from pimentoquay.messages.cluster import ClusterView, ShardSummary
from pimentoquay.messages.membership import ClusterViewChange
from pimentoquay.messages.placement import (
    FindRequest,
    Grant,
    GrantRecord,
    LeaseRenewal,
    Located,
    PlaceRequest,
    Reannouncement,
    Refusal,
    Release,
    ReplaceRequest,
    StageReport,
)
from pimentoquay.transport.peers import PeerSet

__all__ = ["SchedulerLink", "SchedulerLostError"]

LEASE_RENEWAL_SECONDS = 1.0
"""How often the lease is renewed on each channel to a scheduler."""

LEASE_SILENCE_SECONDS = 3.0
"""A scheduler that has returned no renewal for so long counts as lost."""

SHORTEST_WAIT_SECONDS = 1e-6
"""A wait that a timer may be too coarse for; it would end at once and be asked for again."""

OWNER_WAIT_SECONDS = 1.0
"""How long a request waits for a channel to its shard's owner."""

FIND_ATTEMPT = -1
"""Stands for the attempt in the key of a waiter for ``Located``."""


class SchedulerLostError(PimentoquayError):
    """No scheduler of the shard can be reached, or it was lost before it answered."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.NOT_OWNER, detail)


@dataclass(frozen=True)
class _Waiter:
    answer: asyncio.Future[Any]
    channel: Channel


class SchedulerLink:
    """The channels to schedulers and what travels on them.

    Parameters
    ----------
    node
        The entry process.
    peers
        Its channels; the link alone decides which VMs are dialled.
    control_address
        The address of the control process of the own VM.
    """

    def __init__(self, node: Node, peers: PeerSet, control_address: str) -> None:
        self._node = node
        self._peers = peers
        self._control_address = control_address
        self.directory = ClusterDirectory(ClusterView(0, (), (), ()))
        self.summary_by_shard: dict[str, ShardSummary] = {}
        self._waiter_by_key: dict[tuple[str, int], _Waiter] = {}
        self._held_by_shard: dict[str, dict[str, GrantRecord]] = {}
        self._channel_by_shard: dict[str, Channel] = {}
        self._heard_by_channel: dict[int, float] = {}
        self._unsent_by_shard: dict[str, dict[str, Release]] = {}
        self._spill_shards: set[str] = set()
        self._other_vms: set[str] = set()
        self._view_source = ViewSource(node.identity, self.channel_to)
        self._changed = asyncio.Event()
        self._sequence = 0
        self.inbox = node.bus.subscribe(
            ClusterView,
            ClusterViewChange,
            ShardSummary,
            Grant,
            Refusal,
            Located,
            LeaseRenewal,
            ChannelOpened,
            ChannelClosed,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
        self._dial()
        renewal = self._node.timers.every(LEASE_RENEWAL_SECONDS, self._renew)
        try:
            while True:
                envelope = await self.inbox.get()
                self._take(envelope.message, envelope.channel)
        finally:
            renewal.cancel()

    async def place(self, request: PlaceRequest) -> Grant:
        """Ask the shard's scheduler for engines.

        Raises ``RefusedError`` when it refuses or the deadline passes, ``SchedulerLostError``
        when no scheduler answers.
        """
        channel = await self._channel_to_owner(request.shard, request.deadline_in)
        key = (request.request_id, request.attempt)
        return await self._ask(key, request, channel, request.deadline_in)

    async def replace(self, shard: str, request: ReplaceRequest) -> Grant:
        """Ask for other engines after a stage failed; raises as ``place`` does."""
        channel = self._channel_by_shard.get(shard)
        if channel is None or not self._is_live(channel):
            raise SchedulerLostError(f"the scheduler of {shard} is lost")
        key = (request.request_id, request.attempt)
        return await self._ask(key, request, channel, request.deadline_in)

    async def find(self, shard: str, request_id: str, timeout: float, wait: float) -> Located:
        """Ask the shard's scheduler where a stream runs; raises as ``place`` does.

        A channel to the scheduler is waited for ``wait`` seconds.
        """
        channel = await self._channel_to_owner(shard, min(timeout, wait))
        key = (request_id, FIND_ATTEMPT)
        return await self._ask(key, FindRequest(request_id, shard), channel, timeout)

    def report(self, shard: str, report: StageReport) -> None:
        """Tell the shard's scheduler of a finished stage."""
        channel = self._channel_by_shard.get(shard)
        if channel is not None:
            channel.send(report)

    def hold(self, shard: str, record: GrantRecord) -> None:
        """Remember a grant as it stands, to announce it to a new owner."""
        self._held_by_shard.setdefault(shard, {})[record.request_id] = record

    def announce(self, shard: str) -> None:
        """Tell the shard's owner of every grant held, of which it may not know some."""
        channel = self._channel_by_shard.get(shard)
        if channel is not None:
            channel.send(Reannouncement(shard, self.held(shard)))

    def release(self, shard: str, release: Release) -> None:
        """Give back whatever a request holds or waits for."""
        held = self._held_by_shard.get(shard)
        if held is not None:
            held.pop(release.request_id, None)
        channel = self._channel_by_shard.get(shard)
        if channel is not None and self._is_live(channel):
            channel.send(release)
        elif channel is not None:
            self._unsent_by_shard.setdefault(shard, {})[release.request_id] = release

    def channel_to(self, vm: str) -> Channel | None:
        """Return a channel to a VM's control process that is up and heard, or ``None``."""
        channel = self._peers.channel_to(vm)
        return channel if channel is not None and self._is_live(channel) else None

    async def reach(self, vm: str, timeout: float) -> Channel | None:
        """Dial a VM for a purpose of its own; fall back on the own VM after ``timeout``."""
        if vm not in self._other_vms:
            self._other_vms.add(vm)
            self._dial()
        channel = await self._wait_for(lambda: self.channel_to(vm), timeout)
        return channel or self.channel_to(self._node.identity.vm)

    def held(self, shard: str) -> tuple[GrantRecord, ...]:
        """Return the grants that this entry holds of a shard."""
        return tuple(self._held_by_shard.get(shard, {}).values())

    async def _ask(
        self, key: tuple[str, int], request: Any, channel: Channel, timeout: float
    ) -> Any:
        if key in self._waiter_by_key:
            raise RefusedError(ResultCode.KEY_IN_USE, f"request id {key[0]} is in use")
        answer: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._waiter_by_key[key] = _Waiter(answer, channel)
        channel.send(request)
        try:
            async with asyncio.timeout(max(0.0, timeout)):
                return await answer
        except TimeoutError:
            raise RefusedError(
                ResultCode.DEADLINE_UNREACHABLE, f"no engine became free within {timeout:.3f} s"
            ) from None
        finally:
            del self._waiter_by_key[key]

    async def _channel_to_owner(self, shard: str, timeout: float) -> Channel:
        """Return a channel to the shard's owner, waiting a little for one to come up."""
        shard_seen = self.directory.shard_by_name.get(shard)
        if shard_seen is not None and not shard_seen.is_near(self._node.identity):
            self._spill_shards.add(shard)
            self._dial()
        channel = await self._wait_for(
            lambda: self.channel_to(self.directory.owner(shard)), min(timeout, OWNER_WAIT_SECONDS)
        )
        if channel is None:
            raise SchedulerLostError(f"no scheduler of {shard} can be reached")
        self._channel_by_shard.setdefault(shard, channel)
        return channel

    async def _wait_for(self, look: Callable[[], Channel | None], timeout: float) -> Channel | None:
        """Look again after each change of channels or view until ``timeout`` has passed."""
        deadline = self._node.clock.now() + timeout
        while (channel := look()) is None:
            remaining = deadline - self._node.clock.now()
            if remaining < SHORTEST_WAIT_SECONDS:
                return None
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
        return channel

    def _is_live(self, channel: Channel) -> bool:
        heard = self._heard_by_channel.get(id(channel))
        return heard is not None and self._node.clock.now() - heard < LEASE_SILENCE_SECONDS

    def _renew(self) -> None:
        self._sequence += 1
        for channel in self._peers.channels("control"):
            channel.send(LeaseRenewal(self._sequence))
        self._fail_silent()
        self._seek_view()

    def _seek_view(self) -> None:
        wanted = set(self._view_source.seek(self.directory)) - self._other_vms
        if wanted:
            self._other_vms |= wanted
            self._dial()

    def _fail_silent(self) -> None:
        for waiter in tuple(self._waiter_by_key.values()):
            if not self._is_live(waiter.channel):
                self._fail(waiter, f"the scheduler at {waiter.channel.peer.vm} is silent")

    def _fail(self, waiter: _Waiter, detail: str) -> None:
        if not waiter.answer.done():
            waiter.answer.set_exception(SchedulerLostError(detail))

    def _dial(self) -> None:
        """Dial the own VM's control and the owners of local and spilled-to shards."""
        address_by_vm = {self._node.identity.vm: self._control_address}
        for name, shard in self.directory.shard_by_name.items():
            local = shard.is_near(self._node.identity)
            if local or name in self._spill_shards:
                owner = self.directory.member_by_name.get(self.directory.owner(name))
                if owner is not None:
                    address_by_vm.setdefault(owner.name, owner.address)
        for name in self._other_vms & self.directory.member_by_name.keys():
            address_by_vm.setdefault(name, self.directory.member_by_name[name].address)
        self._peers.want(address_by_vm)

    def _announce(self) -> None:
        """Announce held grants wherever a shard's owner has a channel it was not told on."""
        for shard in sorted(set(self._channel_by_shard) | set(self._held_by_shard)):
            channel = self._peers.channel_to(self.directory.owner(shard))
            if channel is None or channel is self._channel_by_shard.get(shard):
                continue
            self._channel_by_shard[shard] = channel
            channel.send(Reannouncement(shard, self.held(shard)))
            for release in self._unsent_by_shard.pop(shard, {}).values():
                channel.send(release)

    @singledispatchmethod
    def _take(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_take.register
    def _take_view(self, message: ClusterView, channel: Channel | None) -> None:
        if not self._view_source.accepts(channel):
            return
        self.directory = ClusterDirectory(message)
        self._spill_shards &= set(self.directory.shard_by_name)
        self._dial()
        self._announce()
        self._changed.set()

    @_take.register
    def _take_view_change(self, message: ClusterViewChange, channel: Channel | None) -> None:
        # A change of another view follows a lost channel; the whole view comes on the new one.
        if self._view_source.accepts(channel) and message.base == self.directory.view.version:
            self._take_view(changed_view(self.directory.view, message), channel)

    @_take.register
    def _take_summary(self, message: ShardSummary, channel: Channel | None) -> None:
        self.summary_by_shard[message.shard] = message

    @_take.register
    def _take_grant(self, message: Grant, channel: Channel | None) -> None:
        self._answer((message.request_id, message.attempt), message, channel)

    @_take.register
    def _take_refusal(self, message: Refusal, channel: Channel | None) -> None:
        key = (message.request_id, message.attempt)
        waiter = self._waiter_by_key.get(key) or self._waiter_by_key.get((key[0], FIND_ATTEMPT))
        if waiter is None or waiter.channel is not channel or waiter.answer.done():
            return
        if message.code is ResultCode.NOT_OWNER:
            self._fail(waiter, message.detail)
            return
        waiter.answer.set_exception(RefusedError(message.code, message.detail, message.retry_after))

    @_take.register
    def _take_located(self, message: Located, channel: Channel | None) -> None:
        self._answer((message.request_id, FIND_ATTEMPT), message, channel)

    @_take.register
    def _take_renewal(self, message: LeaseRenewal, channel: Channel | None) -> None:
        if channel is not None:
            self._heard_by_channel[id(channel)] = self._node.clock.now()

    @_take.register
    def _take_opened(self, message: ChannelOpened, channel: Channel | None) -> None:
        self._heard_by_channel[id(message.channel)] = self._node.clock.now()
        self._seek_view()
        self._announce()
        self._changed.set()

    @_take.register
    def _take_closed(self, message: ChannelClosed, channel: Channel | None) -> None:
        self._heard_by_channel.pop(id(message.channel), None)
        for waiter in tuple(self._waiter_by_key.values()):
            if waiter.channel is message.channel:
                self._fail(waiter, f"the channel to {message.channel.peer.vm} has closed")
        self._seek_view()
        self._changed.set()

    def _answer(self, key: tuple[str, int], message: Any, channel: Channel | None) -> None:
        waiter = self._waiter_by_key.get(key)
        if waiter is not None and waiter.channel is channel and not waiter.answer.done():
            waiter.answer.set_result(message)
