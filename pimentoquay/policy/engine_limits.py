"""Limits of requests a second that engines name in their responses, shared by all VMs.

Load pattern: an engine in need takes only a few requests a second from all VMs together, while
callers send ten times as many, through any number of VMs. Each VM takes an equal share of the
limit. If there are too many VMs for shares that are of use, some of them use the engine and the
others none of it; which ones follows from hashes, so all VMs compute the same without messages.

Failure pattern: the limit changes or ends, and news of it arrive late or in another order. The
latest response of the engine decides, wherever it was seen. A new start of an engine has no limit
until it names one. VMs that are gone, or that cannot be heard, keep their shares for a while.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.mesh_plan import hash_rank

__all__ = ["UNUSED_SHARE_SECONDS", "EngineLimits", "LimitNotice", "Share", "share_of"]

MIN_LIMIT = 0.25
"""Lowest limit that is kept to, in requests a second.

Without any request, nothing would show that the limit has ended.
"""

BURST_SECONDS = 0.25
"""Time in which the requests of a share may be sent at once, if they are more than one."""

UNUSED_SHARE_SECONDS = 0.3
"""Time after which callers may retry, at another VM, if this one has no share of any engine."""

COORDINATED_FALLBACK = 0.5
"""Part of a limit that VMs may use by themselves while a coordinator may be using all of it."""


@dataclass(frozen=True)
class LimitNotice:
    """Limit of one start of an engine, as of ``age`` seconds ago; ``None`` if it names none."""

    engine: EngineStart
    limit: float | None
    age: float


@dataclass(frozen=True)
class Share:
    """Share of one VM in an engine's limit: requests a second, and how many at once."""

    per_second: float
    burst: float


def share_of(limit: float, engine: str, own: str, vms: Collection[str]) -> Share:
    """Return the share of one VM in the limit of an engine.

    Load pattern: few requests a second that many VMs may send. All shares together are the limit,
    and the bursts of all VMs are at most half of four seconds of it, and four requests.

    Parameters
    ----------
    limit
        Requests a second that the engine takes from all VMs together.
    engine
        Id of the engine.
    own, vms
        Name of this VM, and of all VMs.

    Example
    -------
    >>> share_of(8.0, "desk-1", "a", ["a", "b"])
    Share(per_second=4.0, burst=1.0)
    """
    users = min(len(vms), math.floor(1.5 * limit) + 4)
    if users < len(vms):
        ordered = sorted(vms, key=lambda vm: hash_rank(f"{engine} {vm}"))
        if own not in ordered[:users]:
            return Share(0.0, 0.0)
    per_second = limit / max(1, users)
    return Share(per_second, max(1.0, per_second * BURST_SECONDS))


@dataclass
class _Bucket:
    """Requests that may be sent now, which grow with time up to the burst of the share."""

    share: Share
    updated_at: float
    tokens: float = 0.0

    def refill(self, now: float) -> float:
        """Return the requests that may be sent now."""
        earned = (now - self.updated_at) * self.share.per_second
        self.tokens = min(self.share.burst, self.tokens + max(0.0, earned))
        self.updated_at = now
        return self.tokens

    def change_share(self, share: Share, now: float) -> None:
        """Use another share; what has been earned is kept up to its burst."""
        self.refill(now)
        self.share = share
        self.tokens = min(self.tokens, share.burst)

    def seconds_until(self, now: float) -> float:
        """Return the seconds until a request may be sent; infinite if the share is none."""
        missing = 1.0 - self.refill(now)
        if missing <= 1e-9:
            return 0.0
        return missing / self.share.per_second if self.share.per_second > 0 else math.inf


@dataclass
class _Known:
    """Newest limit of one start of an engine, and when the response that named it was seen.

    ``own`` holds the requests that this VM may send, ``granted`` those that it may grant as
    coordinator.
    """

    limit: float | None
    seen_at: float
    own: _Bucket | None = None
    granted: _Bucket | None = None
    is_share_current: bool = False


