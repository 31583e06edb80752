"""Exchange of load reports between gateways that all have channels to each other.

A gateway sends its own load whenever it changes. In a larger deployment, with relays, loads are not
exchanged; coordinators place the streams there (``gateway/pool_coordinator.py``).
"""

from collections.abc import Callable

from pimentoquay.kernel import Channel, Node
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.fleet import PeerLoad, PeerLoads, VmLoad

__all__ = ["HEARTBEAT_SECONDS", "LoadExchange"]

HEARTBEAT_SECONDS = 0.4
"""Interval at which a gateway sends its load if the load does not change."""

COALESCE_SECONDS = 0.005
"""Time for which load changes are collected before they are sent."""


class LoadExchange:
    """Sends this gateway's load to its peers and decodes theirs.

    ``is_active`` is false in a deployment with relays, in which no loads are sent.

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
        self._is_send_due = False
        self.is_active = True

    def schedule_own_load(self) -> None:
        """Send this gateway's load after the collection time."""
        if self.is_active and not self._is_send_due:
            self._is_send_due = True
            self._node.timers.after(COALESCE_SECONDS, self.send_to_all)

    def send_to_all(self) -> None:
        """Send this gateway's load to all peers; called every ``HEARTBEAT_SECONDS``."""
        self._is_send_due = False
        channels = self._channels() if self.is_active else ()
        if channels:
            message = self._next_own_load()
            for channel in channels:
                channel.send(message)

    def send_own_load(self, channel: Channel) -> None:
        """Send this gateway's load on a new channel."""
        if self.is_active:
            channel.send(self._next_own_load())

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
        """Return pairs of VM and load that are newer than the known ones.

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
        return newer_loads

    def _next_own_load(self) -> PeerLoads:
        self._sequence += 1
        identity = self._node.identity
        load = encode(self._own_load())
        return PeerLoads((PeerLoad(identity.vm, identity.incarnation, self._sequence, load),))
