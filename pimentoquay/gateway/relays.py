"""Heartbeats of relays, and messages to single VMs that are routed through relays."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.message_parts import parts_of
from pimentoquay.kernel import Channel, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.pools import Bundle, ChannelAlive, PoolSummary, RelayAlive, Routed
from pimentoquay.policy.mesh_plan import MeshPlan
from pimentoquay.policy.order_holder import VmState
from pimentoquay.policy.relay_liveness import RelayLiveness
from pimentoquay.transport.framing import refuse_to_send

__all__ = ["HEARTBEAT_SECONDS", "RelayNetwork"]

HEARTBEAT_SECONDS = 0.8
"""Interval of the heartbeats of relays and of the channels to them."""

TIMEOUT_SECONDS = 4 * HEARTBEAT_SECONDS
"""Time without a heartbeat after which a relay or a channel counts as lost."""


BUNDLE_SECONDS = 0.25
"""Time for which a relay collects broadcast messages before it sends them, in seconds.

Over the three channels of the longest way, a summary is delayed by half a second on average.
"""


MAX_HOPS = 3
"""Maximum number of times that a message is forwarded; the longest way takes two.

Relays that remember each other as the way to a VM that is gone would forward it for ever.
"""


@dataclass(frozen=True)
class _Pending:
    """A broadcast message to be sent; ``source`` is the VM it came from, None for an own one."""

    message: RelayAlive | PoolSummary
    source: str | None


@dataclass(frozen=True)
class _Heard:
    number: tuple[int, int]
    state: VmState


class RelayNetwork:
    """Heartbeats and routing over the relays of a large deployment.

    ``receive_routed`` is called with the source and the message for each message that is routed to
    this VM. ``own_state`` is what this VM says about itself.

    Parameters
    ----------
    node
        The process, with its identity and timers.
    fleet
        Told how recently relays have read the store.
    channels
        Returns the channels to send on, one for each peer.
    """

    def __init__(
        self, node: Node, fleet: Fleet, channels: Callable[[], tuple[Channel, ...]]
    ) -> None:
        self._node = node
        self._fleet = fleet
        self._channels = channels
        self._vm = node.identity.vm
        self._sequence = 0
        self._sent_at = float("-inf")
        self._heard_by_vm: dict[str, _Heard] = {}
        self._hop_by_source: dict[str, str] = {}
        self._hops_used = 0
        self._pending_by_key: dict[tuple[Any, ...], _Pending] = {}
        self._is_flush_due = False
        self.liveness = RelayLiveness(TIMEOUT_SECONDS)
        self.plan = MeshPlan(frozenset())
        self.own_state = VmState()
        self.receive_routed: Callable[[str, Any], None] = lambda source, message: None

    def update_plan(self, plan: MeshPlan) -> None:
        """Use a new plan of the channels between the VMs."""
        self.plan = plan
        self.liveness.expect(plan.relays - {self._vm}, self._node.timers.now())

    def live_relays(self) -> frozenset[str]:
        """Return the relays that can be reached, including this VM if it is one."""
        now = self._node.timers.now()
        return frozenset(
            vm for vm in self.plan.relays if vm == self._vm or self.liveness.is_heard(vm, now)
        )

    def coordinating_relays(self) -> frozenset[str]:
        """Return the relays that may coordinate pools: those that are not draining, if any."""
        live = self.live_relays()
        return frozenset(vm for vm in live if not self._is_draining(vm)) or live

    def is_first_relay(self) -> bool:
        """Return whether this VM sorts before all other relays that are alive and not draining."""
        if self._vm not in self.plan.relays:
            return False
        others = self.live_relays() - {self._vm}
        return all(self._vm < vm for vm in others if not self._is_draining(vm))

    def live_states(self) -> dict[str, VmState]:
        """Return what the relays that can be reached have last said about themselves."""
        return {vm: self._state_of(vm) for vm in self.live_relays()}

    def send_heartbeats(self) -> None:
        """Send heartbeats if they are due."""
        now = self._node.timers.now()
        if self.plan.is_full or now - self._sent_at < HEARTBEAT_SECONDS * 0.75:
            return
        self._sent_at = now
        if self._vm in self.plan.relays:
            self.broadcast(self._own_heartbeat())
        else:
            for channel in self._channels():
                channel.send(ChannelAlive())

    def send_now(self) -> None:
        """Send this relay's heartbeat at once, because it has read the store."""
        if self._vm in self.plan.relays:
            self.broadcast(self._own_heartbeat())
            self._flush()

    def receive_heartbeat(self, message: RelayAlive, source: str) -> bool:
        """Apply and forward a relay's heartbeat; return whether the relay had not been heard."""
        known = self._heard_by_vm.get(message.vm)
        number = message.incarnation, message.number
        if message.vm == self._vm or (known is not None and number <= known.number):
            return False
        now = self._node.timers.now()
        was_heard = self.liveness.is_heard(message.vm, now)
        self._heard_by_vm[message.vm] = _Heard(
            number, VmState(message.is_draining, message.is_cut_off)
        )
        self.liveness.record(message.vm, now)
        self._fleet.record_peer_read(message.list_age)
        self.broadcast(message, source)
        return not was_heard

    def forget_vm(self, vm: str) -> None:
        """Accept the next heartbeat of a VM that has started again, whatever its incarnation."""
        self._heard_by_vm.pop(vm, None)

    def broadcast(self, message: RelayAlive | PoolSummary, source: str | None = None) -> None:
        """Send a message to all VMs, or forward one that was received from ``source``.

        Only relays do either. Of several messages of one relay or pool, the newest is sent.
        """
        if self._vm not in self.plan.relays:
            return
        subject = message.vm if isinstance(message, RelayAlive) else message.pool
        self._pending_by_key[type(message), subject] = _Pending(message, source)
        if not self._is_flush_due:
            self._is_flush_due = True
            self._node.timers.after(BUNDLE_SECONDS, self._flush)

    def send_to(self, target: str, message: Any) -> None:
        """Send a message to a VM, directly or through relays; it may be lost on the way."""
        if target == self._vm:
            self._node.timers.after(0.0, lambda: self.receive_routed(self._vm, message))
            return
        try:
            payload = encode(message)
        except CodecError as error:
            refuse_to_send(message, target, error)
            return
        self._send_routed(Routed(self._vm, target, 0, payload))

    def receive(self, message: Routed, source: str) -> None:
        """Deliver a routed message, or forward it."""
        if message.source != source:
            self._hop_by_source[message.source] = source
        if message.target != self._vm:
            if message.hops < MAX_HOPS:
                self._send_routed(replace(message, hops=message.hops + 1), source)
            return
        try:
            item = decode(message.payload)
        except CodecError as error:
            logger.bind(peer=message.source, error=str(error)).warning("invalid message ignored")
            return
        self.receive_routed(message.source, item)

    def _send_routed(self, message: Routed, came_from: str = "") -> None:
        channel_by_vm = {each.peer.vm: each for each in self._channels()}
        channel_by_vm.pop(came_from, None)
        target = message.target
        channel = channel_by_vm.get(target) or channel_by_vm.get(
            self._hop_by_source.get(target, "")
        )
        if channel is None and message.source == self._vm:
            # Any relay will do; another one is used each time, in case one does not forward.
            hops = sorted(channel_by_vm.keys() & self.plan.relays)
            if hops:
                self._hops_used += 1
                channel = channel_by_vm[hops[self._hops_used % len(hops)]]
        if channel is not None:
            channel.send(message)

    def _is_draining(self, vm: str) -> bool:
        return self._state_of(vm).is_draining

    def _state_of(self, vm: str) -> VmState:
        if vm == self._vm:
            return self.own_state
        heard = self._heard_by_vm.get(vm)
        return heard.state if heard is not None else VmState()

    def _flush(self) -> None:
        """Send the collected messages: to relays those of this VM, to the others all."""
        self._is_flush_due = False
        pending, self._pending_by_key = tuple(self._pending_by_key.values()), {}
        if not pending:
            return
        encoded = [(each.source, encode(each.message)) for each in pending]
        bundles_by_sources: dict[tuple[bool, ...], tuple[Bundle, ...]] = {}
        channels = sorted(self._channels(), key=lambda each: each.peer.vm in self.plan.relays)
        for channel in channels:
            target = channel.peer.vm
            chosen = tuple(self.plan.should_forward(source, target) for source, _ in encoded)
            if not any(chosen):
                continue
            if chosen not in bundles_by_sources:
                items = (
                    item for (_, item), is_sent in zip(encoded, chosen, strict=True) if is_sent
                )
                bundles_by_sources[chosen] = parts_of(Bundle(tuple(items)))
            for bundle in bundles_by_sources[chosen]:
                channel.send(bundle)

    def _own_heartbeat(self) -> RelayAlive:
        self._sequence += 1
        identity = self._node.identity
        age = min(self._fleet.own_list_age, 1e6)
        own = self.own_state
        return RelayAlive(
            identity.vm,
            identity.incarnation,
            self._sequence,
            age,
            own.is_draining,
            own.is_cut_off,
        )
