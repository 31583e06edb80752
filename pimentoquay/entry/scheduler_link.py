"""The entry's link to the schedulers: channels, lease renewal, and requests with their replies.

The link is a task. It connects to the VMs that own shards, renews the entry's lease on each of
these channels, and passes each ``Grant``, ``Refusal`` or ``Located`` to the request whose current
attempt it answers. Replies that no request waits for, because they are late or belong to another
attempt, are dropped.

The link also stores the grants that this entry holds, by shard. When a shard gets a new owner, or
the channel to its owner is opened again, the grants are announced there, so that streams continue
while the scheduler rebuilds its ledger.
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
"""Interval of lease renewals on each channel to a scheduler, in seconds."""

LEASE_SILENCE_SECONDS = 3.0
"""Time after which a scheduler that echoes no lease renewal counts as lost, in seconds."""

MIN_WAIT_SECONDS = 1e-6
"""Shortest wait that is started, in seconds; shorter ones may be below the timer resolution.

Such a wait would end at once, before its deadline, and be started again and again.
"""

OWNER_WAIT_SECONDS = 1.0
"""Maximum wait of a request for a channel to its shard's owner, in seconds."""

FIND_ATTEMPT = -1
"""Attempt number under which a wait for ``Located`` is stored; that message carries none."""


