"""Allowances of workspaces, counted by one granter each for all gateways.

Load pattern: a workspace may use 146,402 tokens a second through 79 gateways, and each of its
streams needs 5,000 to 14,000. A gateway therefore has a stream of it every five seconds, and a
block that it held ahead would lie idle for longer than it is valid: blocks for all gateways are
five times the burst. So units are asked for one request at a time, for one round trip, and only
when a request is there; nothing is known or sent for workspaces without requests.

Failure pattern: the granter fails or is replaced. ``policy/allowance_leases.py`` limits what all
granters earn together to the allowance. A new granter starts with nothing earned, and one that
loses votes keeps as much of the burst as it has votes. Requests wait for the next granter, and are
only refused by one that counts, or after the longest time that they can wait.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from pimentoquay.messages.allowances import (
    AllowanceAsk,
    AllowanceOutcome,
    AllowanceReply,
    AllowanceReturned,
    Lease,
)
from pimentoquay.policy.allowance_leases import GranterLeases, Members

__all__ = ["AllowanceGranter", "GranterBounds", "Outgoing"]

QUEUE_SECONDS = 0.15
"""Longest wait for units at a granter that has counted for a while. Asks of requests that are
within the allowance arrive out of order by as much as their ways differ."""

YOUNG_SECONDS = 8.0
"""Time in which requests wait longer than that at a granter that has just begun, unless half of a
burst has been earned before. At nine tenths of its allowance, a workspace makes up in this time for
the second in which there was no granter."""

REPLY_MARGIN_SECONDS = 0.3
"""Part of an ask's patience that is left for the reply, also after one was lost."""

START_UNITS = 0.5
"""Share of the permitted overrun that a new granter starts with, in place of what nobody could earn
while there was none. The old one may have used its votes to their end if it was cut off."""

CHANGE_SECONDS = 1.0
"""Time after a change of its votes in which a granter may be gaining or losing all of them."""

REPLY_KEPT_SECONDS = 2.5
"""Time for which a reply is repeated if its ask is; longer than any ask is repeated."""

RETRY_SPREAD_SECONDS = 4.0
"""Time over which refused callers are spread, in the order in which they can be served."""

OVERRUN_USED = 0.8
"""Share of the permitted overrun that a single request may use which exceeds the burst."""

LATE_AGE_SECONDS = 0.3
"""Age from which returned units count as late. Used again, they shift use into a later window."""

LATE_RETURNED = 0.04
"""Units that are returned late and may be used again in a window, as a share of its units."""

PASS_SECONDS = 0.25
"""Interval at which votes are applied to workspaces without waiting asks. Votes that were lost for
less can't have been used by another granter."""

IDLE_SECONDS = 10.0
"""Time without use after which a bucket is dropped, at least; it then has earned its burst."""


@dataclass(frozen=True)
class GranterBounds:
    """Window in seconds over which use is limited, and the share by which it may be exceeded."""

    window_seconds: float = 8.0
    overrun: float = 0.1


@dataclass(frozen=True)
class Outgoing:
    """A message to be sent to a VM."""

    vm: str
    message: object


@dataclass
class _Waiting:
    """An ask that waits at the granter; ``key`` is its sender and number."""

    key: tuple[str, int]
    units: float
    asked_at: float
    leaves_at: float


