"""Configuration part of the control process.

One VM of each data centre reads the configuration log and pushes changes down a tree of the data
centre's VMs. Each VM pushes every change that advanced its own state, whether it came from the log
or from a peer. A VM that sees a peer report a higher offset for some time requests the missing
records from that peer. Entry processes of the same VM receive the whole configuration once it is
ready, and every change after that.
"""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.configuration.answers import answer_get, answer_history
from pimentoquay.configuration.catch_up import CatchUpRequester
from pimentoquay.configuration.checkpoint_writer import CheckpointWriter
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.configuration.log_reader import LogReader
from pimentoquay.configuration.packing import unpack
from pimentoquay.configuration.publish import Publisher
from pimentoquay.configuration.ranks import (
    VmRanks,
    listed_neighbours,
    ranks_of,
    relay_children,
)
from pimentoquay.configuration.recover import answer_recover
from pimentoquay.configuration.relay import MAX_TRANSFER_PART_BYTES, entries_after, is_gap
from pimentoquay.configuration.replica import ConfigurationReplica
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.configuration.status import status_items
from pimentoquay.configuration.transfers import Transfers
from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Node,
    plugin,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.status import PartStatus, StatusRequested
from pimentoquay.membership.events import ConfigurationReached
from pimentoquay.messages import CodecError
from pimentoquay.messages.cluster import (
    CatchUpRequest,
    ClusterView,
    ConfigurationEntries,
    Heartbeat,
)
from pimentoquay.messages.configuration import CatchUpBusy, PackedEntries, PartTaken
from pimentoquay.messages.membership import FollowView
from pimentoquay.messages.operator import (
    BeginAnewRequest,
    GetRequest,
    HistoryRequest,
    PublishRequest,
)
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["ConfigurationPart"]

PUSH_DELAY_SECONDS = 0.05
"""Delay before a push, so that changes which arrive within it are sent together."""

MIN_PUSH_INTERVAL_SECONDS = 1.0
"""Minimum time between two pushes of changes that were read from the log.

Changes of a burst are pushed together; a single change is not delayed by it.
"""