@dataclass
class EngineLimits:
    """Limits that one VM knows, and its shares of them.

    ``has_coordinators`` is whether coordinators place the streams of all VMs. The requests that
    they grant are counted by them, against the whole limit.

    Example
    -------
    >>> limits = EngineLimits("vm-1")
    >>> start = EngineStart("desk-1", 1)
    >>> limits.record_response(start, 2.0, 0.0, 0.1)
    LimitNotice(engine=EngineStart(id='desk-1', incarnation=1, restarts=0), limit=2.0, age=0.0)
    >>> limits.limit_of(start)
    2.0
    """

    own: str
    vms: tuple[str, ...] = ()
    has_coordinators: bool = False
    _known_by_start: dict[EngineStart, _Known] = field(default_factory=dict)

    @property
    def limited(self) -> tuple[EngineStart, ...]:
        """Starts of engines that name a limit."""
        return tuple(
            start for start, known in self._known_by_start.items() if known.limit is not None
        )

    def limit_of(self, start: EngineStart) -> float | None:
        """Return the limit of one start of an engine, in requests a second."""
        known = self._known_by_start.get(start)
        return known.limit if known is not None else None

    def update_vms(self, vms: Iterable[str], has_coordinators: bool) -> None:
        """Share the limits among these VMs from now on; ``own`` is always one of them."""
        changed = tuple(sorted({self.own, *vms}))
        if (changed, has_coordinators) != (self.vms, self.has_coordinators):
            self.vms, self.has_coordinators = changed, has_coordinators
            for known in self._known_by_start.values():
                known.is_share_current = False

    def record_response(
        self, start: EngineStart, limit: float | None, sent_at: float, now: float
    ) -> LimitNotice | None:
        """Record the limit in a response; return a notice for the other VMs if it has changed.

        A response without a limit ends one only if its request was sent after the limit had been
        seen: responses on different connections overtake each other.

        Parameters
        ----------
        start
            The engine.
        limit
            Requests a second, or ``None`` if the response names no limit.
        sent_at, now
            Time at which the request was sent, and present time.
        """
        known = self._known_by_start.get(start)
        if limit is None:
            if known is None or known.limit is None or sent_at <= known.seen_at:
                return None
        else:
            limit = max(MIN_LIMIT, limit)
        return LimitNotice(start, limit, 0.0) if self._set(start, limit, now) else None

    def learn(self, notices: Iterable[LimitNotice], now: float) -> tuple[LimitNotice, ...]:
        """Apply notices of other VMs; return those that changed a limit here."""
        new = []
        for notice in notices:
            known = self._known_by_start.get(notice.engine)
            seen_at = now - max(0.0, notice.age)
            if known is not None and seen_at <= known.seen_at:
                continue
            if self._set(notice.engine, notice.limit, seen_at):
                new.append(notice)
        return tuple(new)

    def notices(self, now: float) -> tuple[LimitNotice, ...]:
        """Return notices of all limits that are known, including those that have ended."""
        return tuple(
            LimitNotice(start, known.limit, max(0.0, now - known.seen_at))
            for start, known in self._known_by_start.items()
        )

    def forget_others(self, starts: Collection[EngineStart]) -> None:
        """Forget all starts of engines but those that are listed."""
        for start in self._known_by_start.keys() - set(starts):
            del self._known_by_start[start]

    def seconds_until(self, engine: EngineEntry, now: float) -> float:
        """Return the seconds until this VM may send a request to an engine; 0.0 if it may now.

        Infinite if this VM has no share of the limit.
        """
        bucket = self._own_bucket(engine, now)
        return bucket.seconds_until(now) if bucket is not None else 0.0

    def requests_per_second(self, engine: EngineEntry, now: float) -> float:
        """Return the share of this VM in an engine's limit; infinite if it has none."""
        bucket = self._own_bucket(engine, now)
        return bucket.share.per_second if bucket is not None else math.inf

    def take(self, engine: EngineEntry, now: float) -> bool:
        """Count a request to an engine if it may be sent now; return whether it may."""
        bucket = self._own_bucket(engine, now)
        if bucket is None:
            return True
        if bucket.seconds_until(now) > 0.0:
            return False
        bucket.tokens -= 1.0
        return True

    def give_back(self, engine: EngineEntry, now: float) -> None:
        """Count a request as not sent."""
        bucket = self._own_bucket(engine, now)
        if bucket is not None:
            bucket.tokens = min(bucket.share.burst, bucket.refill(now) + 1.0)

    def may_grant(self, engine: EngineEntry, now: float) -> bool:
        """Return whether this VM, as coordinator, may let any VM send a request."""
        bucket = self._granted_bucket(engine, now)
        return bucket is None or bucket.seconds_until(now) == 0.0

    def take_grant(self, engine: EngineEntry, now: float) -> None:
        """Count a request that this VM, as coordinator, lets a VM send."""
        bucket = self._granted_bucket(engine, now)
        if bucket is not None:
            bucket.tokens = max(0.0, bucket.refill(now) - 1.0)

    def _set(self, start: EngineStart, limit: float | None, seen_at: float) -> bool:
        """Record a limit; return whether it has changed."""
        known = self._known_by_start.get(start)
        if known is None:
            self._known_by_start[start] = _Known(limit, seen_at)
            return limit is not None
        has_changed = known.limit != limit
        known.limit, known.seen_at = limit, seen_at
        if has_changed:
            known.is_share_current = False
        if limit is None:
            known.own = known.granted = None  # A later limit starts with nothing earned.
        return has_changed

    def _own_bucket(self, engine: EngineEntry, now: float) -> _Bucket | None:
        known = self._limited(engine, now)
        return known.own if known is not None else None

    def _granted_bucket(self, engine: EngineEntry, now: float) -> _Bucket | None:
        known = self._limited(engine, now)
        return known.granted if known is not None else None

    def _limited(self, engine: EngineEntry, now: float) -> _Known | None:
        """Return what is known of an engine with a limit, with its present shares."""
        known = self._known_by_start.get(engine.start)
        if known is None or known.limit is None:
            return None
        if not known.is_share_current:
            self._update_shares(known, known.limit, engine, now)
        return known

    def _update_shares(self, known: _Known, limit: float, engine: EngineEntry, now: float) -> None:
        is_coordinated = self.has_coordinators and engine.stage is not EngineStage.NONE
        own_limit = limit * COORDINATED_FALLBACK if is_coordinated else limit
        own = share_of(own_limit, engine.id, self.own, self.vms or (self.own,))
        granted = Share(limit, max(1.0, limit * BURST_SECONDS))
        known.own = _changed(known.own, own, now)
        known.granted = _changed(known.granted, granted, now)
        known.is_share_current = True


def _changed(bucket: _Bucket | None, share: Share, now: float) -> _Bucket:
    if bucket is None:
        return _Bucket(share, now)
    bucket.change_share(share, now)
    return bucket
