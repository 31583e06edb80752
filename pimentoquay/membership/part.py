"""Membership part: combines the platform's membership list with heartbeats into ``ClusterView``.

One VM of each data centre reads the list; the others take over in rendezvous order when it becomes
too old. A new version is sent once to every VM, as a change. Heartbeats carry the version, so a VM
that missed a change requests it. ``ClusterView`` is published on the local bus and sent to the
entry process of the same VM only when it changes: whole at first, later as changes.
"""

import asyncio
from functools import singledispatchmethod
from typing import Any

from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Envelope, Node, plugin
from pimentoquay.kernel.status import StatusRequested
from pimentoquay.membership.events import ConfigurationReached, DrainFinished, DrainRequested
from pimentoquay.membership.heartbeats import HeartbeatSender
from pimentoquay.membership.mesh import addresses_to_dial, parse_seeds
from pimentoquay.membership.reader import ListReader
from pimentoquay.membership.remote import RemoteReports
from pimentoquay.membership.settings import MembershipSection
from pimentoquay.membership.state import ClusterState
from pimentoquay.membership.status import list_status
from pimentoquay.membership.view import ViewBuilder, view_change
from pimentoquay.messages.cluster import Heartbeat, MembershipUpdate
from pimentoquay.messages.membership import (
    DataCentreReport,
    FollowView,
    MemberAnnouncement,
    MembershipDelta,
    MembershipRequest,
)
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["MembershipPart"]

TICK_SECONDS = 0.25
"""Interval of the checks for silent peers and for this VM's turn to read the list."""

MIN_REQUEST_INTERVAL_SECONDS = 0.5
"""Minimum time between two requests for the list."""

FORGET_AFTER_SECONDS = 60.0
"""Time without a heartbeat after which the state of a VM is discarded."""