@plugin("control-part", "configuration")
class ConfigurationPart:
    """Keeps this VM's configuration up to date and distributes it to peers and entry processes.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels to other processes.
    ports
        Clients of the platform's services, of which the log is used.
    section
        Settings of the configuration part.
    """

    def __init__(
        self, node: Node, peers: PeerSet, ports: Ports, section: ConfigurationSection
    ) -> None:
        self._node = node
        self._peers = peers
        self._log = ports.log
        self.replica = ConfigurationReplica()
        self._ranks: VmRanks | None = None
        self._listed_neighbours: frozenset[str] | None = None
        self._peer_wait = section.peer_patience
        self._pushed_offset = -1
        self._is_push_scheduled = False
        self._pushed_at = -MIN_PUSH_INTERVAL_SECONDS
        self._must_push_to_reader = False
        self._catch_up = CatchUpRequester(node, self.replica, lambda: self._ranks)
        self._transfers = Transfers()
        self._followers: set[Channel] = set()
        self._task_group: asyncio.TaskGroup | None = None
        self._publisher = Publisher(
            ports.log,
            node.timers,
            self.replica,
            section.publish_timeout,
            section.log_retry,
            section.log_timeout,
        )
        self._reader = LogReader(node, ports.log, section, self.replica, self._on_log_read)
        self._checkpoint_writer = CheckpointWriter(
            node, ports.log, section, self.replica, lambda: self._ranks
        )
        self.inbox = node.bus.subscribe(
            ClusterView,
            Heartbeat,
            PackedEntries,
            PartTaken,
            CatchUpRequest,
            CatchUpBusy,
            ChannelOpened,
            ChannelClosed,
            FollowView,
            PublishRequest,
            GetRequest,
            HistoryRequest,
            BeginAnewRequest,
            StatusRequested,
        )

    @property
    def reader_rank(self) -> int | None:
        """Rank of this VM among the readers of its data centre; rank 0 reads the log."""
        return self._ranks.reader_rank if self._ranks is not None else None

    async def run(self) -> None:
        """Read the log and handle messages until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            self._task_group = tasks
            tasks.create_task(self._reader.run())
            tasks.create_task(self._checkpoint_writer.run())
            self._node.timers.after(self._peer_wait, self._stop_waiting_for_peers)
            try:
                while True:
                    envelope = await self.inbox.get()
                    self._handle(envelope.message, envelope)
            finally:
                self._transfers.close()

    @singledispatchmethod
    def _handle(self, message: Any, envelope: Envelope) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register
    def _(self, message: ClusterView, envelope: Envelope) -> None:
        if envelope.channel is not None:
            return
        identity = self._node.identity
        self._ranks = ranks_of(message, identity.vm, identity.data_centre)
        self._reader.ranks = self._ranks
        self._listed_neighbours = listed_neighbours(message, identity.vm, identity.data_centre)
        self._check_peers_reported()

    @_handle.register
    def _(self, message: Heartbeat, envelope: Envelope) -> None:
        if envelope.channel is None or envelope.channel.peer.process != "control":
            return
        self.replica.note_reported_offset(envelope.channel, message.configuration_offset)
        self._check_peers_reported()
        self._schedule_push()

    @_handle.register
    def _(self, message: PackedEntries, envelope: Envelope) -> None:
        channel = envelope.channel
        if channel is None or channel.peer.process != "control":
            return
        try:
            self._apply_entries(unpack(message), channel)
        except CodecError as error:
            logger.bind(peer=channel.peer.vm).warning(
                "invalid configuration entries from a peer: {}", error
            )

    def _apply_entries(self, entries: ConfigurationEntries, channel: Channel) -> None:
        if entries.parts > 1:
            self._catch_up.note_part_received()
            channel.send(PartTaken(entries.offset, entries.part))
        if is_gap(self.replica.state, entries):
            # A VM without any state sends its request from the periodic check instead.
            if self.replica.state is not None:
                self._catch_up.request_from(channel)
            return
        before = self.replica.offset
        self.replica.apply_entries(entries, channel)
        is_remote = channel.peer.data_centre != self._node.identity.data_centre
        if is_remote and self.replica.offset > before:
            self._must_push_to_reader = True
        self._schedule_push()

    @_handle.register
    def _(self, message: PartTaken, envelope: Envelope) -> None:
        if envelope.channel is not None:
            self._transfers.note_part_received(envelope.channel)

    @_handle.register
    def _(self, message: CatchUpBusy, envelope: Envelope) -> None:
        self._catch_up.note_peer_busy()

    @_handle.register
    def _(self, message: CatchUpRequest, envelope: Envelope) -> None:
        channel, state = envelope.channel, self.replica.state
        if channel is not None and self._is_own_entry(channel):
            self.replica.note_served_offset(message.after_offset)
        if channel is None or state is None or not self.replica.is_ready:
            return
        if channel.peer.process == "entry":
            self._send_to_entries([channel], message.after_offset)
        else:
            messages = entries_after(
                state, message.after_offset, part_bytes=MAX_TRANSFER_PART_BYTES
            )
            self._transfers.send(channel, messages)

    @_handle.register
    def _(self, message: ChannelOpened, envelope: Envelope) -> None:
        if self._is_own_entry(message.channel) and self.replica.is_ready:
            self._send_to_entries([message.channel], -1)

    @_handle.register
    def _(self, message: FollowView, envelope: Envelope) -> None:
        channel = envelope.channel
        if channel is not None and channel.peer.process == "entry" and self.replica.is_ready:
            self._followers.add(channel)
            self._send_to_entries([channel], -1)

    @_handle.register
    def _(self, message: ChannelClosed, envelope: Envelope) -> None:
        self._followers.discard(message.channel)
        self._catch_up.forget_channel(message.channel)
        self._transfers.forget_channel(message.channel)
        self.replica.forget_channel(message.channel)
        self._schedule_push()

    @_handle.register
    def _(self, message: PublishRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._task_group is not None:
            self._task_group.create_task(self._publish(message, envelope.channel))

    @_handle.register
    def _(self, message: GetRequest, envelope: Envelope) -> None:
        if envelope.channel is not None:
            answer_get(self.replica.state, message, envelope.channel)

    @_handle.register
    def _(self, message: HistoryRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._task_group is not None:
            self._task_group.create_task(
                answer_history(self._log, self.replica.state, message, envelope.channel)
            )

    @_handle.register
    def _(self, message: BeginAnewRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._task_group is not None:
            self._task_group.create_task(
                answer_recover(
                    self._node, self.replica, self._checkpoint_writer, message, envelope.channel
                )
            )

    @_handle.register
    def _(self, message: StatusRequested, envelope: Envelope) -> None:
        self._node.bus.publish(
            PartStatus("configuration", status_items(self.replica, is_reader=self.reader_rank == 0))
        )

    async def _publish(self, request: PublishRequest, channel: Channel) -> None:
        self._reader.waiting_publishers += 1
        try:
            answer = await self._publisher.publish(request.record)
        finally:
            self._reader.waiting_publishers -= 1
        detail = f"{int(answer.code)} {request.record.change_id} {answer.detail}".strip()
        self._node.timeline.record(
            "configuration-published", workspace=request.record.name, detail=detail
        )
        channel.send(answer)

    def _check_peers_reported(self) -> None:
        reporting_vms = {channel.peer.vm for channel in self.replica.reported_offset_by_channel}
        if (
            not self.replica.is_ready
            and self._listed_neighbours is not None
            and self._listed_neighbours <= reporting_vms
        ):
            self._stop_waiting_for_peers()

    def _stop_waiting_for_peers(self) -> None:
        self.replica.note_peers_reported()
        self._schedule_push()

    def _on_log_read(self) -> None:
        """Push changes that were read from the log, at most once per interval."""
        if self.replica.is_log_reset:
            self._checkpoint_writer.schedule_check()
        since = self._node.clock.now() - self._pushed_at
        self._schedule_push(max(PUSH_DELAY_SECONDS, MIN_PUSH_INTERVAL_SECONDS - since))

    def _schedule_push(self, delay: float = PUSH_DELAY_SECONDS) -> None:
        """Schedule a push ``delay`` seconds from now if the state has advanced."""
        self._catch_up.schedule_check()
        if self._is_push_scheduled or not self.replica.is_ready:
            return
        if self.replica.offset > self._pushed_offset:
            self._is_push_scheduled = True
            self._node.timers.after(delay, self._push_changes)

    def _push_changes(self) -> None:
        self._is_push_scheduled = False
        state, before = self.replica.state, self._pushed_offset
        assert state is not None
        self._pushed_offset, self._pushed_at = state.offset, self._node.clock.now()
        if before < 0:
            logger.bind(offset=state.offset).info("configuration is ready")
        self._node.timeline.record("configuration-in-force", detail=f"offset {state.offset}")
        self._node.bus.publish(ConfigurationReached(state.offset))
        self._node.bus.publish(
            ConfigurationInForce(state.offset, state.workspace_by_name(), state.version_by_name())
        )
        entries = [
            item
            for item in self._peers.channels("entry")
            if self._is_own_entry(item) or item in self._followers
        ]
        self._send_to_entries(entries, before)
        if before >= 0:
            self._push_to_neighbours(before)
        self._must_push_to_reader = False

    def _push_to_neighbours(self, before: int) -> None:
        identity = self._node.identity
        channel_by_vm = {
            channel.peer.vm: channel
            for channel in self._peers.channels("control")
            if channel.peer.data_centre == identity.data_centre
        }
        order = self._ranks.order if self._ranks is not None else ()
        targets = {*relay_children(identity.vm, order, channel_by_vm)}
        if self._must_push_to_reader:
            targets.update(order[:1])
        channels = [channel_by_vm[vm] for vm in sorted(targets) if vm in channel_by_vm]
        assert self.replica.state is not None
        messages = entries_after(self.replica.state, before)
        for channel in channels:
            if self.replica.reported_offset_by_channel.get(channel, -1) < self._pushed_offset:
                self._transfers.push(channel, messages)

    def _send_to_entries(self, channels: list[Channel], after_offset: int) -> None:
        state = self.replica.state
        assert state is not None
        if not channels:
            return
        for entries in entries_after(state, after_offset, with_outcomes=False):
            for channel in channels:
                channel.send(entries)

    def _is_own_entry(self, channel: Channel) -> bool:
        peer = channel.peer
        return peer.process == "entry" and peer.vm == self._node.identity.vm
