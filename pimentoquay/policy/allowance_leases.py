"""Leases by which at most one gateway at a time grants each part of a workspace's allowance.

Load pattern: a few streams a second of one workspace, spread over tens or hundreds of gateways,
each of which needs more units than an equal share earns in seconds. One gateway has to count them.

Failure pattern: the granting gateway is killed, suspended, or cut off with some of the others, and
gateways know different VMs. Some VMs are voters, and each lends its vote for a workspace to one
granter at a time: the first, by a hash of both names, of those that have asked for it lately. A
granter earns the part of the allowance that corresponds to its votes. A vote ends some time after
it was asked for, by the clock of the granter, and a voter lends it to another only once it must
have ended, so that parts that are granted at the same time never exceed the whole. Nothing depends
on which granters a gateway knows or on clocks of different VMs that agree.
"""

import functools
import hashlib
import math
import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from pimentoquay.messages.allowances import Lease, LeaseRequest
from pimentoquay.policy.mesh_plan import RELAYS_PER_VM, VMS_PER_RELAY, hash_rank, needs_relays

__all__ = [
    "REQUEST_SECONDS",
    "GranterLeases",
    "LeaseVoter",
    "Members",
    "first_granter",
    "granters_of",
    "part_of",
    "voters_of",
    "workspace_rank",
]

LEASE_SECONDS = 0.8
"""Time from a granter's request for which the vote is valid. It covers a round trip of 0.4 s after
an interval of the requests; a granter that has failed is replaced after it."""

VOTER_LEASE_SECONDS = 0.85
"""Time after which a voter takes its vote as ended, longer for clocks that run at unequal speed."""

REQUEST_SECONDS = 0.25
"""Interval of the requests for votes."""

URGENT_REQUEST_SECONDS = 0.1
"""Interval while requests of callers wait at a granter without votes."""

SETTLE_SECONDS = 0.8
"""Time after it has learned of other VMs in which a granter does not ask for votes."""

FIRST_LEASE_SECONDS = 1.15
"""Time after its start from which a VM lends its votes. Those lent by an earlier start have ended
then, and granters that were started at the same time have asked, so that the first of them gets the
votes without a wait for others to lose them."""

ADOPT_SECONDS = 2.0
"""Time after which a new VM counts as a voter. By then it has started, and knows the others."""

NEWCOMER_SECONDS = 4.0
"""Time in which a granter that has just started earns nothing while a voter knows fewer VMs: those
that ran before it was added with others may still count the votes of these VMs only."""

MAX_GRANTERS_IN_MESH = 6
"""Granters in a full mesh; with relays, they are those of an undisturbed plan."""

MAX_VOTERS = 16
"""Voters, which are spread over the data centres in proportion to their VMs. More of them follow
a cut through a data centre more closely, at the cost of a message per granter and interval."""

SPARE_VOTES = 0.2
"""Share of the votes that a granter may lack and still earn the whole allowance, so that VMs that
are gone don't lower it. As many votes earn nothing on the other side of a cut."""

OLD_BUILD_SECONDS = 5.0
"""Time in which a voter that is heard, but has never answered, must run a build without leases."""

MAX_CACHED_RANKS = 50_000
"""Entries of the cache of which granter comes first for a workspace."""


def granters_of(data_centre_by_vm: Mapping[str, str]) -> frozenset[str]:
    """Return the VMs that may grant allowances."""
    if not needs_relays(len(data_centre_by_vm)):
        return frozenset(sorted(data_centre_by_vm, key=hash_rank)[:MAX_GRANTERS_IN_MESH])
    chosen: set[str] = set()
    for vms in _vms_by_data_centre(data_centre_by_vm).values():
        chosen.update(vms[: max(RELAYS_PER_VM, math.ceil(len(vms) / VMS_PER_RELAY))])
    return frozenset(chosen)


def voters_of(data_centre_by_vm: Mapping[str, str]) -> frozenset[str]:
    """Return the VMs whose votes count."""
    count = len(data_centre_by_vm)
    if count <= MAX_VOTERS:
        return frozenset(data_centre_by_vm)
    chosen: set[str] = set()
    for vms in _vms_by_data_centre(data_centre_by_vm).values():
        chosen.update(vms[: max(1, round(MAX_VOTERS * len(vms) / count))])
    return frozenset(chosen)


def part_of(votes: float) -> float:
    """Return the part of an allowance that a share of the votes earns.

    Failure pattern: VMs that are gone, and cuts. The parts of all sides of a cut are at most 1.

    Example
    -------
    >>> part_of(0.5), part_of(0.85), part_of(0.2)
    (0.5, 1.0, 0.0)
    """
    return min(1.0, max(0.0, (votes - SPARE_VOTES) / (1.0 - 2.0 * SPARE_VOTES)))


