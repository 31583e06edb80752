"""Control-process part that runs the schedulers of the shards owned by this VM."""

import asyncio
import math
from collections.abc import Coroutine
from functools import singledispatchmethod
from typing import Any

from pimentoquay.backends.events import DrainEngines
from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Identity,
    Node,
    ResultCode,
    Subscription,
    plugin,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.status import StatusRequested
from pimentoquay.membership import Shard, shard_owner, shards_of
from pimentoquay.messages.cluster import ClusterView
from pimentoquay.messages.placement import (
    FindRequest,
    LeaseRenewal,
    PlaceRequest,
    Reannouncement,
    Refusal,
    Release,
    ReplaceRequest,
    StageReport,
)
from pimentoquay.scheduler.engine_watch import EngineWatch
from pimentoquay.scheduler.ledger import EntryKey
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.scheduler.shard import ShardScheduler
from pimentoquay.scheduler.status import record_answer, scheduler_status
from pimentoquay.scheduler.sweep import Cancellation
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["SchedulerPart"]

TIMER_TOLERANCE_SECONDS = 0.001
"""Maximum time in seconds by which a timer may fire early because of a coarse clock."""

SUMMARY_SECONDS = 1.0
"""Interval between two summaries of a shard, and between two checks of leases."""

ENTRY_RECENT_SECONDS = 10.0
"""Seconds after its last message for which an entry process still gets summaries."""


