"""Liveness of relays, judged by their heartbeats.

Load pattern: hundreds of VMs. If all heard the heartbeats of all, each VM's work would grow with
their number. Only relays send heartbeats to all, and every other VM counts as alive until it is
needed as a relay and is not heard.

Failure pattern: any number of VMs fail at once. Relays that are not heard are suspected, and the
next VMs of the order replace them; those among them that are not heard either are replaced in turn.
"""

from collections.abc import Collection

__all__ = ["RelayLiveness"]

SUSPICION_SECONDS = 15.0
"""Time after which a suspected VM is expected again, in seconds."""


class RelayLiveness:
    """Relays that one VM expects to hear, and those that it suspects to have failed.

    Parameters
    ----------
    timeout
        Time in seconds without a heartbeat after which a relay is suspected.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._expected_since_by_vm: dict[str, float] = {}
        self._heard_at_by_vm: dict[str, float] = {}
        self._suspected_at_by_vm: dict[str, float] = {}

    def expect(self, vms: Collection[str], now: float) -> None:
        """Set the relays whose heartbeats are expected."""
        for vm in tuple(self._expected_since_by_vm):
            if vm not in vms:
                del self._expected_since_by_vm[vm]
        for vm in vms:
            self._expected_since_by_vm.setdefault(vm, now)

    def record(self, vm: str, now: float) -> None:
        """Record a heartbeat of a relay."""
        self._heard_at_by_vm[vm] = now
        self._suspected_at_by_vm.pop(vm, None)

    def is_heard(self, vm: str, now: float) -> bool:
        """Return whether a relay's heartbeat was received within the timeout."""
        return now - self._heard_at_by_vm.get(vm, float("-inf")) <= self._timeout

    def suspected(self, now: float) -> frozenset[str]:
        """Return the VMs that are suspected to have failed."""
        for vm, since in self._expected_since_by_vm.items():
            last = max(since, self._heard_at_by_vm.get(vm, since))
            if now - last > self._timeout:
                self._suspected_at_by_vm.setdefault(vm, now)
        for vm, suspected_at in tuple(self._suspected_at_by_vm.items()):
            if vm not in self._expected_since_by_vm and now - suspected_at > SUSPICION_SECONDS:
                del self._suspected_at_by_vm[vm]
        return frozenset(self._suspected_at_by_vm)
