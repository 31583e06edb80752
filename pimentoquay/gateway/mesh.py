"""Messages between the gateways of a deployment, and which of them polls the store.

They exchange addresses, changes of the configuration and of the list of engines, and loads.
"""

import asyncio
from collections.abc import Callable, Collection, Mapping
from dataclasses import replace
from functools import singledispatchmethod
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.fleet_copies import apply_copy
from pimentoquay.gateway.load_exchange import HEARTBEAT_SECONDS, LoadExchange
from pimentoquay.gateway.notices import NoticeExchange
from pimentoquay.gateway.part_sender import PartSender
from pimentoquay.gateway.peer_loads import PeerLoadTable
from pimentoquay.gateway.peer_presence import PeerPresence
from pimentoquay.gateway.relays import TIMEOUT_SECONDS, RelayNetwork
from pimentoquay.gateway.step_watch import StepWatch
from pimentoquay.gateway.vm_addresses import VmAddresses
from pimentoquay.kernel import Channel, ChannelClosed, ChannelOpened, Envelope, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import CodecError, decode
from pimentoquay.messages.fleet import (
    CrashEvidence,
    EnginesLeaving,
    FleetCopy,
    LimitsNamed,
    PeerLoads,
    StageOrdered,
    TrialBegun,
    VmAddress,
)
from pimentoquay.messages.pools import (
    Bundle,
    ChannelAlive,
    PoolKey,
    PoolSummary,
    RelayAlive,
    Routed,
)
from pimentoquay.messages.streams import StreamsBegun, VersionsListed
from pimentoquay.policy.mesh_plan import MeshPlan, needs_relays, plan_mesh
from pimentoquay.policy.order_holder import order_holder
from pimentoquay.policy.pools import coordinator_of
from pimentoquay.policy.store_position import StoreEra
from pimentoquay.policy.tunnel_peers import PeerPlace
from pimentoquay.transport.peers import PeerSet

__all__ = ["Mesh"]

PROCESS = "gateway"
"""Process name of gateways in the identities of peers."""

MAX_MISSED_HEARTBEATS = 4
"""Missed heartbeats after which a channel, or a VM known only through relays, counts as lost."""