@dataclass
class _Bucket:
    """Units of a workspace that may be granted now; below 0 if a request exceeded the burst."""

    version: int
    per_second: float
    burst: float
    level: float
    part: float
    updated_at: float
    mature_at: float
    used_at: float
    retry_at: float = 0.0
    late_level: float = 0.0
    started_at: float = -math.inf
    started_part: float = 1.0
    waiting: deque[_Waiting] = field(default_factory=deque)

    def refresh(self, part: float, now: float) -> None:
        """Add what has been earned; the lower part counts, as it is not known when it changed."""
        seconds = max(0.0, now - self.updated_at)
        earned = self.per_second * seconds * min(part, self.part)
        self.level = min(self.burst * part, self.level + earned)
        self.updated_at, self.part = now, part

    def needed(self, units: float, extra: float) -> float:
        """Return the level at which a request may run; infinite if it never may."""
        # A full bucket is enough, also if it is smaller, since it lacks votes or the request is
        # large: the excess is earned before the next request runs.
        return min(units, self.burst * self.part) if units <= self.burst + extra else math.inf

    @property
    def has_earned_half(self) -> bool:
        """Whether half of what may be earned has been earned, so that nothing is to be made up."""
        return self.level >= self.burst * self.part / 2.0

    def add(self, units: float) -> None:
        """Add units that may be granted now."""
        self.level = min(self.burst * self.part, self.level + units)

    def drop_waiting(self, key: tuple[str, int]) -> None:
        """Forget an ask."""
        self.waiting = deque(each for each in self.waiting if each.key != key)

    def mature_after(self) -> float:
        """Return the seconds in which the burst is earned."""
        return self.burst / self.per_second

    def seconds_until(self, level: float) -> float:
        """Return the seconds until a level is reached; infinite if it never is."""
        missing = level - self.level
        if missing <= 1e-6:
            return 0.0
        rate = self.per_second * self.part
        return missing / rate if rate > 0 else math.inf


