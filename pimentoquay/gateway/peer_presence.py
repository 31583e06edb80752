"""Which peers are heard, and which were lost a short time ago."""

from collections.abc import Callable, Collection, Iterable

__all__ = ["PeerPresence"]

LOST_PEER_SECONDS = 15.0
"""Time for which a lost peer may still run requests; the longest timeout of callers. A peer that
has ended runs none, but cannot be distinguished from one that is cut off."""

LOST_PEER_SHARE = 0.1
"""Share of lost VMs above which the known loads count as incomplete; one lost VM of seven exceeds
it, one of eighty does not."""


class PeerPresence:
    """Times at which the peers of this gateway were heard and lost.

    ``last_seen_at_by_vm`` holds the peers that are heard, ``last_direct_at_by_vm`` the times at
    which something arrived on a channel to them.

    Parameters
    ----------
    now
        Returns the monotonic time in seconds.
    settle_seconds
        Time after the start in which there may be peers that have not been heard yet.
    """

    def __init__(self, now: Callable[[], float], settle_seconds: float) -> None:
        self._now = now
        self._started_at = now()
        self._settle_seconds = settle_seconds
        self.last_seen_at_by_vm: dict[str, float] = {}
        self.last_direct_at_by_vm: dict[str, float] = {}
        self._lost_at_by_vm: dict[str, float] = {}

    def record_direct(self, vm: str) -> None:
        """Record that something arrived from a peer on a channel to it."""
        self.last_direct_at_by_vm[vm] = self._now()
        self.record_seen((vm,))

    def record_seen(self, vms: Iterable[str]) -> None:
        """Record that peers were heard, directly or through others."""
        for vm in vms:
            self.last_seen_at_by_vm[vm] = self._now()

    def record_alive(self, vm: str) -> None:
        """Record that a peer that was lost runs again."""
        self._lost_at_by_vm.pop(vm, None)

    def drop(self, vm: str, has_announced: bool) -> bool:
        """Record that a peer is gone; return whether it was heard before.

        ``has_announced`` is whether it has said that it stops; else it counts as lost.
        """
        if self.last_seen_at_by_vm.pop(vm, None) is None:
            return False
        if not has_announced:
            self._lost_at_by_vm[vm] = self._now()
        return True

    def forget_vm(self, vm: str) -> None:
        """Forget when a VM that is gone was heard."""
        if vm not in self.last_seen_at_by_vm:
            self.last_direct_at_by_vm.pop(vm, None)

    def silent(self, timeout: float) -> tuple[str, ...]:
        """Return the peers that have not been heard for ``timeout`` seconds."""
        now = self._now()
        return tuple(vm for vm, at in self.last_seen_at_by_vm.items() if now - at > timeout)

    def is_channel_silent(self, vm: str, timeout: float) -> bool:
        """Return whether nothing has arrived on a channel to a peer for ``timeout`` seconds."""
        now = self._now()
        return now - self.last_direct_at_by_vm.get(vm, now) > timeout

    def has_incomplete_view(self, vms: int) -> bool:
        """Return whether too many of all VMs may still be running whose loads are unknown here."""
        is_settling = self._now() - self._started_at < self._settle_seconds
        return is_settling or len(self._recently_lost()) > LOST_PEER_SHARE * vms

    def may_be_running(self, known: Collection[str]) -> frozenset[str]:
        """Return the peers that are heard or may still run requests.

        All known VMs may, as long as this gateway has not had time to hear of them.
        """
        if self._now() - self._started_at < LOST_PEER_SECONDS:
            return frozenset(known) | self.last_seen_at_by_vm.keys()
        return frozenset(self.last_seen_at_by_vm) | self._recently_lost()

    def _recently_lost(self) -> frozenset[str]:
        now = self._now()
        return frozenset(
            vm for vm, at in self._lost_at_by_vm.items() if now - at < LOST_PEER_SECONDS
        )
