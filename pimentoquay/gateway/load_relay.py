"""Exchange of load reports between gateways over the channels of the mesh.

A gateway sends its own load whenever it changes. In a large deployment relays collect the received
loads for a short time and forward only the newest of each VM, without decoding it again.
"""

from collections.abc import Callable
from dataclasses import dataclass

from pimentoquay.kernel import Channel, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.fleet import PeerLoad, PeerLoads, VmLoad
from pimentoquay.policy.mesh_plan import MeshPlan

__all__ = ["HEARTBEAT_SECONDS", "LoadRelay"]

HEARTBEAT_SECONDS = 0.4
"""Interval at which a gateway sends its load if the load does not change."""

RELAYED_HEARTBEAT_SECONDS = 0.8
"""The same interval if relays forward loads; longer, as each VM receives all heartbeats."""

COALESCE_SECONDS = 0.005
"""Time for which load changes are collected before they are sent."""

RELAYED_COALESCE_SECONDS = 0.05
"""The same time if relays forward loads. Over three channels it adds up to 0.15 s, in which a
deployment of 80 VMs places about three streams."""


@dataclass(frozen=True)
class _Pending:
    """A load to be sent; ``source`` is the VM it came from, None for this gateway's own."""

    load: PeerLoad
    source: str | None


class LoadRelay:
    """Sends this gateway's load to its peers and forwards loads of others.

    ``plan`` determines which channels exist and to which of them a load is forwarded.

    Parameters
    ----------
    node
        The process, with its identity and timers.
    own_load
        Returns the current load of this gateway.
    channels
        Returns the channels to send on, one for each peer.
    """

    def __init__(
        self,
        node: Node,
        own_load: Callable[[], VmLoad],
        channels: Callable[[], tuple[Channel, ...]],
    ) -> None:
        self._node = node
        self._own_load = own_load
        self._channels = channels
        self._sequence = 0
        self._latest_number_by_vm: dict[str, tuple[int, int]] = {}
        self._pending_by_vm: dict[str, _Pending] = {}
        self._is_flush_due = False
        self._is_own_due = False
        self._last_sent_at = float("-inf")
        self.plan = MeshPlan(frozenset())

    @property
    def heartbeat_seconds(self) -> float:
        """Interval in seconds at which this gateway sends its load if it does not change."""
        return HEARTBEAT_SECONDS if self.plan.is_full else RELAYED_HEARTBEAT_SECONDS

    def schedule_own_load(self) -> None:
        """Send this gateway's load after the collection time."""
        self._is_own_due = True
        self._flush_soon()

    def send_heartbeat(self) -> None:
        """Send this gateway's load if a heartbeat is due; called every ``HEARTBEAT_SECONDS``."""
        if (
            self._node.timers.now() - self._last_sent_at
            > self.heartbeat_seconds - HEARTBEAT_SECONDS / 2
        ):
            self._is_own_due = True
        self._flush()

    def send_own_load(self, channel: Channel) -> None:
        """Send this gateway's load on a new channel."""
        channel.send(PeerLoads((self._next_own_load(),)))

    def forget_vm(self, vm: str) -> None:
        """Accept the next load of a VM even if its incarnation is lower than the last one.

        The incarnation is the start time, so it is lower if a gateway restarts after its clock
        was set back.
        """
        self._latest_number_by_vm.pop(vm, None)

    def update_incarnation(self, vm: str, incarnation: int) -> None:
        """Accept the next load of a VM if ``incarnation`` differs from that of its last load.

        The new incarnation may be the lower one; see ``forget_vm``.
        """
        if self._latest_number_by_vm.get(vm, (incarnation, 0))[0] != incarnation:
            self.forget_vm(vm)

    def receive(self, message: PeerLoads, source: str) -> list[tuple[str, VmLoad]]:
        """Return pairs of VM and load that are newer than the known ones, and forward them.

        Parameters
        ----------
        message
            Loads received from a peer.
        source
            The VM of that peer.
        """
        newer_loads = []
        for each in message.loads:
            number = (each.incarnation, each.number)
            is_own = each.vm == self._node.identity.vm
            if is_own or number <= self._latest_number_by_vm.get(each.vm, (-1, -1)):
                continue
            try:
                load = decode(each.load)
            except CodecError as error:
                logger.bind(peer=each.vm, relay=source, error=str(error)).warning(
                    "invalid load ignored"
                )
                continue
            if not isinstance(load, VmLoad):
                logger.bind(peer=each.vm, relay=source).warning(
                    "load of an unexpected message type ignored"
                )
                continue
            self._latest_number_by_vm[each.vm] = number
            newer_loads.append((each.vm, load))
            if not self.plan.is_full:
                self._pending_by_vm[each.vm] = _Pending(each, source)
                self._flush_soon()
        return newer_loads

    def _flush_soon(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            wait = COALESCE_SECONDS if self.plan.is_full else RELAYED_COALESCE_SECONDS
            self._node.timers.after(wait, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        own = self._node.identity.vm
        if self._is_own_due:
            self._pending_by_vm[own] = _Pending(self._next_own_load(), None)
        pending, self._pending_by_vm = tuple(self._pending_by_vm.values()), {}
        for channel in self._channels():
            loads = tuple(
                each.load
                for each in pending
                if self.plan.should_forward(each.source, channel.peer.vm)
            )
            if loads:
                channel.send(PeerLoads(loads))

    def _next_own_load(self) -> PeerLoad:
        self._sequence += 1
        self._is_own_due = False
        self._last_sent_at = self._node.timers.now()
        identity = self._node.identity
        return PeerLoad(identity.vm, identity.incarnation, self._sequence, encode(self._own_load()))
