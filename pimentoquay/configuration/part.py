"""The control process's configuration part.

One VM of each data centre reads the log and passes what it folds on to the others. Whoever sees
a peer report a higher offset than its own asks that peer, and passes on what it gets from
another data centre. Entries of the same VM are sent the
configuration once it is ready to be served by, and each change after that.
"""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.configuration.answers import answer_get, answer_history
from pimentoquay.configuration.checkpoint_writer import CheckpointWriter
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.configuration.keeper import Keeper
from pimentoquay.configuration.log_reader import LogReader
from pimentoquay.configuration.places import Place, place_of
from pimentoquay.configuration.publish import Publisher
from pimentoquay.configuration.relay import entries_after, is_gap
from pimentoquay.configuration.settings import ConfigurationSection
from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Node,
    PimentoquayError,
    ResultCode,
    plugin,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.status import PartStatus, StatusItem, StatusWanted
from pimentoquay.membership.events import ConfigurationReached
from pimentoquay.messages.cluster import (
    CatchUpRequest,
    ClusterView,
    ConfigurationEntries,
    Heartbeat,
)
from pimentoquay.messages.membership import FollowView
from pimentoquay.messages.operator import (
    BeginAnewAnswer,
    BeginAnewRequest,
    GetRequest,
    HistoryRequest,
    PublishRequest,
)
from pimentoquay.platform.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["ConfigurationPart"]

PUSH_DELAY_SECONDS = 0.05
"""Changes within this time of each other are passed on together."""

CHASE_SECONDS = 0.25
FIRST_LAG_SECONDS = 0.6
"""How long a VM that reads the log, or sees another data centre ahead, lags before it asks."""

LAG_SECONDS = 1.8
"""How long any other VM does, so that a push within the data centre usually comes first."""

ANSWER_SECONDS = 1.5
"""How long an asked peer has before another one is asked."""


