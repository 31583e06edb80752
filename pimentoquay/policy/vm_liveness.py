"""Which VMs are gone for good, so that their records are removed from the platform's store.

Load pattern: machines that are replaced one after the other or many at once, each by one of another
name, thousands of times; two to a thousand VMs, of which a reader hears all, or each of its relays.

Failure pattern: VMs that are cut off are not gone, and a few VMs that hear each other only are not
all that are alive. A VM whose process was seen to end is gone. One that has fallen silent is gone
if most voters of allowances are heard, and otherwise after a longer time. A removed record is a
question: a VM that runs writes it again, and it counts all the while (``REMOVED_SECONDS``). A
granter without news of the store, which may not learn of its removal, must hold as many of the
votes as the others then lack.
"""

import math
from collections.abc import Collection, Mapping

from pimentoquay.policy.allowance_leases import SPARE_VOTES, voters_of

__all__ = ["READ_SECONDS", "REMOVED_SECONDS", "VmLiveness", "least_votes"]

ENDED_SECONDS = 0.2
"""Time after the end of a VM's process was seen in which its channel may be opened anew. If it
starts later, it writes its record again."""

OTHERS_SECONDS = 0.4
"""Additional time after which gateways other than the reader of the store remove a record."""

HEARD_SECONDS = 1.6
"""Time since a VM was last heard up to which it counts as heard; four heartbeats."""

SILENT_SECONDS = 2.4
"""Silence after which a VM may be gone. VMs that were cut off together have all been silent for
longer than ``HEARD_SECONDS`` then, though their last heartbeats differ by up to one interval."""

HEARD_BY_RELAY_SECONDS = 8.0
"""The same as ``HEARD_SECONDS`` for VMs that are heard by relays, which report at intervals."""

SILENT_BEHIND_RELAYS_SECONDS = 16.0
"""The same as ``SILENT_SECONDS`` with relays; a VM has found another relay then, and its requests
have ended."""

MINORITY_SECONDS = 60.0
"""Silence after which a VM is gone however few VMs are heard."""

REMOVED_SECONDS = 10.0
"""Time for which a VM still counts after the removal of its record, so that it can write it again.
It reads the store every ``READ_SECONDS`` while it misses VMs."""

READ_SECONDS = 2.0
"""Interval of reads of the records while VMs are missing or have just been removed."""

CHALLENGE_SECONDS = 30.0
"""Time after which the record of a silent VM that has written it again may be removed again; it
doubles each time."""

MAX_CHALLENGE_SECONDS = 300.0
"""Longest time between two removals of the record of a VM that writes it again."""

NO_NEWS_SECONDS = 6.0
"""Time without news of the store from which a granter needs half of the votes. The others count its
VM for longer: ``SILENT_SECONDS`` and ``REMOVED_SECONDS``."""

LONG_WITHOUT_NEWS_SECONDS = 30.0
"""Time without news of the store from which a granter needs nearly all votes."""


def least_votes(seconds_without_news: float) -> float:
    """Return the share of the votes below which a granter earns nothing.

    Failure pattern: a part of the VMs reaches neither the store nor the others, which may have
    taken its VMs for gone and count their own votes only.

    Example
    -------
    >>> least_votes(1.0), least_votes(10.0), least_votes(100.0)
    (0.0, 0.5, 0.8)
    """
    if seconds_without_news < NO_NEWS_SECONDS:
        return 0.0
    return 0.5 if seconds_without_news < LONG_WITHOUT_NEWS_SECONDS else 1.0 - SPARE_VOTES


class VmLiveness:
    """When each known VM was last heard by one gateway, and which of them are gone.

    Parameters
    ----------
    own
        Name of this VM, which is never gone.
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._updated_at = -math.inf
        self._heard_at_by_vm: dict[str, float] = {}
        self._ended_at_by_vm: dict[str, float] = {}
        self._challenges_by_vm: dict[str, tuple[float, int]] = {}

    def update(
        self, known: Collection[str], heard_at_by_vm: Mapping[str, float], now: float
    ) -> None:
        """Apply when the VMs were last heard.

        All VMs count as heard after a time in which this process did not run.
        """
        stood_still = now - self._updated_at > HEARD_SECONDS
        self._updated_at = now
        for by_vm in (self._heard_at_by_vm, self._ended_at_by_vm, self._challenges_by_vm):
            for vm in by_vm.keys() - set(known):
                by_vm.pop(vm)
        for vm in known:
            heard_at = heard_at_by_vm.get(vm, -math.inf)
            before = self._heard_at_by_vm.get(vm, now)
            self._heard_at_by_vm[vm] = now if stood_still else max(before, heard_at)
            if heard_at > self._ended_at_by_vm.get(vm, math.inf):
                del self._ended_at_by_vm[vm]

    def record_end(self, vm: str, now: float) -> None:
        """Record that the process of a VM was seen to end."""
        if vm in self._heard_at_by_vm:
            self._ended_at_by_vm[vm] = now

    def record_removal(self, vm: str, now: float) -> None:
        """Record that the record of a VM is removed."""
        _, count = self._challenges_by_vm.get(vm, (now, 0))
        self._challenges_by_vm[vm] = now, count + 1

    def missing(self, now: float, has_relays: bool) -> frozenset[str]:
        """Return the VMs that have been silent for long, or whose process has ended."""
        limit = SILENT_BEHIND_RELAYS_SECONDS if has_relays else SILENT_SECONDS
        silent = {vm for vm, at in self._heard_at_by_vm.items() if now - at > limit}
        ended = {vm for vm, at in self._ended_at_by_vm.items() if now - at > ENDED_SECONDS}
        return frozenset((silent | ended) - {self._own})

    def gone(
        self, data_centre_by_vm: Mapping[str, str], now: float, has_relays: bool, is_reader: bool
    ) -> frozenset[str]:
        """Return the VMs that are gone, of those whose records are not removed.

        Parameters
        ----------
        data_centre_by_vm
            Data centres of the VMs whose records are not removed.
        now
            Present time in seconds.
        has_relays
            Whether VMs are heard by relays.
        is_reader
            Whether this gateway reads the store for its peers; the others wait longer.
        """
        delay = 0.0 if is_reader else OTHERS_SECONDS
        missing = self.missing(now - delay, has_relays) & data_centre_by_vm.keys()
        if not missing:
            return frozenset()
        window = HEARD_BY_RELAY_SECONDS if has_relays else HEARD_SECONDS
        voters = voters_of(data_centre_by_vm)
        heard = {vm for vm in voters if vm == self._own or self._age(vm, now) <= window}
        is_majority = 2 * len(heard) > len(voters)
        return frozenset(
            vm
            for vm in missing
            if is_majority or vm in self._ended_at_by_vm or self._age(vm, now) > MINORITY_SECONDS
            if self._may_challenge(vm, now)
        )

    def _age(self, vm: str, now: float) -> float:
        return now - self._heard_at_by_vm.get(vm, now)

    def _may_challenge(self, vm: str, now: float) -> bool:
        if vm not in self._challenges_by_vm:
            return True
        at, count = self._challenges_by_vm[vm]
        return now - at > min(MAX_CHALLENGE_SECONDS, CHALLENGE_SECONDS * 2.0 ** (count - 1))