@plugin("control-part", "membership")
class MembershipPart:
    """Keeps the membership list, the liveness of peers and the mesh of channels.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels to other processes.
    ports
        Clients of the platform's services, of which the membership list is used.
    section
        Settings of the membership part.
    """

    def __init__(
        self, node: Node, peers: PeerSet, ports: Ports, section: MembershipSection
    ) -> None:
        self._node = node
        self._peers = peers
        self._section = section
        self._seeds = parse_seeds(section.seeds)
        self._state = ClusterState(node.identity, section)
        self._directory = self._state.directory
        self._liveness = self._state.liveness
        self._remote = RemoteReports()
        self._view = ViewBuilder()
        self._heartbeats = HeartbeatSender(peers, section, self._heartbeat)
        self._reader = ListReader(
            node,
            ports.membership,
            section,
            self._directory,
            self._readable_peers,
            self._on_list_changed,
            self._heartbeats.send,
        )
        self._relayed_reports: dict[str, DataCentreReport] = {}
        self._own_report: DataCentreReport | None = None
        self._dialled_address_by_vm: dict[str, str] | None = None
        self._mesh_inputs: object = None
        self._alive: tuple[str, ...] = ()
        self._requested_at = float("-inf")
        self._has_reported_drain = False
        self._entry_channels: list[Channel] = []
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
            FollowView,
            ConfigurationReached,
            StatusRequested,
        )

    async def run(self) -> None:
        """Read the list, send heartbeats and handle messages until cancelled."""
        timers = self._node.timers
        subscriptions = (
            timers.every(self._section.heartbeat_period, self._send_due_heartbeat),
            timers.every(TICK_SECONDS, self._tick),
        )
        self._refresh()
        self._reader.tick()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._reader.run())
                group.create_task(self._handle_messages())
        finally:
            for subscription in subscriptions:
                subscription.cancel()

    async def _handle_messages(self) -> None:
        while True:
            envelope = await self.inbox.get()
            self._handle(envelope.message, envelope.channel)

    def _readable_peers(self) -> tuple[str, ...]:
        peers = self._state.live_peers(self._node.timers.now())
        return tuple(vm for vm in peers if self._liveness.can_read_list(vm))

    def _on_list_changed(self, delta: MembershipDelta) -> None:
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
            self._entry_channels.append(opened)
            if self._view.current is not None:
                opened.send(self._view.current)
        elif opened.peer.process == "control":
            self._send_initial_messages(opened)

    @_handle.register
    def _(self, message: FollowView, channel: Channel | None) -> None:
        if channel is None or channel in self._entry_channels:
            return
        if channel.peer.process == "entry" and self._view.current is not None:
            self._entry_channels.append(channel)
            channel.send(self._view.current)

    def _send_initial_messages(self, channel: Channel) -> None:
        channel.send(self._heartbeat())
        own = self._state.own_member
        if own is not None:
            channel.send(MemberAnnouncement(own))
        if channel.peer.data_centre != self._node.identity.data_centre:
            if self._own_report is not None:
                channel.send(self._own_report)
            return
        for relayed_report in self._relayed_reports.values():
            channel.send(relayed_report)

    @_handle.register
    def _(self, message: ChannelClosed, channel: Channel | None) -> None:
        peer = message.channel.peer
        if message.channel in self._entry_channels:
            self._entry_channels.remove(message.channel)
        if peer.process == "control" and self._peers.channel_to(peer.vm) is None:
            self._liveness.note_closed(peer.vm, self._node.timers.now())
        self._refresh()

    @_handle.register
    def _(self, message: Heartbeat, channel: Channel | None) -> None:
        if channel is None or channel.peer.vm != message.vm:
            return
        now = self._node.timers.now()
        has_changed = self._liveness.note_heartbeat(message, now)
        if message.membership_version == self._directory.version:
            self._reader.note_confirmed(message.list_age)
        elif message.membership_version > self._directory.version:
            self._request_list(channel)
        if has_changed:
            self._refresh()

    def _request_list(self, channel: Channel) -> None:
        now = self._node.timers.now()
        if now - self._requested_at >= MIN_REQUEST_INTERVAL_SECONDS:
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
            self._on_list_from_peer(delta, channel)

    @_handle.register
    def _(self, message: MembershipDelta, channel: Channel | None) -> None:
        if self._directory.apply_delta(message):
            self._on_list_from_peer(message, channel)
        elif message.version > self._directory.version and channel is not None:
            self._request_list(channel)

    def _on_list_from_peer(self, delta: MembershipDelta, channel: Channel | None) -> None:
        own = self._node.identity.data_centre
        if channel is not None and channel.peer.data_centre != own:
            self._on_list_changed(delta)
        else:
            self._refresh()

    @_handle.register
    def _(self, message: MemberAnnouncement, channel: Channel | None) -> None:
        if channel is None or channel.peer.vm != message.member.name:
            return
        if self._state.note_announcement(message.member):
            self._refresh()

    @_handle.register
    def _(self, message: DataCentreReport, channel: Channel | None) -> None:
        if channel is None:
            return
        own = self._node.identity.data_centre
        if channel.peer.data_centre == own and message.data_centre != own:
            self._remote.note_relayed(channel.peer.vm, message)
        elif channel.peer.data_centre == message.data_centre != own:
            self._remote.note_direct(channel.peer.vm, message)
        self._refresh()

    @_handle.register
    def _(self, message: ConfigurationReached, channel: Channel | None) -> None:
        is_first = self.configuration_offset < 0
        self.configuration_offset = message.offset
        if is_first:
            # After a restart of many VMs, peers without a configuration request it as soon as a
            # heartbeat reports one.
            self._heartbeats.send()

    @_handle.register
    def _(self, message: StatusRequested, channel: Channel | None) -> None:
        self._node.bus.publish(list_status(self._directory.version, self._reader))

    @_handle.register
    def _(self, message: DrainRequested, channel: Channel | None) -> None:
        if not self._state.is_draining:
            self._state.is_draining = True
            self._node.timeline.record("drain-requested")
            self._heartbeats.send()
            self._refresh()

    def _send_due_heartbeat(self) -> None:
        # The list's reader skips no heartbeats: another VM takes over if none confirms the list.
        self._heartbeats.send_if_due(always=self._reader.has_turn)

    def _heartbeat(self) -> Heartbeat:
        identity = self._node.identity
        return Heartbeat(
            identity.vm,
            identity.data_centre,
            identity.incarnation,
            self._state.is_leaving,
            self.configuration_offset,
            self._directory.version,
            self._reader.age_units,
            self._reader.is_readable,
        )

    # Liveness

    def _tick(self) -> None:
        """Detect VMs that have fallen silent; every other change arrives as a message."""
        now = self._node.timers.now()
        self._liveness.forget_dead(now, FORGET_AFTER_SECONDS)
        if not self._state.is_settled or self._liveness.alive_vms(now) != self._alive:
            self._refresh()
        self._reader.tick()

    def _refresh(self) -> None:
        """Recompute liveness, then publish, report and dial what has changed."""
        now = self._node.timers.now()
        self._alive = self._liveness.alive_vms(now)
        if not self._directory.is_known:
            self._dial(self._seeds)
            return
        own_live = self._state.live_vms(now)
        self._send_report(own_live)
        remote = self._relay_remote_reports(now)
        live_by_data_centre = self._state.live_by_data_centre(own_live, remote)
        self._join_mesh(live_by_data_centre)
        if self._state.has_settled(own_live, remote, now):
            self._publish(own_live, remote, live_by_data_centre)
        self._finish_drain()

    def _send_report(self, own_live: tuple[str, ...]) -> None:
        report = self._state.report(own_live)
        if report != self._own_report:
            self._own_report = report
            for channel in self._control_channels(same_data_centre=False):
                channel.send(report)

    def _relay_remote_reports(self, now: float) -> dict[str, DataCentreReport]:
        """Relay changed reports within the data centre; return the reports in force."""
        alive = tuple(
            channel.peer.vm
            for channel in self._peers.channels("control")
            if self._liveness.is_alive(channel.peer.vm, now)
        )
        relayed_reports = self._remote.reports_to_relay(alive)
        for data_centre, relayed_report in relayed_reports.items():
            if self._relayed_reports.get(data_centre) != relayed_report:
                for channel in self._control_channels(same_data_centre=True):
                    channel.send(relayed_report)
        self._relayed_reports = relayed_reports
        return self._remote.reports_in_force(self._node.identity.vm, relayed_reports, alive)

    def _join_mesh(self, live_by_data_centre: dict[str, tuple[str, ...]]) -> None:
        inputs = (self._directory.version, live_by_data_centre)
        if inputs == self._mesh_inputs:
            return
        self._mesh_inputs = inputs
        identity = self._node.identity
        self._dial(
            addresses_to_dial(
                identity.vm,
                identity.data_centre,
                self._directory.vms_by_data_centre,
                live_by_data_centre,
                self._section.gateways,
            )
        )

    def _dial(self, address_by_vm: dict[str, str]) -> None:
        if address_by_vm != self._dialled_address_by_vm:
            self._dialled_address_by_vm = address_by_vm
            self._peers.set_targets(address_by_vm)

    # The view

    def _publish(
        self,
        own_live: tuple[str, ...],
        remote: dict[str, DataCentreReport],
        live_by_data_centre: dict[str, tuple[str, ...]],
    ) -> None:
        unlisted = list(self._state.unlisted(own_live))
        for report in remote.values():
            unlisted += report.unlisted
        own = self._node.identity.data_centre
        reachable = {own, *remote}
        before = self._view.current
        view = self._view.build(
            self._directory,
            tuple(unlisted),
            tuple(sorted(vm for name in reachable for vm in live_by_data_centre.get(name, ()))),
            tuple(sorted(reachable)),
        )
        if view is None:
            return
        self._node.timeline.record("cluster-view", detail=f"version {view.version}")
        self._node.bus.publish(view)
        update = view if before is None else view_change(before, view)
        for channel in self._entry_channels:
            channel.send(update)

    def _finish_drain(self) -> None:
        if not self._state.is_draining or self._has_reported_drain:
            return
        vm = self._node.identity.vm
        if not any(channel.peer.vm == vm for channel in self._peers.channels("entry")):
            self._has_reported_drain = True
            self._node.bus.publish(DrainFinished())