@plugin("control-part", "configuration")
class ConfigurationPart:
    """Keeps this VM's configuration up to date and passes it on."""

    def __init__(
        self, node: Node, peers: PeerSet, ports: Ports, section: ConfigurationSection
    ) -> None:
        self._node = node
        self._peers = peers
        self._log = ports.log
        self.keeper = Keeper()
        self._place: Place | None = None
        self._pushed_offset = -1
        self._is_push_due = False
        self._relays_next = False
        self._lags_since: float | None = None
        self._asked_at = -ANSWER_SECONDS
        self._asked: set[Channel] = set()
        self._followers: set[Channel] = set()
        self._tasks: asyncio.TaskGroup | None = None
        self._publisher = Publisher(
            ports.log,
            node.timers,
            self.keeper,
            section.publish_timeout,
            section.log_retry,
            section.log_timeout,
        )
        self._reader = LogReader(node, ports.log, section, self.keeper, self._advanced)
        self._writer = CheckpointWriter(node, ports.log, section, self.keeper, lambda: self._place)
        self.inbox = node.bus.subscribe(
            ClusterView,
            Heartbeat,
            ConfigurationEntries,
            CatchUpRequest,
            ChannelOpened,
            ChannelClosed,
            FollowView,
            PublishRequest,
            GetRequest,
            HistoryRequest,
            BeginAnewRequest,
            StatusWanted,
        )

    async def run(self) -> None:
        """Read, relay, publish and answer until cancelled."""
        chase = self._node.timers.every(CHASE_SECONDS, self._chase)
        try:
            async with asyncio.TaskGroup() as tasks:
                self._tasks = tasks
                tasks.create_task(self._reader.run())
                tasks.create_task(self._writer.run())
                while True:
                    envelope = await self.inbox.get()
                    self._handle(envelope.message, envelope)
        finally:
            chase.cancel()

    @singledispatchmethod
    def _handle(self, message: Any, envelope: Envelope) -> None:
        raise TypeError(f"unexpected message {type(message).__name__}")

    @_handle.register
    def _(self, message: ClusterView, envelope: Envelope) -> None:
        if envelope.channel is not None:
            return
        identity = self._node.identity
        self._place = place_of(message, identity.vm, identity.data_centre)
        self._reader.place = self._place

    @_handle.register
    def _(self, message: Heartbeat, envelope: Envelope) -> None:
        if envelope.channel is None or envelope.channel.peer.process != "control":
            return
        self.keeper.take_report(envelope.channel, message.configuration_offset)
        self._advanced()

    @_handle.register
    def _(self, message: ConfigurationEntries, envelope: Envelope) -> None:
        if envelope.channel is None or envelope.channel.peer.process != "control":
            return
        if is_gap(self.keeper.state, message):
            self._ask(envelope.channel)
            return
        before = self.keeper.offset
        self.keeper.take_entries(message, envelope.channel)
        is_remote = envelope.channel.peer.data_centre != self._node.identity.data_centre
        if is_remote and self.keeper.offset > before:
            self._relays_next = True
        self._advanced()

    @_handle.register
    def _(self, message: CatchUpRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self.keeper.is_ready:
            is_entry = envelope.channel.peer.process == "entry"
            self._send_after([envelope.channel], message.after_offset, with_outcomes=not is_entry)

    @_handle.register
    def _(self, message: ChannelOpened, envelope: Envelope) -> None:
        if self._is_own_entry(message.channel) and self.keeper.is_ready:
            self._send_after([message.channel], -1, with_outcomes=False)

    @_handle.register
    def _(self, message: FollowView, envelope: Envelope) -> None:
        channel = envelope.channel
        if channel is not None and channel.peer.process == "entry" and self.keeper.is_ready:
            self._followers.add(channel)
            self._send_after([channel], -1, with_outcomes=False)

    @_handle.register
    def _(self, message: ChannelClosed, envelope: Envelope) -> None:
        self._followers.discard(message.channel)
        self._asked.discard(message.channel)
        self.keeper.forget_channel(message.channel)
        self._advanced()

    @_handle.register
    def _(self, message: PublishRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._tasks is not None:
            self._tasks.create_task(self._publish(message, envelope.channel))

    @_handle.register
    def _(self, message: GetRequest, envelope: Envelope) -> None:
        if envelope.channel is not None:
            answer_get(self.keeper.state, message, envelope.channel)

    @_handle.register
    def _(self, message: HistoryRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._tasks is not None:
            self._tasks.create_task(
                answer_history(self._log, self.keeper.state, message, envelope.channel)
            )

    @_handle.register
    def _(self, message: BeginAnewRequest, envelope: Envelope) -> None:
        if envelope.channel is not None and self._tasks is not None:
            self._tasks.create_task(self._begin_anew(message, envelope.channel))

    @_handle.register
    def _(self, message: StatusWanted, envelope: Envelope) -> None:
        self._node.bus.publish(PartStatus("configuration", tuple(self._status_items())))

    def _status_items(self) -> list[StatusItem]:
        keeper = self.keeper
        items = []
        if not keeper.is_ready:
            best = keeper.best_reported_offset
            detail = f"at offset {keeper.offset}, peers report {best}; no entry is served by it"
            items.append(StatusItem("state", "waiting", detail))
        if keeper.lost_at is not None:
            detail = "neither the log nor a peer in reach holds a configuration; see ctl recover"
            items.append(StatusItem("log", "stuck", detail))
        elif keeper.is_behind_log:
            detail = "the log has dropped records that are neither here nor at a peer in reach"
            items.append(StatusItem("log", "stuck", detail))
        elif keeper.is_log_down:
            items.append(StatusItem("log", "waiting", "the log is down; it is tried again"))
        if self._place is not None and self._place.is_reader:
            items.append(StatusItem("log reader", "ok", "for its data centre"))
        return items

    async def _begin_anew(self, request: BeginAnewRequest, channel: Channel) -> None:
        lost_at = self.keeper.lost_at
        if lost_at is None:
            detail = "there is a configuration, or the log has not been read to its end"
            answer = BeginAnewAnswer(request.query, ResultCode.CONFIG_CONFLICT, detail)
        else:
            answer = await self._write_empty(request.query, lost_at)
        channel.send(answer)

    async def _write_empty(self, query: int, offset: int) -> BeginAnewAnswer:
        try:
            await self._writer.write(ConfigurationState(offset))
        except PimentoquayError as error:
            return BeginAnewAnswer(query, error.code, error.detail)
        except (OSError, TimeoutError) as error:
            return BeginAnewAnswer(query, ResultCode.CONFIG_UNKNOWN, repr(error))
        self._node.timeline.record("configuration-begun-anew", detail=f"offset {offset}")
        return BeginAnewAnswer(query, ResultCode.CONFIG_ACCEPTED, "")

    async def _publish(self, request: PublishRequest, channel: Channel) -> None:
        self._reader.readers_wanted += 1
        try:
            answer = await self._publisher.publish(request.record)
        finally:
            self._reader.readers_wanted -= 1
        detail = f"{int(answer.code)} {request.record.change_id} {answer.detail}".strip()
        self._node.timeline.record(
            "configuration-published", workspace=request.record.name, detail=detail
        )
        channel.send(answer)

    def _advanced(self) -> None:
        """Pass the state on shortly, if it moved."""
        if self._is_push_due or not self.keeper.is_ready:
            return
        if self.keeper.offset > self._pushed_offset:
            self._is_push_due = True
            self._node.timers.after(PUSH_DELAY_SECONDS, self._push)

    def _push(self) -> None:
        self._is_push_due = False
        state, before = self.keeper.state, self._pushed_offset
        assert state is not None
        self._pushed_offset = state.offset
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
        self._send_after(entries, before, with_outcomes=False)
        is_reader = self._place is not None and self._place.is_reader
        if before >= 0 and (is_reader or self._relays_next):
            self._push_to_neighbours(before)
        self._relays_next = False

    def _push_to_neighbours(self, before: int) -> None:
        identity = self._node.identity
        newest_by_vm = {channel.peer.vm: channel for channel in self._peers.channels("control")}
        neighbours = [
            channel
            for channel in newest_by_vm.values()
            if channel.peer.data_centre == identity.data_centre
        ]
        self._send_after(neighbours, before)

    def _send_after(
        self, channels: list[Channel], after_offset: int, *, with_outcomes: bool = True
    ) -> None:
        state = self.keeper.state
        assert state is not None
        if not channels:
            return
        for entries in entries_after(state, after_offset, with_outcomes=with_outcomes):
            for channel in channels:
                channel.send(entries)

    def _chase(self) -> None:
        """Ask a peer that reports a higher offset, once the usual push has had its time."""
        now = self._node.clock.now()
        ahead = [
            channel
            for channel, offset in self.keeper.reported_offset_by_channel.items()
            if offset > self.keeper.offset
        ]
        if not ahead:
            self._lags_since = None
            self._asked.clear()
            return
        if self._lags_since is None:
            self._lags_since = now
        own = self._node.identity.data_centre
        is_first = any(channel.peer.data_centre != own for channel in ahead)
        if self._place is not None and self._place.is_reader:
            is_first = True
        patience = FIRST_LAG_SECONDS if is_first else LAG_SECONDS
        if self.keeper.state is None:
            patience = 0.0
        if now - self._lags_since >= patience and now - self._asked_at >= ANSWER_SECONDS:
            fresh = [channel for channel in ahead if channel not in self._asked]
            if not fresh:
                self._asked.clear()
            self._ask((fresh or ahead)[0])

    def _ask(self, channel: Channel) -> None:
        self._asked_at = self._node.clock.now()
        self._asked.add(channel)
        channel.send(CatchUpRequest(self.keeper.offset))

    def _is_own_entry(self, channel: Channel) -> bool:
        peer = channel.peer
        return peer.process == "entry" and peer.vm == self._node.identity.vm