@plugin("control-part", "scheduler")
class SchedulerPart:
    """Runs the schedulers of owned shards and exchanges their messages with entries and engines.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels to other processes.
    ports
        Its clients of engines and platform services.
    section
        The ``[scheduler]`` settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: SchedulerSection) -> None:
        self._node = node
        self._section = section
        self.scheduler_by_shard: dict[str, ShardScheduler] = {}
        self._watch = EngineWatch(
            node, ports.engine, section, self.scheduler_by_shard, self._flush, self._start_task
        )
        self._shard_by_request: dict[str, str] = {}
        self._channel_by_entry: dict[EntryKey, Channel] = {}
        self._last_message_at_by_entry: dict[EntryKey, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._wake_at = math.inf
        self._wake_timer: Subscription | None = None
        self.inbox = node.bus.subscribe(
            ClusterView,
            PlaceRequest,
            StageReport,
            ReplaceRequest,
            Release,
            Reannouncement,
            LeaseRenewal,
            FindRequest,
            ChannelOpened,
            ChannelClosed,
            StatusRequested,
            DrainEngines,
        )

    async def run(self) -> None:
        """Handle messages until cancelled."""
        timers = self._node.timers
        subscriptions = (
            timers.every(SUMMARY_SECONDS, self._send_summaries),
            timers.every(SUMMARY_SECONDS, self._end_leases),
        )
        try:
            while True:
                self._serve(await self.inbox.get())
        finally:
            for subscription in subscriptions:
                subscription.cancel()
            self._watch.stop()
            for task in self._tasks:
                task.cancel()

    def _serve(self, envelope: Envelope) -> None:
        channel = envelope.channel
        if channel is not None and channel.peer.process == "entry":
            self._channel_by_entry[_entry_key(channel.peer)] = channel
            self._last_message_at_by_entry[_entry_key(channel.peer)] = self._node.clock.now()
        self._handle(envelope.message, channel)
        self._flush()

    def _flush(self) -> None:
        """Send the queued messages of all schedulers and set the timer for the next wake-up."""
        for scheduler in self.scheduler_by_shard.values():
            for outgoing in scheduler.take_outbox():
                record_answer(self._node.timeline, outgoing.message, scheduler.shard.name)
                channel = self._channel_by_entry.get(outgoing.entry)
                if channel is not None:
                    channel.send(outgoing.message)
        wake_at = min((s.wake_at for s in self.scheduler_by_shard.values()), default=math.inf)
        if wake_at < self._wake_at:
            if self._wake_timer is not None:
                self._wake_timer.cancel()
            self._wake_at = wake_at
            delay = max(0.0, wake_at - self._node.clock.now())
            self._wake_timer = self._node.timers.after(delay, self._wake)

    def _wake(self) -> None:
        """Run the schedulers whose wake-up time has come."""
        now = self._node.clock.now()
        self._wake_at = math.inf
        self._wake_timer = None
        for scheduler in self.scheduler_by_shard.values():
            if scheduler.wake_at <= now + TIMER_TOLERANCE_SECONDS:
                scheduler.dispatch(now)
        self._flush()

    @singledispatchmethod
    def _handle(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register
    def _handle_status_requested(self, message: StatusRequested, channel: Channel | None) -> None:
        now = self._node.clock.now()
        self._node.bus.publish(scheduler_status(self.scheduler_by_shard, now))

    @_handle.register
    def _handle_drain(self, message: DrainEngines, channel: Channel | None) -> None:
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is not None:
            scheduler.engines.drain(message.engines, self._node.clock.now())

    @_handle.register
    def _handle_channel_opened(self, message: ChannelOpened, channel: Channel | None) -> None:
        if message.channel.peer.process == "entry":
            key = _entry_key(message.channel.peer)
            self._channel_by_entry[key] = message.channel
            self._last_message_at_by_entry[key] = self._node.clock.now()

    @_handle.register
    def _handle_channel_closed(self, message: ChannelClosed, channel: Channel | None) -> None:
        key = _entry_key(message.channel.peer)
        if self._channel_by_entry.get(key) is message.channel:
            del self._channel_by_entry[key]
            self._start_task(self._end_entry(key))

    @_handle.register
    def _handle_view(self, message: ClusterView, channel: Channel | None) -> None:
        owned = self._owned_shards(message)
        now = self._node.clock.now()
        for name in sorted(set(self.scheduler_by_shard) - set(owned)):
            del self.scheduler_by_shard[name]
            logger.bind(shard=name).info("no longer owner of a shard")
        for name, shard in owned.items():
            scheduler = self.scheduler_by_shard.get(name)
            if scheduler is None:
                self.scheduler_by_shard[name] = ShardScheduler(shard, self._section, now)
                self._node.timeline.record("shard-owned", detail=name)
            elif scheduler.shard != shard:
                scheduler.update_shard(shard, now)
        self._watch.follow()

    @_handle.register
    def _handle_place(self, message: PlaceRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None:
            self._refuse_not_owner(channel, message.request_id, message.attempt, message.shard)
            return
        self._shard_by_request[message.request_id] = message.shard
        scheduler.place(_entry_key(channel.peer), message, self._node.clock.now())

    @_handle.register
    def _handle_report(self, message: StageReport, channel: Channel | None) -> None:
        scheduler = self._scheduler_of(message.request_id)
        if scheduler is not None:
            scheduler.report(message, self._node.clock.now())

    @_handle.register
    def _handle_replace(self, message: ReplaceRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self._scheduler_of(message.request_id)
        if scheduler is None:
            self._refuse_not_owner(channel, message.request_id, message.attempt, "")
            return
        scheduler.replace(_entry_key(channel.peer), message, self._node.clock.now())

    @_handle.register
    def _handle_release(self, message: Release, channel: Channel | None) -> None:
        scheduler = self._scheduler_of(message.request_id)
        self._shard_by_request.pop(message.request_id, None)
        if scheduler is not None:
            scheduler.release(message, self._node.clock.now())

    @_handle.register
    def _handle_reannouncement(self, message: Reannouncement, channel: Channel | None) -> None:
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None or channel is None:
            return
        for record in message.grants:
            self._shard_by_request[record.request_id] = message.shard
        scheduler.reannounce(_entry_key(channel.peer), message.grants, self._node.clock.now())

    @_handle.register
    def _handle_renewal(self, message: LeaseRenewal, channel: Channel | None) -> None:
        if channel is not None:
            channel.send(message)

    @_handle.register
    def _handle_find(self, message: FindRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None:
            self._refuse_not_owner(channel, message.request_id, 0, message.shard)
            return
        scheduler.find(_entry_key(channel.peer), message, self._node.clock.now())

    def _scheduler_of(self, request_id: str) -> ShardScheduler | None:
        return self.scheduler_by_shard.get(self._shard_by_request.get(request_id, ""))

    def _refuse_not_owner(
        self, channel: Channel, request_id: str, attempt: int, shard: str
    ) -> None:
        detail = f"{self._node.identity.vm} does not own shard {shard!r}"
        channel.send(Refusal(request_id, attempt, ResultCode.NOT_OWNER, 0.0, detail))

    def _owned_shards(self, view: ClusterView) -> dict[str, Shard]:
        own = self._node.identity
        return {
            name: shard
            for name, shard in shards_of(view.members).items()
            if shard.is_near(own) and shard_owner(shard, view.members, view.live_vms) == own.vm
        }

    async def _end_entry(self, entry: EntryKey) -> None:
        """Free what a lost entry process held, once others had time to resume its streams."""
        now = self._node.clock.now()
        for scheduler in self.scheduler_by_shard.values():
            scheduler.drop_waiting_of(entry)
            scheduler.dispatch(now)
        self._flush()
        await self._node.timers.sleep(self._section.resume_grace)
        if entry in self._channel_by_entry:
            return
        if self._last_message_at_by_entry.get(entry, 0.0) <= now:
            self._last_message_at_by_entry.pop(entry, None)
        for scheduler in self.scheduler_by_shard.values():
            for grant in scheduler.ledger:
                if grant.entry == entry:
                    self._start_task(self._end_stream(scheduler, grant.request.request_id))

    async def _end_stream(self, scheduler: ShardScheduler, request_id: str) -> None:
        """Cancel one stream of a lost entry process, unless its engine reports a reader."""
        grant = scheduler.ledger.get(request_id)
        if grant is None or await self._watch.has_reader(grant.decode_engine, request_id):
            return
        attempt = grant.request.attempt
        for engine in dict.fromkeys((grant.prefill_engine, grant.decode_engine)):
            await self._watch.cancel(Cancellation(engine, request_id, attempt))
        scheduler.drop(request_id, self._node.clock.now())
        self._shard_by_request.pop(request_id, None)
        self._flush()

    def _end_leases(self) -> None:
        """End the leases of entry processes that did not renew them in time."""
        oldest = self._node.clock.now() - self._section.lease_seconds
        for entry, last_message_at in list(self._last_message_at_by_entry.items()):
            if last_message_at < oldest and entry in self._channel_by_entry:
                del self._channel_by_entry[entry]
                self._start_task(self._end_entry(entry))

    def _send_summaries(self) -> None:
        now = self._node.clock.now()
        for scheduler in self.scheduler_by_shard.values():
            self._node.bus.publish(scheduler.sample_use(now))
            summary = scheduler.summary(now)
            for entry, channel in self._channel_by_entry.items():
                if self._last_message_at_by_entry.get(entry, 0.0) > now - ENTRY_RECENT_SECONDS:
                    channel.send(summary)

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _entry_key(peer: Identity) -> EntryKey:
    return EntryKey(peer.vm, peer.process, peer.incarnation)