def first_granter(granters: Iterable[str], workspace: str) -> str | None:
    """Return the granter that comes first for a workspace."""
    return min(granters, key=lambda vm: workspace_rank(workspace, vm), default=None)


def workspace_rank(workspace: str, vm: str) -> bytes:
    """Return a value by which all VMs order the granters of a workspace alike."""
    return hashlib.blake2b(f"{workspace} {vm}".encode(), digest_size=8).digest()


def _vms_by_data_centre(data_centre_by_vm: Mapping[str, str]) -> dict[str, list[str]]:
    vms: dict[str, list[str]] = {}
    for vm in sorted(data_centre_by_vm, key=hash_rank):
        vms.setdefault(data_centre_by_vm[vm], []).append(vm)
    return vms


def _list_id(granters: tuple[str, ...]) -> int:
    return zlib.crc32("\n".join(granters).encode())


@dataclass
class Members:
    """VMs that one gateway knows.

    Failure pattern: many VMs that are added at once. They count as voters only after a while, in
    which the votes of the others still decide. A VM that knows no others yet, as it could not read
    the store, has no members at all. ``started_at`` is the time at which it first had some.
    """

    started_at: float = math.inf
    known: dict[str, str] = field(default_factory=dict)
    adopted: dict[str, str] = field(default_factory=dict)
    _since_by_vm: dict[str, float] = field(default_factory=dict)
    _is_settled: bool = False
    granters: frozenset[str] = frozenset()
    voters: frozenset[str] = frozenset()
    next_voters: frozenset[str] = frozenset()

    def update(self, data_centre_by_vm: Mapping[str, str], now: float) -> None:
        """Apply the VMs that are known now, and count those that have been known for a while."""
        if not self.known and data_centre_by_vm:
            self.started_at = now
        if data_centre_by_vm is not self.known and data_centre_by_vm != self.known:
            since = now if now - self.started_at > SETTLE_SECONDS else -math.inf
            self.known = dict(data_centre_by_vm)
            self._since_by_vm = {vm: self._since_by_vm.get(vm, since) for vm in self.known}
            self.granters = granters_of(self.known)
            self.next_voters = voters_of(self.known)
            self._is_settled = False
        if not self._is_settled:
            self._is_settled = all(now - at >= ADOPT_SECONDS for at in self._since_by_vm.values())
            adopted = {
                vm: each
                for vm, each in self.known.items()
                if now - self._since_by_vm[vm] >= ADOPT_SECONDS
            }
            if adopted != self.adopted:
                self.adopted, self.voters = adopted, voters_of(adopted)


class LeaseVoter:
    """Lends the votes of one VM.

    Failure pattern: a granter that falls silent keeps its votes until they must have ended, and one
    that begins gets them when those of the granters after it end. Until then these keep theirs.

    Parameters
    ----------
    now
        Present time in seconds. Votes lent by an earlier start of this VM may still be valid.
    """

    def __init__(self, now: float) -> None:
        self._lends_at = now + FIRST_LEASE_SECONDS
        self._asked_at_by_granter: dict[str, float] = {}
        self._lends_from_by_granter: dict[str, float] = {}

    def lend(self, granter: str, request: LeaseRequest, vm_count: int, now: float) -> Lease | None:
        """Return a lease for a granter, or ``None`` if others may still have its votes."""
        asked_at, lends_from = self._asked_at_by_granter, self._lends_from_by_granter
        for vm in [vm for vm, at in asked_at.items() if now - at > VOTER_LEASE_SECONDS]:
            del asked_at[vm], lends_from[vm]
        if granter not in asked_at:
            lends_from[granter] = self._lends_at
        asked_at[granter] = now
        if now < lends_from[granter]:
            return None
        granters = tuple(sorted(vm for vm, at in lends_from.items() if at <= now))
        # Votes lent without a granter that has begun to ask end when its own begin.
        next_at = min((at for at in lends_from.values() if at > now), default=math.inf)
        self._lends_at = max(self._lends_at, min(next_at, now + VOTER_LEASE_SECONDS))
        list_id = _list_id(granters)
        is_known = list_id == request.known_list
        seconds = min(LEASE_SECONDS, next_at - now)
        return Lease(request.sent_at, seconds, vm_count, list_id, None if is_known else granters)


@dataclass
class _HeldLease:
    sent_at: float
    expires_at: float
    vm_count: int
    granters: tuple[str, ...]


