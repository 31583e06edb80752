"""Which peers have been heard lately; pure, with the time passed in."""

from dataclasses import dataclass

from pimentoquay.messages.cluster import Heartbeat

__all__ = ["PeerLiveness"]


@dataclass
class _Heard:
    heartbeat: Heartbeat
    heard_at: float
    closed_at: float | None = None


class PeerLiveness:
    """Heartbeats by VM and when each was heard.

    Parameters
    ----------
    silent_after
        Seconds without a heartbeat after which a peer counts as dead.
    closed_after
        Seconds after its last channel closed at which a peer counts as dead. A peer that merely
        lost its connection has dialled again by then.
    """

    def __init__(self, silent_after: float, closed_after: float) -> None:
        self._silent_after = silent_after
        self._closed_after = closed_after
        self._heard_by_vm: dict[str, _Heard] = {}

    def hear(self, heartbeat: Heartbeat, now: float) -> bool:
        """Note a heartbeat; return whether it tells anything new."""
        known = self._heard_by_vm.get(heartbeat.vm)
        was_alive = self.is_alive(heartbeat.vm, now)
        self._heard_by_vm[heartbeat.vm] = _Heard(heartbeat, now)
        if known is None or not was_alive:
            return True
        before = known.heartbeat
        return (before.incarnation, before.leaving) != (heartbeat.incarnation, heartbeat.leaving)

    def note_closed(self, vm: str, now: float) -> None:
        """Note that no channel to a VM is left."""
        if vm in self._heard_by_vm:
            self._heard_by_vm[vm].closed_at = now

    def is_alive(self, vm: str, now: float) -> bool:
        """Tell whether a VM counts as alive."""
        heard = self._heard_by_vm.get(vm)
        if heard is None or now - heard.heard_at >= self._silent_after:
            return False
        return heard.closed_at is None or now - heard.closed_at < self._closed_after

    def alive_vms(self, now: float) -> tuple[str, ...]:
        """Return every VM that counts as alive."""
        return tuple(vm for vm in self._heard_by_vm if self.is_alive(vm, now))

    def is_leaving(self, vm: str) -> bool:
        """Tell whether a VM announced that it is leaving."""
        heard = self._heard_by_vm.get(vm)
        return heard is not None and heard.heartbeat.leaving

    def can_read_list(self, vm: str) -> bool:
        """Tell whether a VM last said that it can read the membership list."""
        heard = self._heard_by_vm.get(vm)
        return heard is not None and heard.heartbeat.list_readable

    def heartbeat_of(self, vm: str) -> Heartbeat | None:
        """Return the last heartbeat of a VM."""
        heard = self._heard_by_vm.get(vm)
        return heard.heartbeat if heard is not None else None

    def heard_vms(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs of a data centre that were ever heard and are still remembered."""
        return tuple(
            vm
            for vm, heard in self._heard_by_vm.items()
            if heard.heartbeat.data_centre == data_centre
        )

    def forget_dead(self, now: float, keep: float) -> None:
        """Drop VMs that have been silent for ``keep`` seconds."""
        for vm, heard in list(self._heard_by_vm.items()):
            if now - heard.heard_at > keep:
                del self._heard_by_vm[vm]