class Mesh:
    """Channels to the other gateways and the state that is exchanged over them.

    Up to sixteen gateways all have channels to each other, more have channels to relays
    (``policy/mesh_plan.py``). ``on_load_changed`` is called when the load of a peer has changed,
    ``on_stage_ordered`` with each order, ``on_pool_summary`` with each summary; true forwards it.

    Parameters
    ----------
    node, peers, address
        The process, its channels, and the address at which it listens for peers.
    fleet, loads
        State that is exchanged with the peers: records of the store, and the loads of gateways.
    era, step
        Era of the store, which peers may raise, and what is heard of the peers.
    """

    def __init__(
        self,
        node: Node,
        peers: PeerSet,
        fleet: Fleet,
        loads: PeerLoadTable,
        address: str,
        era: StoreEra,
        step: StepWatch,
    ) -> None:
        self._node = node
        self._peers = peers
        self._fleet = fleet
        self.loads = loads
        self._era = era
        self.step = step
        self._vm = node.identity.vm
        self.addresses = VmAddresses(VmAddress(self._vm, address, node.identity.data_centre, -1))
        self.presence = PeerPresence(node.timers.now, HEARTBEAT_SECONDS)
        self._seen_fences: set[int] = set()
        self.load_exchange = LoadExchange(
            node, lambda: loads.current(self.relays.own_state), self._channels
        )
        self.relays = RelayNetwork(node, fleet, self._channels)
        self._sender = PartSender(node.timers)
        self.notices = NoticeExchange(self._channels, self._sender, lambda: self.plan)
        self.on_load_changed: list[Callable[[], None]] = []
        self.on_stage_ordered: list[Callable[[StageOrdered], None]] = []
        self.on_plan_changed: list[Callable[[], None]] = []
        self.on_pool_summary: list[Callable[[PoolSummary], bool]] = []
        self.inbox = node.bus.subscribe(
            FleetCopy,
            PeerLoads,
            StageOrdered,
            EnginesLeaving,
            CrashEvidence,
            LimitsNamed,
            TrialBegun,
            StreamsBegun,
            VersionsListed,
            Bundle,
            ChannelAlive,
            Routed,
            ChannelOpened,
            ChannelClosed,
        )

    @property
    def plan(self) -> MeshPlan:
        """Channels between the VMs of the deployment."""
        return self.relays.plan

    @property
    def gateway_count(self) -> int:
        """Number of known gateways, including this one, which share the deployment's limits."""
        return max(len(self.addresses.by_vm), 1 + len(self.presence.last_seen_at_by_vm))

    @property
    def has_incomplete_view(self) -> bool:
        """Whether too many peers may still be running whose loads are unknown here."""
        return self.presence.has_incomplete_view(self.gateway_count)

    def running_vms(self) -> frozenset[str]:
        """Return the VMs that run or may still be running, including this one."""
        known = self.addresses.by_vm.keys()
        if self.plan.is_full:
            return self.presence.may_be_running(known) | {self._vm}
        return frozenset(known)

    def is_reader(self) -> bool:
        """Return whether this gateway polls the store for its peers.

        It does if its VM name sorts before those of all known peers that are not draining; in a
        large deployment, only relays are considered.
        """
        if not self.plan.is_full:
            return self.relays.is_first_relay()
        heard = self.presence.last_seen_at_by_vm
        return all(self._vm < vm for vm in heard if not self.loads.is_draining(vm))

    def may_order(self) -> bool:
        """Return whether this gateway is the one that sends orders to engines."""
        if not self.plan.is_full:
            return order_holder(self.relays.live_states()) == self._vm
        states = {vm: self.loads.state_of(vm) for vm in self.presence.last_seen_at_by_vm}
        return order_holder({**states, self._vm: self.relays.own_state}) == self._vm

    def update_own_state(self, **changes: bool) -> None:
        """Change fields of what this gateway says about itself, and tell the peers."""
        state = replace(self.relays.own_state, **changes)
        if state != self.relays.own_state:
            self.relays.own_state = state
            self.send_list_age()

    async def run(self) -> None:
        """Handle messages from peers until cancelled."""
        self._node.timers.every(HEARTBEAT_SECONDS, self._heartbeat)
        while True:
            self._receive(await self.inbox.get())

    def update_addresses(self, addresses: tuple[VmAddress, ...]) -> None:
        """Store newer addresses of VMs, dial as planned, and send changes to the peers."""
        changed = self.addresses.update(addresses)
        if changed:
            self.update_plan()
            self.publish(FleetCopy(-1, b"", (), -1, changed))

    def tunnel_places(self) -> Mapping[str, PeerPlace]:
        """Return the peers through which tunnels to engines may be opened."""
        by_vm = self.addresses.by_vm
        heard = self.presence.last_seen_at_by_vm if self.plan.is_full else by_vm
        return self.addresses.places(frozenset(heard))

    def dial_seeds(self, addresses: tuple[str, ...]) -> None:
        """Dial seed addresses that belong to no known VM, unless a peer is known to be alive."""
        known = {each.address for each in self.addresses.by_vm.values()}
        wanted = {f"seed {each}": each for each in addresses if each not in known}
        if not self.presence.last_seen_at_by_vm and wanted:
            self._peers.set_targets({**self._dial_addresses(), **wanted})

    def publish(self, message: FleetCopy | StageOrdered) -> None:
        """Send a message to every peer that this gateway has a channel to."""
        self._sender.send(self._channels(), message)

    def schedule_load_update(self) -> None:
        """Send this gateway's changed load to the peers after a short collection time."""
        self.load_exchange.schedule_own_load()

    def coordinator_of(self, key: PoolKey) -> str | None:
        """Return the VM that coordinates a pool of engines, which is one of the relays."""
        addresses = self.addresses.by_vm
        return coordinator_of(
            key, {vm: addresses[vm].data_centre for vm in self.relays.coordinating_relays()}
        )

    def broadcast_summary(self, message: PoolSummary) -> None:
        """Send the summary of a pool to all gateways, including this one."""
        for callback in self.on_pool_summary:
            callback(message)
        self.relays.broadcast(message)

    def send_list_age(self) -> None:
        """Tell the peers that this gateway has read the list of engines from the store."""
        if self.plan.is_full:
            self.load_exchange.schedule_own_load()
        else:
            self.relays.send_now()

    def update_plan(self) -> None:
        """Plan the channels anew, as other VMs are known or heard."""
        data_centre_by_vm = {vm: each.data_centre for vm, each in self.addresses.by_vm.items()}
        if needs_relays(len(data_centre_by_vm)):
            suspected = self.relays.liveness.suspected(self._node.timers.now())
            reachable: Collection[str] = data_centre_by_vm.keys() - suspected
        else:
            reachable = self.presence.last_seen_at_by_vm
        self.relays.update_plan(plan_mesh(self._vm, data_centre_by_vm, reachable))
        self.load_exchange.is_active = self.plan.is_full
        for callback in self.on_plan_changed:
            callback()
        self._peers.set_targets(self._dial_addresses())

    def _dial_addresses(self) -> dict[str, str]:
        return {vm: self.addresses.by_vm[vm].address for vm in self.plan.dialled}

    def _channels(self) -> tuple[Channel, ...]:
        """Return one channel for each peer; there are two if both sides have dialled."""
        return tuple({each.peer.vm: each for each in self._peers.channels(PROCESS)}.values())

    def _forward(self, message: FleetCopy | StageOrdered, source: str) -> None:
        """Forward a peer's message to the peers that do not receive it from the source."""
        channels = self._channels()
        targets = [each for each in channels if self.plan.should_forward(source, each.peer.vm)]
        self._sender.send(targets, message)

    def _receive(self, envelope: Envelope) -> None:
        self.step.receive(envelope)
        channel = envelope.channel
        if channel is not None:
            self.presence.record_direct(channel.peer.vm)
        self._dispatch(envelope.message, envelope)

    @singledispatchmethod
    def _dispatch(self, message: Any, envelope: Envelope) -> None:
        raise TypeError(f"unexpected message type {type(message).__name__}")

    @_dispatch.register
    def _handle_opened(self, message: ChannelOpened, envelope: Envelope) -> None:
        channel = message.channel
        self.presence.record_direct(channel.peer.vm)
        self.load_exchange.update_incarnation(channel.peer.vm, channel.peer.incarnation)
        self.relays.forget_vm(channel.peer.vm)
        vms = tuple(self.addresses.by_vm.values())
        self._sender.send((channel,), replace(self._fleet.snapshot(), vms=vms))
        self.notices.send_all(channel)
        self.load_exchange.send_own_load(channel)
        logger.bind(peer=channel.peer.vm).info("peer connected")

    @_dispatch.register
    def _handle_closed(self, message: ChannelClosed, envelope: Envelope) -> None:
        vm = message.channel.peer.vm
        other = self._peers.channel_to(vm, PROCESS)
        self._sender.close(message.channel, other)
        # With relays, loads of the VM may still arrive; it is dropped only after missed heartbeats.
        if self.plan.is_full and other is None:
            self._drop_peer(vm)

    @_dispatch.register
    def _handle_copy(self, message: FleetCopy, envelope: Envelope) -> None:
        result = apply_copy(self._fleet, self._era, message)
        if result.passed_on is not None:
            self._forward(result.passed_on, _source(envelope))
        if result.answer is not None and envelope.channel is not None:
            self._sender.send((envelope.channel,), result.answer)
        self.update_addresses(message.vms)

    @_dispatch.register
    def _handle_ordered(self, message: StageOrdered, envelope: Envelope) -> None:
        if message.fence in self._seen_fences:
            return
        self._seen_fences.add(message.fence)
        self._forward(message, _source(envelope))
        for callback in self.on_stage_ordered:
            callback(message)

    @_dispatch.register
    def _handle_notice(
        self,
        message: (
            EnginesLeaving
            | CrashEvidence
            | LimitsNamed
            | TrialBegun
            | StreamsBegun
            | VersionsListed
        ),
        envelope: Envelope,
    ) -> None:
        self.notices.receive(message, _source(envelope))

    @_dispatch.register
    def _handle_bundle(self, message: Bundle, envelope: Envelope) -> None:
        for data in message.items:
            try:
                item = decode(data)
            except CodecError as error:
                logger.bind(peer=_source(envelope), error=str(error)).warning(
                    "invalid message ignored"
                )
                continue
            if isinstance(item, RelayAlive | PoolSummary):
                self._dispatch(item, envelope)
            else:
                logger.bind(peer=_source(envelope), type=type(item).__name__).warning(
                    "message of an unexpected type in a bundle ignored"
                )

    @_dispatch.register
    def _handle_relay_alive(self, message: RelayAlive, envelope: Envelope) -> None:
        if self.relays.receive_heartbeat(message, _source(envelope)):
            logger.bind(peer=message.vm).info("relay is heard")

    @_dispatch.register
    def _handle_channel_alive(self, message: ChannelAlive, envelope: Envelope) -> None:
        return  # Its arrival has been recorded for the channel.

    @_dispatch.register
    def _handle_summary(self, message: PoolSummary, envelope: Envelope) -> None:
        if any([callback(message) for callback in self.on_pool_summary]):
            self.relays.broadcast(message, _source(envelope))

    @_dispatch.register
    def _handle_routed(self, message: Routed, envelope: Envelope) -> None:
        self.relays.receive(message, _source(envelope))

    @_dispatch.register
    def _handle_loads(self, message: PeerLoads, envelope: Envelope) -> None:
        newer_loads = self.load_exchange.receive(message, _source(envelope))
        for vm, load in newer_loads:
            self.presence.record_alive(vm)
            self.loads.apply(vm, load)
        self.presence.record_seen(vm for vm, _ in newer_loads)
        if newer_loads:
            for callback in self.on_load_changed:
                callback()

    def _heartbeat(self) -> None:
        self.load_exchange.send_to_all()
        self.relays.send_heartbeats()
        timeout = (
            MAX_MISSED_HEARTBEATS * HEARTBEAT_SECONDS if self.plan.is_full else TIMEOUT_SECONDS
        )
        for channel in self._peers.channels(PROCESS):
            # If both sides have dialled, a peer sends on only one of the two channels.
            if self.presence.is_channel_silent(channel.peer.vm, timeout):
                logger.bind(peer=channel.peer.vm).warning("peer is silent; closing its channel")
                task = asyncio.ensure_future(channel.close())
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
        for vm in self.presence.silent(timeout):
            self._drop_peer(vm)
        self.update_plan()

    def _drop_peer(self, vm: str) -> None:
        if self.presence.drop(vm, self.loads.is_draining(vm)):
            logger.bind(peer=vm).info("peer lost")
        self.load_exchange.forget_vm(vm)
        self.loads.remove(vm)
        for callback in self.on_load_changed:
            callback()


def _source(envelope: Envelope) -> str:
    """Return the VM whose channel a message arrived on."""
    assert envelope.channel is not None
    return envelope.channel.peer.vm