class GranterLeases:
    """Votes that one granter holds.

    ``steady_since`` is the time since which nearly all voters have named the same granters, or
    infinite if they don't. ``least_votes`` is the share of the votes below which nothing is earned.

    Parameters
    ----------
    own, members
        Name of this VM, and the VMs that it knows.
    """

    def __init__(self, own: str, members: Members) -> None:
        self._own = own
        self._members = members
        self._lease_by_voter: dict[str, _HeldLease] = {}
        self._requested_at = -math.inf
        self._first_request_by_voter: dict[str, float] = {}
        self._answered: set[str] = set()
        self._old_builds: frozenset[str] = frozenset()
        self._steady_granters: tuple[str, ...] = ()
        self._votes_by_granters: Counter[tuple[str, ...]] = Counter()
        self._scale = 1.0
        self.steady_since = math.inf
        self.least_votes = 0.0
        self._is_first = functools.lru_cache(MAX_CACHED_RANKS)(self._find_first)

    def requests(self, now: float, is_urgent: bool) -> tuple[tuple[str, LeaseRequest], ...]:
        """Return the requests for votes that are due, with their receivers."""
        interval = URGENT_REQUEST_SECONDS if is_urgent else REQUEST_SECONDS
        is_granter = self._own in self._members.granters
        is_settling = now - self._members.started_at < SETTLE_SECONDS
        if is_settling or not is_granter or now - self._requested_at < interval:
            return ()
        self._requested_at = now
        voters = sorted(self._members.voters | self._members.next_voters)
        for vm in voters:
            self._first_request_by_voter.setdefault(vm, now)
        return tuple((vm, LeaseRequest(now, self._known_list(vm))) for vm in voters)

    def find_old_builds(self, is_heard: Callable[[str], bool], now: float) -> None:
        """Find the voters that can't vote, and count only the others from now on.

        Load pattern: an upgrade, in which most gateways run a build that has no leases. A voter
        that is cut off is not taken for one of them, as it isn't heard.
        """
        for vm in self._first_request_by_voter.keys() - self._members.known.keys():
            del self._first_request_by_voter[vm]
        self._answered &= self._members.known.keys()
        self._old_builds = frozenset(
            vm
            for vm, at in self._first_request_by_voter.items()
            if vm not in self._answered and now - at >= OLD_BUILD_SECONDS and is_heard(vm)
        )

    def record(self, voter: str, lease: Lease, now: float) -> None:
        """Record a vote."""
        self._answered.add(voter)
        held = self._lease_by_voter.get(voter)
        if lease.sent_at > now or (held is not None and lease.sent_at < held.sent_at):
            return
        granters = lease.granters
        if granters is None:
            if held is None or _list_id(held.granters) != lease.list_id:
                return
            granters = held.granters
        expires_at = lease.sent_at + min(lease.seconds, LEASE_SECONDS)
        self._lease_by_voter[voter] = _HeldLease(
            lease.sent_at, expires_at, lease.vm_count, granters
        )

    def refresh(self, now: float) -> None:
        """Count the votes that are valid now."""
        members, voters = self._members, self._members.voters - self._old_builds
        vm_count = smallest = largest = len(members.adopted)
        votes: Counter[tuple[str, ...]] = Counter()
        for vm, lease in tuple(self._lease_by_voter.items()):
            if now >= lease.expires_at:
                del self._lease_by_voter[vm]
            elif vm in voters:
                votes[lease.granters] += 1
                smallest = min(smallest, lease.vm_count)
                largest = max(largest, lease.vm_count)
        # A gateway that knows few VMs would take the votes of these for all.
        self._scale = vm_count / max(1, largest) / max(1, len(voters))
        if smallest < vm_count and now - members.started_at < NEWCOMER_SECONDS:
            self._scale = 0.0
        self._votes_by_granters = votes
        granters, count = max(votes.items(), key=lambda each: each[1], default=((), 0))
        if count * self._scale < 1.0 - SPARE_VOTES:
            self.steady_since, self._steady_granters = math.inf, ()
        elif granters != self._steady_granters:
            self.steady_since, self._steady_granters = now, granters

    def part(self, workspace: str) -> float:
        """Return the part of a workspace's allowance that may be earned here now."""
        votes = sum(
            count
            for granters, count in self._votes_by_granters.items()
            if self._is_first(granters, workspace)
        )
        share = votes * self._scale
        return part_of(share) if share >= self.least_votes else 0.0

    def is_steady(self, workspace: str) -> bool:
        """Return whether this granter has had the workspace since ``steady_since``."""
        return bool(self._steady_granters) and self._is_first(self._steady_granters, workspace)

    def _find_first(self, granters: tuple[str, ...], workspace: str) -> bool:
        return first_granter(granters, workspace) == self._own

    def _known_list(self, voter: str) -> int:
        held = self._lease_by_voter.get(voter)
        return _list_id(held.granters) if held is not None else 0