class AllowanceGranter:
    """Counts the allowances of the workspaces for which one VM holds votes.

    Parameters
    ----------
    own, members
        Name of this VM, and the VMs that it knows.
    session
        Number of this start of the granter.
    bounds
        Permitted excess of allowances.

    Example
    -------
    >>> from pimentoquay.policy.allowance_leases import Members
    >>> granter = AllowanceGranter("vm-1", Members(0.0), 1, GranterBounds())
    >>> granter.tick(0.1)
    []
    """

    def __init__(self, own: str, members: Members, session: int, bounds: GranterBounds) -> None:
        self._members = members
        self._session = session
        self._bounds = bounds
        self.leases = GranterLeases(own, members)
        self._bucket_by_workspace: dict[str, _Bucket] = {}
        self._reply_by_key: dict[tuple[str, int], tuple[float, AllowanceReply]] = {}
        self.on_refused: Callable[[str, float, float, float], None] = lambda *details: None
        self._returned_at_by_key: dict[tuple[str, int], float] = {}
        self._passed_at = -math.inf

    @property
    def is_waited_for(self) -> bool:
        """Whether any ask waits here."""
        return any(bucket.waiting for bucket in self._bucket_by_workspace.values())

    @property
    def active_workspaces(self) -> int:
        """Number of workspaces that are counted here."""
        return len(self._bucket_by_workspace)

    def record_lease(self, voter: str, lease: Lease, now: float) -> None:
        """Record the vote of a VM."""
        self.leases.record(voter, lease, now)

    def ask(self, source: str, ask: AllowanceAsk, now: float) -> list[Outgoing]:
        """Return the replies to an ask, and to others that can be granted now."""
        key = (source, ask.number)
        known = self._reply_by_key.get(key)
        if known is not None:
            return [Outgoing(source, known[1])]
        bucket = self._bucket(ask, now)
        if all(each.key != key for each in bucket.waiting):
            asked_at = now - max(0.0, ask.waited)
            entry = _Waiting(key, ask.units, asked_at, asked_at + ask.patience)
            refusal = self._refusal(bucket, entry, now)
            if refusal is not None:
                can_run = math.isfinite(self._needed(bucket, ask.units))
                seconds = refusal if can_run else math.inf
                self.on_refused(ask.workspace, ask.units, bucket.level, seconds)
                return [self._decide(entry, AllowanceOutcome.REFUSED, refusal, now)]
            bucket.waiting.append(entry)
        sent = self._grant_waiting(bucket, now)
        if key not in self._reply_by_key:
            sent.append(self._not_granted(_Waiting(key, ask.units, now, now), bucket.part > 0.0))
        return sent

    def give_back(self, source: str, returned: AllowanceReturned, now: float) -> None:
        """Return units of a request that did not run, or drop its ask."""
        bucket = self._bucket_by_workspace.get(returned.workspace)
        if bucket is None:
            return
        bucket.drop_waiting((source, returned.number))
        key = (source, returned.number)
        if returned.session != self._session or not returned.units > 0:
            return
        if key in self._returned_at_by_key:
            return
        self._returned_at_by_key[key] = now
        self._refresh(returned.workspace, bucket, now)
        units = returned.units
        if returned.age > LATE_AGE_SECONDS:
            units = min(units, bucket.late_level)
            bucket.late_level -= units
        bucket.add(units)

    def tick(self, now: float, is_needed: bool = True) -> list[Outgoing]:
        """Return what is due: requests for votes if they are needed, and replies to asks."""
        is_urgent = any(
            each.waiting and each.part == 0.0 for each in self._bucket_by_workspace.values()
        )
        requests = self.leases.requests(now, is_urgent) if is_needed else ()
        sent = [Outgoing(vm, request) for vm, request in requests]
        self.leases.refresh(now)
        is_full_pass = now - self._passed_at >= PASS_SECONDS
        if is_full_pass:
            self._passed_at = now
        for workspace, bucket in tuple(self._bucket_by_workspace.items()):
            if not (bucket.waiting or is_full_pass):
                continue
            had_part = bucket.part > 0.0
            self._refresh(workspace, bucket, now)
            if had_part and bucket.part == 0.0:
                sent += [self._not_granted(each) for each in bucket.waiting]
            if bucket.waiting:
                sent += self._grant_waiting(bucket, now)
            elif now - bucket.used_at > max(IDLE_SECONDS, 2.0 * bucket.mature_after()):
                del self._bucket_by_workspace[workspace]
        self._forget_old(now)
        return sent

    def _forget_old(self, now: float) -> None:
        """Drop replies, and which units were returned, once no message repeats them."""
        while self._reply_by_key:
            key, (at, _) = next(iter(self._reply_by_key.items()))
            if now - at <= REPLY_KEPT_SECONDS:
                break
            del self._reply_by_key[key]
        while self._returned_at_by_key:
            key = next(iter(self._returned_at_by_key))
            if now - self._returned_at_by_key[key] <= IDLE_SECONDS:
                break
            del self._returned_at_by_key[key]

    def _bucket(self, ask: AllowanceAsk, now: float) -> _Bucket:
        """Return the bucket of a workspace, with the allowance of the newest version."""
        self.leases.refresh(now)
        bucket = self._bucket_by_workspace.get(ask.workspace)
        per_second, burst = max(1e-9, ask.per_second), max(0.0, ask.burst)
        if bucket is None:
            bucket = _Bucket(ask.version, per_second, burst, 0.0, 0.0, now, now, now)
            if self.leases.is_steady(ask.workspace):
                bucket.part, bucket.started_at = self.leases.part(ask.workspace), now
                bucket.add(per_second * (now - self.leases.steady_since))
                bucket.mature_at = now + YOUNG_SECONDS
            self._bucket_by_workspace[ask.workspace] = bucket
        self._refresh(ask.workspace, bucket, now)
        if ask.version > bucket.version:
            bucket.version, bucket.per_second, bucket.burst = ask.version, per_second, burst
            bucket.level = min(bucket.level, burst * bucket.part)
            bucket.late_level = min(bucket.late_level, self._late_limit(bucket))
        bucket.used_at = now
        return bucket

    def _refresh(self, workspace: str, bucket: _Bucket, now: float) -> None:
        limit = self._late_limit(bucket)
        earned = limit * (now - bucket.updated_at) / self._bounds.window_seconds
        bucket.late_level = min(limit, bucket.late_level + earned)
        part, old = self.leases.part(workspace), bucket.part
        bucket.refresh(part, now)
        if old == 0.0 < part and now - bucket.started_at >= self._bounds.window_seconds:
            bucket.started_at, bucket.started_part = now, 0.0
        if now - bucket.started_at <= CHANGE_SECONDS and part > bucket.started_part:
            units = START_UNITS * self._bounds.overrun * self._window_units(bucket)
            bucket.add(units * (part - bucket.started_part))
            bucket.started_part = part
        if part == 0.0 or old == 0.0:
            bucket.mature_at = now + YOUNG_SECONDS
        elif bucket.has_earned_half and now - bucket.started_at > CHANGE_SECONDS:
            bucket.mature_at = min(bucket.mature_at, now)
        if old != part > 0.0:
            bucket.mature_at = max(bucket.mature_at, now + CHANGE_SECONDS)

    def _late_limit(self, bucket: _Bucket) -> float:
        return LATE_RETURNED * self._window_units(bucket)

    def _window_units(self, bucket: _Bucket) -> float:
        return bucket.per_second * self._bounds.window_seconds + bucket.burst

    def _needed(self, bucket: _Bucket, units: float) -> float:
        overrun = self._bounds.overrun * self._window_units(bucket)
        return bucket.needed(units, OVERRUN_USED * overrun)

    def _refusal(self, bucket: _Bucket, entry: _Waiting, now: float) -> float | None:
        """Return the time to retry after if an ask is to be refused at once, 0 if never."""
        needed = self._needed(bucket, entry.units)
        if math.isinf(needed):
            return 0.0
        if bucket.part == 0.0:
            return None
        queued = sum(each.units for each in bucket.waiting)
        seconds = bucket.seconds_until(queued + needed)
        longest = entry.leaves_at - now - REPLY_MARGIN_SECONDS
        if now < bucket.mature_at:
            seconds *= bucket.part  # Votes are still coming in.
        elif bucket.part == 1.0:
            longest = min(longest, QUEUE_SECONDS)
        return None if seconds <= longest else self._retry_after(bucket, seconds, entry.units, now)

    def _retry_after(self, bucket: _Bucket, seconds: float, units: float, now: float) -> float:
        """Return when a refused caller can be served, each after the one before."""
        earliest = now + seconds
        if not earliest <= bucket.retry_at <= earliest + RETRY_SPREAD_SECONDS:
            bucket.retry_at = earliest
        retry_after = bucket.retry_at - now
        bucket.retry_at += units / (bucket.per_second * bucket.part)
        return retry_after

    def _grant_waiting(self, bucket: _Bucket, now: float) -> list[Outgoing]:
        """Grant waiting asks in their order, and refuse those whose time is over."""
        sent = []
        while bucket.waiting:
            entry = bucket.waiting[0]
            needed = self._needed(bucket, entry.units)
            if now >= entry.leaves_at:
                bucket.waiting.popleft()
                seconds = bucket.seconds_until(needed)
                if bucket.part > 0.0 and math.isfinite(seconds):
                    seconds = self._retry_after(bucket, seconds, entry.units, now)
                    sent.append(self._decide(entry, AllowanceOutcome.REFUSED, seconds, now))
            elif bucket.part > 0.0 and bucket.level >= needed - 1e-6:
                bucket.waiting.popleft()
                bucket.level -= entry.units
                waited = now - entry.asked_at
                sent.append(self._decide(entry, AllowanceOutcome.GRANTED, waited, now))
            else:
                break
        return sent

    def _not_granted(self, entry: _Waiting, is_granter: bool = False) -> Outgoing:
        vm, number = entry.key
        outcome = AllowanceOutcome.QUEUED if is_granter else AllowanceOutcome.NOT_GRANTER
        return Outgoing(vm, AllowanceReply(number, outcome, 0.0, self._session))

    def _decide(
        self, entry: _Waiting, outcome: AllowanceOutcome, seconds: float, now: float
    ) -> Outgoing:
        vm, number = entry.key
        reply = AllowanceReply(number, outcome, seconds, self._session)
        self._reply_by_key[entry.key] = (now, reply)
        return Outgoing(vm, reply)