class SchedulerLostError(PimentoquayError):
    """No scheduler of the shard can be reached, or it was lost before it answered."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.NOT_OWNER, detail)


@dataclass(frozen=True)
class _Waiter:
    answer: asyncio.Future[Any]
    channel: Channel


class SchedulerLink:
    """Task that owns the channels to schedulers and exchanges messages on them.

    Parameters
    ----------
    node
        The entry process.
    peers
        Its channels; only the link decides which VMs to connect to.
    control_address
        IP:PORT of the control process of the entry's VM.

    Attributes
    ----------
    directory
        Index of the current cluster view.
    summary_by_shard
        Last known load of each shard.
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
        self._last_seen_by_channel: dict[int, float] = {}
        self._unsent_releases_by_shard: dict[str, dict[str, Release]] = {}
        self._spill_shards: set[str] = set()
        self._extra_vms: set[str] = set()
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
        """Handle messages and renew leases until cancelled."""
        self._dial()
        renewal = self._node.timers.every(LEASE_RENEWAL_SECONDS, self._renew_leases)
        try:
            while True:
                envelope = await self.inbox.get()
                self._handle(envelope.message, envelope.channel)
        finally:
            renewal.cancel()

    async def place(self, request: PlaceRequest) -> Grant:
        """Request engines from the shard's scheduler.

        Raises
        ------
        RefusedError
            If the scheduler refuses or the deadline passes.
        SchedulerLostError
            If no scheduler can be reached, or it is lost before it replies.
        """
        channel = await self._channel_to_owner(request.shard, request.deadline_in)
        key = (request.request_id, request.attempt)
        return await self._send_and_wait(key, request, channel, request.deadline_in)

    async def replace(self, shard: str, request: ReplaceRequest) -> Grant:
        """Request other engines after a failed stage; raises the same errors as ``place``."""
        channel = self._channel_by_shard.get(shard)
        if channel is None or not self._is_live(channel):
            raise SchedulerLostError(f"the scheduler of {shard} is lost")
        key = (request.request_id, request.attempt)
        return await self._send_and_wait(key, request, channel, request.deadline_in)

    async def find(self, shard: str, request_id: str, timeout: float, wait: float) -> Located:
        """Query the shard's scheduler for a stream's engine; raises the errors of ``place``.

        ``wait`` is the maximum wait for a channel to the scheduler and ``timeout`` the one for
        its reply, both in seconds.
        """
        channel = await self._channel_to_owner(shard, min(timeout, wait))
        key = (request_id, FIND_ATTEMPT)
        return await self._send_and_wait(key, FindRequest(request_id, shard), channel, timeout)

    def report(self, shard: str, report: StageReport) -> None:
        """Send a stage report to the shard's scheduler."""
        channel = self._channel_by_shard.get(shard)
        if channel is not None:
            channel.send(report)

    def hold(self, shard: str, record: GrantRecord) -> None:
        """Store the current state of a grant, to announce it to a new owner of the shard."""
        self._held_by_shard.setdefault(shard, {})[record.request_id] = record

    def announce(self, shard: str) -> None:
        """Send a shard's owner all grants held in the shard, as it may not know all of them."""
        channel = self._channel_by_shard.get(shard)
        if channel is not None:
            channel.send(Reannouncement(shard, self.held(shard)))

    def release(self, shard: str, release: Release) -> None:
        """Release the grant of a request, or withdraw the request if it still waits for one.

        If the scheduler is lost, the release is sent to the next owner of the shard.
        """
        held = self._held_by_shard.get(shard)
        if held is not None:
            held.pop(release.request_id, None)
        channel = self._channel_by_shard.get(shard)
        if channel is not None and self._is_live(channel):
            channel.send(release)
        elif channel is not None:
            self._unsent_releases_by_shard.setdefault(shard, {})[release.request_id] = release

    def channel_to(self, vm: str) -> Channel | None:
        """Return the channel to a VM's control process if it is open and live, else ``None``."""
        channel = self._peers.channel_to(vm)
        return channel if channel is not None and self._is_live(channel) else None

    async def connect(self, vm: str, timeout: float) -> Channel | None:
        """Return a channel to a VM, connecting to it if necessary.

        If there is none after ``timeout`` seconds, return the channel to the entry's VM, or
        ``None`` if that is not live either.
        """
        if vm not in self._extra_vms:
            self._extra_vms.add(vm)
            self._dial()
        channel = await self._wait_for(lambda: self.channel_to(vm), timeout)
        return channel or self.channel_to(self._node.identity.vm)

    def held(self, shard: str) -> tuple[GrantRecord, ...]:
        """Return the grants that this entry holds in a shard."""
        return tuple(self._held_by_shard.get(shard, {}).values())

    async def _send_and_wait(
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
        """Return a channel to the shard's owner, connecting to it if necessary."""
        known_shard = self.directory.shard_by_name.get(shard)
        if known_shard is not None and not known_shard.is_near(self._node.identity):
            self._spill_shards.add(shard)
            self._dial()
        channel = await self._wait_for(
            lambda: self.channel_to(self.directory.owner(shard)), min(timeout, OWNER_WAIT_SECONDS)
        )
        if channel is None:
            raise SchedulerLostError(f"no scheduler of {shard} can be reached")
        self._channel_by_shard.setdefault(shard, channel)
        return channel

    async def _wait_for(
        self, find_channel: Callable[[], Channel | None], timeout: float
    ) -> Channel | None:
        """Call ``find_channel`` after each change of channels or view until it finds one.

        Return ``None`` after ``timeout`` seconds.
        """
        deadline = self._node.clock.now() + timeout
        while (channel := find_channel()) is None:
            remaining = deadline - self._node.clock.now()
            if remaining < MIN_WAIT_SECONDS:
                return None
            self._changed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
        return channel

    def _is_live(self, channel: Channel) -> bool:
        last_seen = self._last_seen_by_channel.get(id(channel))
        return last_seen is not None and self._node.clock.now() - last_seen < LEASE_SILENCE_SECONDS

    def _renew_leases(self) -> None:
        self._sequence += 1
        for channel in self._peers.channels("control"):
            channel.send(LeaseRenewal(self._sequence))
        self._fail_silent_waiters()
        self._follow_view()

    def _follow_view(self) -> None:
        wanted = set(self._view_source.follow(self.directory)) - self._extra_vms
        if wanted:
            self._extra_vms |= wanted
            self._dial()

    def _fail_silent_waiters(self) -> None:
        for waiter in tuple(self._waiter_by_key.values()):
            if not self._is_live(waiter.channel):
                self._fail_waiter(waiter, f"the scheduler at {waiter.channel.peer.vm} is silent")

    def _fail_waiter(self, waiter: _Waiter, detail: str) -> None:
        if not waiter.answer.done():
            waiter.answer.set_exception(SchedulerLostError(detail))

    def _dial(self) -> None:
        """Update the set of VMs to connect to.

        These are the entry's VM, the owners of local shards and of the remote shards to which
        requests spill over, and VMs requested by ``connect`` or needed for the cluster view.
        """
        address_by_vm = {self._node.identity.vm: self._control_address}
        for name, shard in self.directory.shard_by_name.items():
            local = shard.is_near(self._node.identity)
            if local or name in self._spill_shards:
                owner = self.directory.member_by_name.get(self.directory.owner(name))
                if owner is not None:
                    address_by_vm.setdefault(owner.name, owner.address)
        for name in self._extra_vms & self.directory.member_by_name.keys():
            address_by_vm.setdefault(name, self.directory.member_by_name[name].address)
        self._peers.set_targets(address_by_vm)

    def _announce(self) -> None:
        """Announce the grants held in each shard on every new channel to the shard's owner."""
        for shard in sorted(set(self._channel_by_shard) | set(self._held_by_shard)):
            channel = self._peers.channel_to(self.directory.owner(shard))
            if channel is None or channel is self._channel_by_shard.get(shard):
                continue
            self._channel_by_shard[shard] = channel
            channel.send(Reannouncement(shard, self.held(shard)))
            for release in self._unsent_releases_by_shard.pop(shard, {}).values():
                channel.send(release)

    @singledispatchmethod
    def _handle(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register
    def _handle_view(self, message: ClusterView, channel: Channel | None) -> None:
        if not self._view_source.accepts(channel):
            return
        self.directory = ClusterDirectory(message)
        self._spill_shards &= set(self.directory.shard_by_name)
        self._dial()
        self._announce()
        self._changed.set()

    @_handle.register
    def _handle_view_change(self, message: ClusterViewChange, channel: Channel | None) -> None:
        # After the loss of a channel, a change may be based on a version other than the current
        # one. It is ignored, since the complete view is sent on the new channel.
        if self._view_source.accepts(channel) and message.base == self.directory.view.version:
            self._handle_view(changed_view(self.directory.view, message), channel)

    @_handle.register
    def _handle_summary(self, message: ShardSummary, channel: Channel | None) -> None:
        self.summary_by_shard[message.shard] = message

    @_handle.register
    def _handle_grant(self, message: Grant, channel: Channel | None) -> None:
        self._answer((message.request_id, message.attempt), message, channel)

    @_handle.register
    def _handle_refusal(self, message: Refusal, channel: Channel | None) -> None:
        key = (message.request_id, message.attempt)
        waiter = self._waiter_by_key.get(key) or self._waiter_by_key.get((key[0], FIND_ATTEMPT))
        if waiter is None or waiter.channel is not channel or waiter.answer.done():
            return
        if message.code is ResultCode.NOT_OWNER:
            self._fail_waiter(waiter, message.detail)
            return
        waiter.answer.set_exception(RefusedError(message.code, message.detail, message.retry_after))

    @_handle.register
    def _handle_located(self, message: Located, channel: Channel | None) -> None:
        self._answer((message.request_id, FIND_ATTEMPT), message, channel)

    @_handle.register
    def _handle_renewal(self, message: LeaseRenewal, channel: Channel | None) -> None:
        if channel is not None:
            self._last_seen_by_channel[id(channel)] = self._node.clock.now()

    @_handle.register
    def _handle_opened(self, message: ChannelOpened, channel: Channel | None) -> None:
        self._last_seen_by_channel[id(message.channel)] = self._node.clock.now()
        self._follow_view()
        self._announce()
        self._changed.set()

    @_handle.register
    def _handle_closed(self, message: ChannelClosed, channel: Channel | None) -> None:
        self._last_seen_by_channel.pop(id(message.channel), None)
        for waiter in tuple(self._waiter_by_key.values()):
            if waiter.channel is message.channel:
                self._fail_waiter(waiter, f"the channel to {message.channel.peer.vm} has closed")
        self._follow_view()
        self._changed.set()

    def _answer(self, key: tuple[str, int], message: Any, channel: Channel | None) -> None:
        waiter = self._waiter_by_key.get(key)
        if waiter is not None and waiter.channel is channel and not waiter.answer.done():
            waiter.answer.set_result(message)
