"""The control process's part that runs the schedulers of the shards this VM owns."""

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
from pimentoquay.kernel.status import StatusWanted
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
"""How early a timer may call, which a clock of coarse steps makes it do."""

SUMMARY_SECONDS = 1.0
"""Time between two summaries of a shard."""

ENTRY_RECENT_SECONDS = 10.0
"""How long after its last message an entry still gets summaries."""


@plugin("control-part", "scheduler")
class SchedulerPart:
    """Owns shards, and talks to entries and engines on their behalf.

    Parameters
    ----------
    node, peers, ports
        The control process, its channels and its clients.
    section
        The ``[scheduler]`` settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: SchedulerSection) -> None:
        self._node = node
        self._section = section
        self.scheduler_by_shard: dict[str, ShardScheduler] = {}
        self._watch = EngineWatch(
            node, ports.engine, section, self.scheduler_by_shard, self._flush, self._start
        )
        self._shard_by_request: dict[str, str] = {}
        self._channel_by_entry: dict[EntryKey, Channel] = {}
        self._heard_at_by_entry: dict[EntryKey, float] = {}
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
            StatusWanted,
            DrainEngines,
        )

    async def run(self) -> None:
        """Serve until cancelled."""
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
            self._channel_by_entry[_key_of(channel.peer)] = channel
            self._heard_at_by_entry[_key_of(channel.peer)] = self._node.clock.now()
        self._take(envelope.message, channel)
        self._flush()

    def _flush(self) -> None:
        """Send what the schedulers have to say, and come back when time alone changes something."""
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
        """Let the schedulers decide whose time has come."""
        now = self._node.clock.now()
        self._wake_at = math.inf
        self._wake_timer = None
        for scheduler in self.scheduler_by_shard.values():
            if scheduler.wake_at <= now + TIMER_TOLERANCE_SECONDS:
                scheduler.dispatch(now)
        self._flush()

    @singledispatchmethod
    def _take(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_take.register
    def _take_status_wanted(self, message: StatusWanted, channel: Channel | None) -> None:
        now = self._node.clock.now()
        self._node.bus.publish(scheduler_status(self.scheduler_by_shard, now))

    @_take.register
    def _take_drain(self, message: DrainEngines, channel: Channel | None) -> None:
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is not None:
            scheduler.engines.drain(message.engines, self._node.clock.now())

    @_take.register
    def _take_opened(self, message: ChannelOpened, channel: Channel | None) -> None:
        if message.channel.peer.process == "entry":
            key = _key_of(message.channel.peer)
            self._channel_by_entry[key] = message.channel
            self._heard_at_by_entry[key] = self._node.clock.now()

    @_take.register
    def _take_closed(self, message: ChannelClosed, channel: Channel | None) -> None:
        key = _key_of(message.channel.peer)
        if self._channel_by_entry.get(key) is message.channel:
            del self._channel_by_entry[key]
            self._start(self._end_entry(key))

    @_take.register
    def _take_view(self, message: ClusterView, channel: Channel | None) -> None:
        owned = self._owned_shards(message)
        now = self._node.clock.now()
        for name in sorted(set(self.scheduler_by_shard) - set(owned)):
            del self.scheduler_by_shard[name]
            logger.bind(shard=name).info("gave up a shard")
        for name, shard in owned.items():
            scheduler = self.scheduler_by_shard.get(name)
            if scheduler is None:
                self.scheduler_by_shard[name] = ShardScheduler(shard, self._section, now)
                self._node.timeline.record("shard-owned", detail=name)
            elif scheduler.shard != shard:
                scheduler.adopt(shard, now)
        self._watch.follow()

    @_take.register
    def _take_place(self, message: PlaceRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None:
            self._refuse_foreign(channel, message.request_id, message.attempt, message.shard)
            return
        self._shard_by_request[message.request_id] = message.shard
        scheduler.place(_key_of(channel.peer), message, self._node.clock.now())

    @_take.register
    def _take_report(self, message: StageReport, channel: Channel | None) -> None:
        scheduler = self._scheduler_of(message.request_id)
        if scheduler is not None:
            scheduler.report(message, self._node.clock.now())

    @_take.register
    def _take_replace(self, message: ReplaceRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self._scheduler_of(message.request_id)
        if scheduler is None:
            self._refuse_foreign(channel, message.request_id, message.attempt, "")
            return
        scheduler.replace(_key_of(channel.peer), message, self._node.clock.now())

    @_take.register
    def _take_release(self, message: Release, channel: Channel | None) -> None:
        scheduler = self._scheduler_of(message.request_id)
        self._shard_by_request.pop(message.request_id, None)
        if scheduler is not None:
            scheduler.release(message, self._node.clock.now())

    @_take.register
    def _take_reannouncement(self, message: Reannouncement, channel: Channel | None) -> None:
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None or channel is None:
            return
        for record in message.grants:
            self._shard_by_request[record.request_id] = message.shard
        scheduler.reannounce(_key_of(channel.peer), message.grants, self._node.clock.now())

    @_take.register
    def _take_renewal(self, message: LeaseRenewal, channel: Channel | None) -> None:
        if channel is not None:
            channel.send(message)

    @_take.register
    def _take_find(self, message: FindRequest, channel: Channel | None) -> None:
        if channel is None:
            return
        scheduler = self.scheduler_by_shard.get(message.shard)
        if scheduler is None:
            self._refuse_foreign(channel, message.request_id, 0, message.shard)
            return
        scheduler.find(_key_of(channel.peer), message, self._node.clock.now())

    def _scheduler_of(self, request_id: str) -> ShardScheduler | None:
        return self.scheduler_by_shard.get(self._shard_by_request.get(request_id, ""))

    def _refuse_foreign(self, channel: Channel, request_id: str, attempt: int, shard: str) -> None:
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
        """Free what a lost entry held, after others had time to resume its streams."""
        now = self._node.clock.now()
        for scheduler in self.scheduler_by_shard.values():
            scheduler.drop_waiting_of(entry)
            scheduler.dispatch(now)
        self._flush()
        await self._node.timers.sleep(self._section.resume_grace)
        if entry in self._channel_by_entry:
            return
        if self._heard_at_by_entry.get(entry, 0.0) <= now:
            self._heard_at_by_entry.pop(entry, None)
        for scheduler in self.scheduler_by_shard.values():
            for grant in scheduler.ledger:
                if grant.entry == entry:
                    self._start(self._end_stream(scheduler, grant.request.request_id))

    async def _end_stream(self, scheduler: ShardScheduler, request_id: str) -> None:
        """Cancel one stream of a lost entry, unless the engine says that somebody reads it."""
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
        """End the leases that were not renewed in time."""
        oldest = self._node.clock.now() - self._section.lease_seconds
        for entry, heard_at in list(self._heard_at_by_entry.items()):
            if heard_at < oldest and entry in self._channel_by_entry:
                del self._channel_by_entry[entry]
                self._start(self._end_entry(entry))

    def _send_summaries(self) -> None:
        now = self._node.clock.now()
        for scheduler in self.scheduler_by_shard.values():
            self._node.bus.publish(scheduler.sample_use(now))
            summary = scheduler.summary(now)
            for entry, channel in self._channel_by_entry.items():
                if self._heard_at_by_entry.get(entry, 0.0) > now - ENTRY_RECENT_SECONDS:
                    channel.send(summary)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _key_of(peer: Identity) -> EntryKey:
    return EntryKey(peer.vm, peer.process, peer.incarnation)
