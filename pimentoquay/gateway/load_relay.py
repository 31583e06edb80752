"""What each gateway holds, told to all others over the channels of the mesh.

A gateway tells its own load whenever it changes. In a large deployment relays gather the loads that
they hear for a moment and pass each on once, the newest only, still encoded.
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
"""How often the peers hear from a gateway when nothing happens."""

RELAYED_HEARTBEAT_SECONDS = 0.8
"""The same where relays pass it on: each VM receives the heartbeats of all."""

COALESCE_SECONDS = 0.005
"""How long changes of what is held are gathered before they are sent."""

RELAYED_COALESCE_SECONDS = 0.05
"""The same where relays pass them on. Three channels in a row make 0.15 s, in which a deployment of
80 VMs places some three streams."""


@dataclass(frozen=True)
class _Pending:
    """A load that is to be sent, and the VM that it came from; None for this VM's own."""

    load: PeerLoad
    source: str | None


class LoadRelay:
    """Sends this gateway's load and passes on those of others.

    Parameters
    ----------
    node
        The process.
    own_load
        Returns what this gateway holds now.
    channels
        Returns the channels to send on, one a peer.
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
        self._number = 0
        self._newest_by_vm: dict[str, tuple[int, int]] = {}
        self._pending_by_vm: dict[str, _Pending] = {}
        self._is_flush_due = False
        self._is_own_due = False
        self._told_at = float("-inf")
        self.plan = MeshPlan(frozenset())

    @property
    def heartbeat_seconds(self) -> float:
        """How often this gateway tells its load when nothing happens."""
        return HEARTBEAT_SECONDS if self.plan.is_full else RELAYED_HEARTBEAT_SECONDS

    def note_own_changed(self) -> None:
        """Tell this gateway's load soon."""
        self._is_own_due = True
        self._flush_soon()

    def beat(self) -> None:
        """Tell this gateway's load if that is due; called once a heartbeat."""
        if self._node.timers.now() - self._told_at > self.heartbeat_seconds - HEARTBEAT_SECONDS / 2:
            self._is_own_due = True
        self._flush()

    def tell(self, channel: Channel) -> None:
        """Tell this gateway's load on a new channel."""
        channel.send(PeerLoads((self._make_own(),)))

    def forget(self, vm: str) -> None:
        """Take the next load of a VM as new, whatever its incarnation.

        A gateway that starts again after its time of day has gone back has a lower one.
        """
        self._newest_by_vm.pop(vm, None)

    def meet(self, vm: str, incarnation: int) -> None:
        """Note which incarnation of a VM is there now."""
        if self._newest_by_vm.get(vm, (incarnation, 0))[0] != incarnation:
            self.forget(vm)

    def take(self, loads: PeerLoads, source: str) -> list[tuple[str, VmLoad]]:
        """Return the loads that are newer than those known, by VM, and pass them on."""
        news = []
        for each in loads.loads:
            number = (each.incarnation, each.number)
            is_own = each.vm == self._node.identity.vm
            if is_own or number <= self._newest_by_vm.get(each.vm, (-1, -1)):
                continue
            try:
                load = decode(each.load)
            except CodecError as error:
                logger.bind(peer=each.vm, relay=source, error=str(error)).warning("unreadable load")
                continue
            if not isinstance(load, VmLoad):
                logger.bind(peer=each.vm, relay=source).warning("a load of another type ignored")
                continue
            self._newest_by_vm[each.vm] = number
            news.append((each.vm, load))
            if not self.plan.is_full:
                self._pending_by_vm[each.vm] = _Pending(each, source)
                self._flush_soon()
        return news

    def _flush_soon(self) -> None:
        if not self._is_flush_due:
            self._is_flush_due = True
            wait = COALESCE_SECONDS if self.plan.is_full else RELAYED_COALESCE_SECONDS
            self._node.timers.after(wait, self._flush)

    def _flush(self) -> None:
        self._is_flush_due = False
        own = self._node.identity.vm
        if self._is_own_due:
            self._pending_by_vm[own] = _Pending(self._make_own(), None)
        pending, self._pending_by_vm = tuple(self._pending_by_vm.values()), {}
        for channel in self._channels():
            loads = tuple(
                each.load
                for each in pending
                if self.plan.should_forward(each.source, channel.peer.vm)
            )
            if loads:
                channel.send(PeerLoads(loads))

    def _make_own(self) -> PeerLoad:
        self._number += 1
        self._is_own_due = False
        self._told_at = self._node.timers.now()
        identity = self._node.identity
        return PeerLoad(identity.vm, identity.incarnation, self._number, encode(self._own_load()))
