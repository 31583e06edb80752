"""The membership part: reads or relays the platform's list and joins it with what peers see.

One VM of each data centre reads the list; the others take over in rendezvous order when it grows
old. A new version travels as a change, once, to every VM; heartbeats carry the version, so a VM
that missed a change asks for it. ``ClusterView`` is published on the local bus and sent to the
entry process of the same VM whenever it changes, and only then.
"""

import asyncio
import math
from functools import singledispatchmethod
from typing import Any

from pimentoquay.kernel import (
    Channel,
    ChannelClosed,
    ChannelOpened,
    Envelope,
    Node,
    PimentoquayError,
    plugin,
)
from pimentoquay.kernel.logs import logger
from pimentoquay.membership.directory import MemberDirectory
from pimentoquay.membership.events import ConfigurationReached, DrainFinished, DrainRequested
from pimentoquay.membership.liveness import PeerLiveness
from pimentoquay.membership.mesh import parse_seeds, ranked, wanted_addresses
from pimentoquay.membership.remote import RemoteReports
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.membership.view import ViewBuilder
from pimentoquay.messages.cluster import (
    Heartbeat,
    Member,
    MemberKind,
    MembershipUpdate,
    MemberState,
)
from pimentoquay.messages.membership import (
    DataCentreReport,
    MemberAnnouncement,
    MembershipDelta,
    MembershipRequest,
)
from pimentoquay.platform.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["MembershipPart"]

TICK_SECONDS = 0.25
"""How often silence is looked for."""

TAKEOVER_AGE = 2.3
"""Age of the list, in poll periods, at which the second in order starts to read it."""

TAKEOVER_STEP = 0.5
"""Further age, in poll periods, for each later place in the order."""

REQUEST_SECONDS = 0.5
"""The shortest time between two requests for the list."""

FORGET_SECONDS = 60.0
"""Silence after which an unlisted VM is forgotten."""

AGE_UNITS = 10
"""Units of ``Heartbeat.list_age`` in a second."""

UNKNOWN_AGE = 1e6
"""The age in seconds of a list that was never read."""


