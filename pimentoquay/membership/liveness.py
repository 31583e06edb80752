"""Liveness of peers by their last heartbeat; does no I/O, callers pass the time in seconds."""

from dataclasses import dataclass

from pimentoquay.messages.cluster import Heartbeat

__all__ = ["PeerLiveness"]


@dataclass
class _PeerHeartbeat:
    heartbeat: Heartbeat
    received_at: float
    closed_at: float | None = None


class PeerLiveness:
    """Last heartbeat of each VM and whether the VM counts as alive.

    Parameters
    ----------
    silent_after
        Time without a heartbeat after which a peer counts as dead, in seconds.
    closed_after
        Time without an open channel after which a peer counts as dead, in seconds. A peer that only
        lost its connection reconnects within this time.
    """

    def __init__(self, silent_after: float, closed_after: float) -> None:
        self._silent_after = silent_after
        self._closed_after = closed_after
        self._heartbeat_by_vm: dict[str, _PeerHeartbeat] = {}

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether liveness, incarnation or leaving has changed."""
        known = self._heartbeat_by_vm.get(heartbeat.vm)
        was_alive = self.is_alive(heartbeat.vm, now)
        self._heartbeat_by_vm[heartbeat.vm] = _PeerHeartbeat(heartbeat, now)
        if known is None or not was_alive:
            return True
        before = known.heartbeat
        return (before.incarnation, before.leaving) != (heartbeat.incarnation, heartbeat.leaving)

    def note_closed(self, vm: str, now: float) -> None:
        """Record that the last channel to a VM was closed."""
        if vm in self._heartbeat_by_vm:
            self._heartbeat_by_vm[vm].closed_at = now

    def is_alive(self, vm: str, now: float) -> bool:
        """Return whether a VM counts as alive."""
        peer = self._heartbeat_by_vm.get(vm)
        if peer is None or now - peer.received_at >= self._silent_after:
            return False
        return peer.closed_at is None or now - peer.closed_at < self._closed_after

    def alive_vms(self, now: float) -> tuple[str, ...]:
        """Return every VM that counts as alive."""
        return tuple(vm for vm in self._heartbeat_by_vm if self.is_alive(vm, now))

    def is_leaving(self, vm: str) -> bool:
        """Return whether the last heartbeat of a VM said that it is leaving."""
        peer = self._heartbeat_by_vm.get(vm)
        return peer is not None and peer.heartbeat.leaving

    def can_read_list(self, vm: str) -> bool:
        """Return whether the last heartbeat of a VM said that it can read the list."""
        peer = self._heartbeat_by_vm.get(vm)
        return peer is not None and peer.heartbeat.list_readable

    def heartbeat_of(self, vm: str) -> Heartbeat | None:
        """Return the last heartbeat of a VM."""
        peer = self._heartbeat_by_vm.get(vm)
        return peer.heartbeat if peer is not None else None

    def known_vms(self, data_centre: str) -> tuple[str, ...]:
        """Return the VMs of a data centre with a known heartbeat, alive or not."""
        return tuple(
            vm
            for vm, peer in self._heartbeat_by_vm.items()
            if peer.heartbeat.data_centre == data_centre
        )

    def forget_dead(self, now: float, keep: float) -> None:
        """Discard VMs that have sent no heartbeat for ``keep`` seconds."""
        for vm, peer in list(self._heartbeat_by_vm.items()):
            if now - peer.received_at > keep:
                del self._heartbeat_by_vm[vm]
