"""Whether a VM may have missed that a second software version serves, or where streams began.

Failure pattern: a VM is cut off from the others or stands still while engines of another version
join. Streams begin there through other VMs, break, and are taken up at this VM, which knows one
version only. It may take that version for theirs only if it would have been told of any other. If
not, it reads the store first, which holds each version before streams begin at it.

Load pattern: a VM ends, and hundreds of its streams are taken up within a second. Calls to the
store have a price, so a VM that is in touch makes none, and streams that come together share one
read.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

__all__ = ["Contact", "Doubt", "HeardPeers", "Standstill", "Verdict", "find_doubt", "judge"]

STANDSTILL_SECONDS = 0.5
"""Time without a tick after which a process counts as having stood still."""

SETTLE_SECONDS = 2.0
"""Time after a standstill in which messages that waited meanwhile may still be unread.

A list that seems fresh later was read after the standstill.
"""


class Doubt(Enum):
    """Why a VM may not know all versions that serve."""

    NOT_LOADED = "not loaded"
    STOOD_STILL = "stood still"
    PEER_UNHEARD = "peer not heard"
    LIST_OLD = "list old"


@dataclass(frozen=True)
class Contact:
    """How well a VM is in touch with the others; ages are in seconds.

    ``unheard`` are the peers that it has not heard for a short time, ``missing`` those and the ones
    that it has not heard for long. ``is_full`` is whether all VMs are peers of each other.
    ``list_age`` is the time since it or a VM that it hears read the list of engines,
    ``max_list_age`` the highest one while all is well.
    """

    is_loaded: bool
    has_stood_still: bool
    unheard: Collection[str]
    missing: Collection[str]
    is_full: bool
    list_age: float
    max_list_age: float


def find_doubt(contact: Contact) -> Doubt | None:
    """Return why a VM may have missed a version, or ``None`` if it would have been told.

    Failure pattern: a VM that is cut off or stands still during a release.

    Example
    -------
    >>> find_doubt(Contact(True, False, ["vm-2"], ["vm-2"], True, 0.3, 1.4))
    <Doubt.PEER_UNHEARD: 'peer not heard'>
    >>> find_doubt(Contact(True, False, [], [], True, 0.3, 1.4)) is None
    True
    """
    if not contact.is_loaded:
        return Doubt.NOT_LOADED
    if contact.has_stood_still:
        return Doubt.STOOD_STILL
    is_list_old = contact.list_age > contact.max_list_age
    if contact.unheard or (contact.missing and is_list_old):
        return Doubt.PEER_UNHEARD
    # Where all are heard, each would have told of a list that it has read.
    return Doubt.LIST_OLD if is_list_old and not contact.is_full else None


class Verdict(Enum):
    """What to do with a stream that a caller takes up and whose origin is not known."""

    ONLY_VERSION = "goes on at the only version"
    READ = "waits until the store has been read"
    COME_BACK = "is refused for now"
    REFUSE = "is refused"


def judge(served: Collection[str], doubt: Doubt | None, has_read: bool | None) -> Verdict:
    """Return what to do with a stream that nobody has told of.

    Failure pattern: a VM that is out of step takes the only version that it knows for the one that
    began the stream.

    Parameters
    ----------
    served
        Versions that are known to have served within the longest life of a stream.
    doubt
        Why there may be others.
    has_read
        Whether the store has been read since the stream came, ``None`` before that was tried.

    Example
    -------
    >>> judge({"v1"}, None, None)
    <Verdict.ONLY_VERSION: 'goes on at the only version'>
    >>> judge({"v1"}, Doubt.STOOD_STILL, False)
    <Verdict.COME_BACK: 'is refused for now'>
    """
    if doubt is not None and has_read is None:
        return Verdict.READ
    # The list is old though all peers are heard: none of them can read it either.
    is_certain = doubt is None or has_read or doubt is Doubt.LIST_OLD
    if is_certain and len(served) <= 1:
        return Verdict.ONLY_VERSION
    return Verdict.REFUSE if doubt is None else Verdict.COME_BACK


class HeardPeers:
    """When one VM last heard the others that it expects to hear.

    A VM sends all that it knows on a new channel, and its heartbeats after that. So a heartbeat
    shows that everything sent before has arrived, and one is needed anew after a channel was opened
    or closed.

    Parameters
    ----------
    forget_seconds
        Time after which a VM that is not heard counts as gone.

    Example
    -------
    >>> peers = HeardPeers(forget_seconds=15.0)
    >>> peers.expect(["vm-2"], now=0.0)
    >>> peers.unheard(now=0.1, timeout=0.5)
    frozenset({'vm-2'})
    >>> peers.record_heartbeat("vm-2", now=0.2)
    >>> peers.unheard(now=0.3, timeout=0.5)
    frozenset()
    """

    def __init__(self, forget_seconds: float) -> None:
        self._forget_seconds = forget_seconds
        self._heard_at_by_vm: dict[str, float] = {}
        self._missed_since_by_vm: dict[str, float] = {}
        self._expected: frozenset[str] = frozenset()

    @property
    def expected(self) -> frozenset[str]:
        """The VMs that this one expects to hear."""
        return self._expected

    def expect(self, vms: Collection[str], now: float) -> None:
        """Set the VMs that are expected to be heard."""
        for vm in self._expected.difference(vms):
            self._heard_at_by_vm.pop(vm, None)
            self._missed_since_by_vm.pop(vm, None)
        self._expected = frozenset(vms)
        for vm in self._expected - self._heard_at_by_vm.keys():
            self._missed_since_by_vm.setdefault(vm, now)

    def record_heartbeat(self, vm: str, now: float) -> None:
        """Record a heartbeat that came on a channel to a VM."""
        if vm in self._expected:
            self._heard_at_by_vm[vm] = now
            self._missed_since_by_vm.pop(vm, None)

    def record_interruption(self, vm: str, now: float) -> None:
        """Record that a channel to a VM was opened or closed."""
        if self._heard_at_by_vm.pop(vm, None) is not None:
            self._missed_since_by_vm[vm] = now

    def unheard(self, now: float, timeout: float) -> frozenset[str]:
        """Return the missing VMs that have not been missing for so long that they are gone."""
        since_by_vm = self.missing_since(now, timeout)
        return frozenset(
            vm for vm, since in since_by_vm.items() if now - since <= self._forget_seconds
        )

    def missing_since(self, now: float, timeout: float) -> dict[str, float]:
        """Return the expected VMs without a heartbeat in ``timeout`` seconds, and since when."""
        late = {vm: at for vm, at in self._heard_at_by_vm.items() if now - at > timeout}
        return {**self._missed_since_by_vm, **late}


class Standstill:
    """When a process last stood still, as a frozen process or a suspended VM does.

    Times are of a clock that runs on meanwhile.

    Example
    -------
    >>> standstill = Standstill(0.0)
    >>> standstill.tick(0.2)
    >>> standstill.is_recent(0.3), standstill.is_recent(6.0)
    (False, True)
    """

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._ended_at = float("-inf")

    def tick(self, now: float) -> None:
        """Record that the process runs; to be called every fraction of ``STANDSTILL_SECONDS``."""
        if now - self._ticked_at > STANDSTILL_SECONDS:
            self._ended_at = now
        self._ticked_at = now

    def is_recent(self, now: float) -> bool:
        """Return whether the process has stood still just now or a short time ago."""
        self.tick(now)
        return now - self._ended_at < SETTLE_SECONDS