@plugin("control-part", "membership")
class MembershipPart:
    """Keeps the membership list, the liveness of peers and the mesh of channels.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels.
    ports
        The platform's clients.
    section
        The part's settings.
    """

    def __init__(
        self, node: Node, peers: PeerSet, ports: Ports, section: MembershipSection
    ) -> None:
        self._node = node
        self._peers = peers
        self._client = ports.membership
        self._section = section
        self._seeds = parse_seeds(section.seeds)
        self._directory = MemberDirectory()
        self._liveness = PeerLiveness(section.silent_after, section.closed_after)
        self._remote = RemoteReports()
        self._view = ViewBuilder()
        self._announced: dict[str, Member] = {}
        self._claims: dict[str, DataCentreReport] = {}
        self._own_report: DataCentreReport | None = None
        self._wanted: dict[str, str] | None = None
        self._confirmed_at = -UNKNOWN_AGE
        self._requested_at = -UNKNOWN_AGE
        self._settle_until: float | None = None
        self._settled = False
        self._list_readable = True
        self._draining = False
        self._drain_reported = False
        self.configuration_offset = -1
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            ChannelOpened,
            ChannelClosed,
            Heartbeat,
            MembershipUpdate,
            MembershipDelta,
            MembershipRequest,
            MemberAnnouncement,
            DataCentreReport,
            DrainRequested,
            ConfigurationReached,
        )

    async def run(self) -> None:
        """Read, relay and watch until cancelled."""
        timers = self._node.timers
        subscriptions = (
            timers.every(self._section.heartbeat_period, self._send_heartbeats),
            timers.every(TICK_SECONDS, self._refresh),
        )
        self._refresh()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read_list())
                group.create_task(self._handle_messages())
        finally:
            for subscription in subscriptions:
                subscription.cancel()

    async def _handle_messages(self) -> None:
        while True:
            envelope = await self.inbox.get()
            self._handle(envelope.message, envelope.channel)

    async def _read_list(self) -> None:
        while True:
            started = self._node.timers.now()
            is_reader = self._is_reader()
            if is_reader:
                await self._read_once()
            due = started + (self._section.poll_period if is_reader else TICK_SECONDS)
            await self._node.timers.sleep(due - self._node.timers.now())

    async def _read_once(self) -> None:
        try:
            async with asyncio.timeout(self._section.poll_timeout):
                update = await self._client.members()
        except (OSError, TimeoutError, PimentoquayError) as error:
            if not self._directory.is_known:
                logger.warning("no membership list yet, not ready: {}", error)
                self._node.timeline.record("membership-wait", detail=str(error))
            self._note_readable(False)
            return
        self._confirmed_at = self._node.timers.now()
        self._note_readable(True)
        delta = self._directory.apply_update(update)
        if delta is not None:
            self._list_changed(delta)

    def _note_readable(self, is_readable: bool) -> None:
        """Tell peers at once when reading starts to fail, so that the next in order reads."""
        if is_readable != self._list_readable:
            self._list_readable = is_readable
            self._send_heartbeats()

    def _is_reader(self) -> bool:
        """Tell whether it is this VM's turn to read.

        A VM that fails to read keeps trying in its own place, and the others pass over it.
        """
        if not self._directory.is_known:
            return True
        vm = self._node.identity.vm
        others = [peer for peer in self._live_peers() if self._liveness.can_read_list(peer)]
        order = ranked(f"membership-reader:{self._node.identity.data_centre}", {vm, *others})
        age = (self._node.timers.now() - self._confirmed_at) / self._section.poll_period
        place = order.index(vm)
        return place == 0 or age > TAKEOVER_AGE + TAKEOVER_STEP * (place - 1)

    def _list_changed(self, delta: MembershipDelta) -> None:
        self._node.timeline.record("membership-list", detail=f"version {delta.version}")
        for channel in self._control_channels(same_data_centre=True):
            channel.send(delta)
        self._refresh()

    def _control_channels(self, same_data_centre: bool) -> tuple[Channel, ...]:
        own = self._node.identity.data_centre
        newest = {channel.peer.vm: channel for channel in self._peers.channels("control")}
        return tuple(
            channel
            for channel in newest.values()
            if (channel.peer.data_centre == own) == same_data_centre
        )

    # Messages

    @singledispatchmethod
    def _handle(self, message: Any, channel: Channel | None) -> None:
        raise TypeError(f"no handler for {type(message).__name__}")

    @_handle.register
    def _(self, message: ChannelOpened, channel: Channel | None) -> None:
        opened = message.channel
        if opened.peer.process == "entry" and opened.peer.vm == self._node.identity.vm:
            if self._view.current is not None:
                opened.send(self._view.current)
        elif opened.peer.process == "control":
            self._greet(opened)

    def _greet(self, channel: Channel) -> None:
        channel.send(self._heartbeat())
        own = self._own_member()
        if own is not None:
            channel.send(MemberAnnouncement(own))
        if channel.peer.data_centre != self._node.identity.data_centre:
            if self._own_report is not None:
                channel.send(self._own_report)
            return
        for claim in self._claims.values():
            channel.send(claim)

    @_handle.register
    def _(self, message: ChannelClosed, channel: Channel | None) -> None:
        peer = message.channel.peer
        if peer.process == "control" and self._peers.channel_to(peer.vm) is None:
            self._liveness.note_closed(peer.vm, self._node.timers.now())
        self._refresh()

    @_handle.register
    def _(self, message: Heartbeat, channel: Channel | None) -> None:
        if channel is None or channel.peer.vm != message.vm:
            return
        now = self._node.timers.now()
        is_news = self._liveness.hear(message, now)
        if message.membership_version == self._directory.version:
            self._confirmed_at = max(self._confirmed_at, now - message.list_age / AGE_UNITS)
        elif message.membership_version > self._directory.version:
            self._request_list(channel)
        if is_news:
            self._refresh()

    def _request_list(self, channel: Channel) -> None:
        now = self._node.timers.now()
        if now - self._requested_at >= REQUEST_SECONDS:
            self._requested_at = now
            channel.send(MembershipRequest(self._directory.version))

    @_handle.register
    def _(self, message: MembershipRequest, channel: Channel | None) -> None:
        answer = self._directory.answer_for(message.have_version)
        if channel is not None and answer is not None:
            channel.send(answer)

    @_handle.register
    def _(self, message: MembershipUpdate, channel: Channel | None) -> None:
        delta = self._directory.apply_update(message)
        if delta is not None:
            self._took_from_peer(delta, channel)

    @_handle.register
    def _(self, message: MembershipDelta, channel: Channel | None) -> None:
        if self._directory.apply_delta(message):
            self._took_from_peer(message, channel)
        elif message.version > self._directory.version and channel is not None:
            self._request_list(channel)

    def _took_from_peer(self, delta: MembershipDelta, channel: Channel | None) -> None:
        own = self._node.identity.data_centre
        if channel is not None and channel.peer.data_centre != own:
            self._list_changed(delta)
        else:
            self._refresh()

    @_handle.register
    def _(self, message: MemberAnnouncement, channel: Channel | None) -> None:
        if channel is None or channel.peer.vm != message.member.name:
            return
        if self._announced.get(message.member.name) != message.member:
            self._announced[message.member.name] = message.member
            self._refresh()

    @_handle.register
    def _(self, message: DataCentreReport, channel: Channel | None) -> None:
        if channel is None:
            return
        own = self._node.identity.data_centre
        if channel.peer.data_centre == own and message.data_centre != own:
            self._remote.note_claim(channel.peer.vm, message)
        elif channel.peer.data_centre == message.data_centre != own:
            self._remote.note_direct(channel.peer.vm, message)
        self._refresh()

    @_handle.register
    def _(self, message: ConfigurationReached, channel: Channel | None) -> None:
        self.configuration_offset = message.offset

    @_handle.register
    def _(self, message: DrainRequested, channel: Channel | None) -> None:
        if not self._draining:
            self._draining = True
            self._node.timeline.record("drain-requested")
            self._send_heartbeats()
            self._refresh()

    # Heartbeats

    def _heartbeat(self) -> Heartbeat:
        identity = self._node.identity
        return Heartbeat(
            identity.vm,
            identity.data_centre,
            identity.incarnation,
            self._is_leaving(),
            self.configuration_offset,
            self._directory.version,
            self._list_age(),
            self._list_readable,
        )

    def _list_age(self) -> int:
        age = self._node.timers.now() - self._confirmed_at
        return math.ceil(min(age, UNKNOWN_AGE) * AGE_UNITS)

    def _send_heartbeats(self) -> None:
        heartbeat = self._heartbeat()
        for channel in self._peers.channels("control"):
            channel.send(heartbeat)

    def _own_member(self) -> Member | None:
        identity = self._node.identity
        listed = self._directory.member_by_name.get(identity.vm)
        if listed is not None:
            return listed
        if not self._section.advertise:
            return None
        return Member(
            identity.vm,
            MemberKind.ENTRY_VM,
            MemberState.LIVE,
            identity.region,
            identity.data_centre,
            self._section.advertise,
            "",
            False,
        )

    def _is_leaving(self) -> bool:
        vm = self._node.identity.vm
        listed = self._directory.member_by_name.get(vm)
        is_listed_leaving = listed is not None and listed.state is MemberState.LEAVING
        return self._draining or is_listed_leaving or vm in self._directory.removed_vms

    # Liveness

    def _live_peers(self) -> tuple[str, ...]:
        """Return the peers of this data centre that are alive and not leaving."""
        now = self._node.timers.now()
        own = self._node.identity.data_centre
        return tuple(
            vm
            for vm in self._liveness.heard_vms(own)
            if self._liveness.is_alive(vm, now)
            and not self._liveness.is_leaving(vm)
            and not self._is_listed_leaving(vm)
            and (vm in self._directory.member_by_name or vm in self._announced)
        )

    def _is_listed_leaving(self, vm: str) -> bool:
        member = self._directory.member_by_name.get(vm)
        return member is not None and member.state is MemberState.LEAVING

    def _own_live_vms(self) -> tuple[str, ...]:
        vm = self._node.identity.vm
        own = () if self._is_leaving() or self._own_member() is None else (vm,)
        return tuple(sorted((*own, *self._live_peers())))

    def _refresh(self) -> None:
        """Recompute liveness; publish, report and dial only what has changed."""
        now = self._node.timers.now()
        self._liveness.forget_dead(now, FORGET_SECONDS)
        if not self._directory.is_known:
            self._dial(self._seeds)
            return
        own_live = self._own_live_vms()
        self._report(own_live)
        remote = self._pass_on_claims(now)
        live_by_data_centre = self._live_by_data_centre(own_live, remote)
        identity = self._node.identity
        self._dial(
            wanted_addresses(
                identity.vm,
                identity.data_centre,
                self._directory.vms_by_data_centre,
                live_by_data_centre,
                self._section.gateways,
            )
        )
        if self._has_settled(own_live, now):
            self._publish(own_live, remote, live_by_data_centre)
        self._finish_drain()

    def _has_settled(self, own_live: tuple[str, ...], now: float) -> bool:
        if self._settled:
            return True
        if self._settle_until is None:
            self._settle_until = now + self._section.settle
        listed = self._directory.vms_by_data_centre.get(self._node.identity.data_centre, ())
        expected = {member.name for member in listed if member.state is MemberState.LIVE}
        self._settled = expected <= set(own_live) or now >= self._settle_until
        return self._settled

    def _report(self, own_live: tuple[str, ...]) -> None:
        own = self._node.identity.data_centre
        listed = self._directory.vms_by_data_centre.get(own, ())
        live = [member.name for member in listed if member.state is MemberState.LIVE]
        unlisted = [name for name in own_live if name not in self._directory.member_by_name]
        report = DataCentreReport(
            own,
            True,
            tuple(name for name in live if name not in own_live),
            tuple(self._member_of(name) for name in unlisted),
        )
        if report != self._own_report:
            self._own_report = report
            for channel in self._control_channels(same_data_centre=False):
                channel.send(report)

    def _member_of(self, vm: str) -> Member:
        own = self._own_member()
        if own is not None and own.name == vm:
            return own
        return self._directory.member_by_name.get(vm) or self._announced[vm]

    def _pass_on_claims(self, now: float) -> dict[str, DataCentreReport]:
        """Tell the peers of this data centre what changed of others; return what is in force."""
        alive = tuple(
            channel.peer.vm
            for channel in self._peers.channels("control")
            if self._liveness.is_alive(channel.peer.vm, now)
        )
        claims = self._remote.own_claims(alive)
        for data_centre, claim in claims.items():
            if self._claims.get(data_centre) != claim:
                for channel in self._control_channels(same_data_centre=True):
                    channel.send(claim)
        self._claims = claims
        return self._remote.merged(self._node.identity.vm, claims, alive)

    def _live_by_data_centre(
        self, own_live: tuple[str, ...], remote: dict[str, DataCentreReport]
    ) -> dict[str, tuple[str, ...]]:
        own = self._node.identity.data_centre
        live = {own: own_live}
        for data_centre, members in self._directory.vms_by_data_centre.items():
            if data_centre == own:
                continue
            report = remote.get(data_centre)
            missing = report.missing if report is not None else ()
            unlisted = report.unlisted if report is not None else ()
            names = {member.name for member in members if member.state is MemberState.LIVE}
            names.update(member.name for member in unlisted)
            live[data_centre] = tuple(sorted(names.difference(missing)))
        return live

    def _dial(self, address_by_vm: dict[str, str]) -> None:
        if address_by_vm != self._wanted:
            self._wanted = address_by_vm
            self._peers.want(address_by_vm)

    # The view

    def _publish(
        self,
        own_live: tuple[str, ...],
        remote: dict[str, DataCentreReport],
        live_by_data_centre: dict[str, tuple[str, ...]],
    ) -> None:
        unlisted = [
            self._member_of(name) for name in own_live if name not in self._directory.member_by_name
        ]
        for report in remote.values():
            unlisted += report.unlisted
        own = self._node.identity.data_centre
        view = self._view.build(
            self._directory,
            tuple(unlisted),
            tuple(sorted(vm for names in live_by_data_centre.values() for vm in names)),
            tuple(sorted({own, *remote})),
        )
        if view is None:
            return
        self._node.timeline.record("cluster-view", detail=f"version {view.version}")
        self._node.bus.publish(view)
        for channel in self._peers.channels("entry"):
            if channel.peer.vm == self._node.identity.vm:
                channel.send(view)

    def _finish_drain(self) -> None:
        if not self._draining or self._drain_reported:
            return
        vm = self._node.identity.vm
        if not any(channel.peer.vm == vm for channel in self._peers.channels("entry")):
            self._drain_reported = True
            self._node.bus.publish(DrainFinished())
