"""The list of engines, built from the records of a store that may be wrong for a while.

Failure pattern: heartbeats that arrive after newer ones, entries written by others than the engine,
an id that is reused after a restart, entries that expire during an outage of the store although
their engines are healthy, and a store that is restored from an older copy.

An entry that cannot be used displaces no known one that can. If no heartbeat of the engine follows,
the engine counts as gone. See ``heartbeat_runs`` for entries that can be used and are not from the
engine.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field, replace

from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.heartbeat_runs import HeartbeatRuns
from pimentoquay.policy.listed_keys import ListedKeys
from pimentoquay.policy.store_position import era_of

__all__ = ["EngineList", "EngineUpdate", "starts_later"]

RELISTING_GRACE_SECONDS = 2.0
"""Maximum time that engines need to be listed again after an outage of the store, in seconds."""

REMOVED_RETENTION_SECONDS = 30.0
"""Time for which the last heartbeat of a removed engine is kept, in seconds.

It is needed to recognize older heartbeats that arrive afterwards.
"""

CONTESTED_SECONDS = 4.0
"""Time in seconds within which a heartbeat has to follow an entry that cannot be used.

The store drops the entry of an engine that is silent for three heartbeats, which are 3.6 s."""

MAX_CLOCK_SKEW_MS = 10_000
"""Largest time by which an engine's clock may be ahead of that of this VM, in milliseconds."""


def starts_later(entry: EngineEntry, wall_seconds: float) -> bool:
    """Return whether an engine has not started yet, as its entry says.

    Parameters
    ----------
    entry, wall_seconds
        The entry, and the seconds since the Unix epoch on the clock of this VM.
    """
    return entry.incarnation > wall_seconds * 1000 + MAX_CLOCK_SKEW_MS


@dataclass(frozen=True)
class EngineUpdate:
    """A record of the store about one engine.

    ``entry`` is None if the engine was removed or its entry cannot be read. ``position`` is the
    position of the record in the store. ``starts_later`` is whether the engine, as its entry says,
    has not started yet. ``source`` is the record as it was received. ``is_from_peer`` is whether
    another VM has sent it, whose list may be older than the one that this VM has read.
    """

    id: str
    position: int
    entry: EngineEntry | None
    is_removed: bool = False
    starts_later: bool = False
    source: object = None
    is_from_peer: bool = False


@dataclass
class _KnownEngine:
    """Entry in force of an engine, also after its removal.

    ``removal_due`` is when it is removed unless a heartbeat comes, ``contested_until`` the same
    after an entry that cannot be used. ``set_aside`` is the newest one whose service is not named.
    """

    entry: EngineEntry
    position: int
    starts_later: bool
    runs: HeartbeatRuns
    removed_at: float | None = None
    removal_due: float | None = None
    contested_until: float | None = None
    set_aside: EngineUpdate | None = None


@dataclass
class EngineList:
    """List of the engines that one VM knows.

    ``services`` are the names of the services in the configuration, or None before there is one.
    ``keys`` tells which engines are missing in the list that this VM has read.
    """

    services: Collection[str] | None = None
    keys: ListedKeys = field(default_factory=ListedKeys)
    _known_by_id: dict[str, _KnownEngine] = field(default_factory=dict)
    _position_by_id: dict[str, int] = field(default_factory=dict)
    _usable_position_by_id: dict[str, int] = field(default_factory=dict)
    _grace_until: float = 0.0
    _grace_before: float = math.inf

    def start_relisting_grace(self, returned_at: float, before_position: int | None = None) -> None:
        """Delay removals for a grace period after an outage, from when the store is readable again.

        An engine whose entry expired during the outage is removed after
        ``RELISTING_GRACE_SECONDS`` unless it has sent a heartbeat by then. One that has written
        since the return of the store is removed at once when it leaves.

        Parameters
        ----------
        returned_at
            When any VM could read the store again.
        before_position
            Position before which records may have been written before that, or None for all.
        """
        self._grace_until = max(self._grace_until, returned_at + RELISTING_GRACE_SECONDS)
        self._grace_before = math.inf if before_position is None else before_position
        for known in self._known_by_id.values():
            if known.contested_until is not None:
                known.contested_until = max(known.contested_until, self._grace_until)

    def update_services(self, services: Collection[str], now: float) -> list[EngineUpdate]:
        """Use other names of services; return the entries set aside that are in force now."""
        self.services = services
        applied = []
        for known in self._known_by_id.values():
            update, known.set_aside = known.set_aside, None
            if update is not None and self._apply_one(update, now):
                applied.append(update)
        return applied

    def is_known(self, engine: str, position: int) -> bool:
        """Return whether a record cannot change the list, whatever it holds.

        That is so if it was applied, or a later one of its era or of a later era that can be used.
        """
        usable = self._usable_position_by_id.get(engine, -1)
        is_older = position <= usable and era_of(position) >= era_of(usable)
        return is_older or position == self._position_by_id.get(engine)

    def holds(self, engine: str, position: int) -> bool:
        """Return whether an engine is listed as the record at a position says."""
        known = self._known_by_id.get(engine)
        return known is not None and known.removed_at is None and known.position == position

    def confirming(self, engine: str) -> object:
        """Return the source of the record that a VM needs, before the newest, to list the same.

        None if the newest record is enough. See ``HeartbeatRuns.confirming``.
        """
        known = self._known_by_id.get(engine)
        return known.runs.confirming if known is not None and known.removed_at is None else None

    def apply(self, updates: Iterable[EngineUpdate], now: float) -> bool:
        """Apply records that arrive in any order; return whether the list has changed."""
        changed = False
        for update in updates:
            if self.is_known(update.id, update.position):
                continue
            listed_until = self.listed_until(update, now)
            if listed_until <= now:
                continue
            if listed_until == math.inf:
                self.keys.record(update.id, update.position, update.is_removed)
            usable = self._usable_position_by_id.get(update.id, -1)
            if update.position > usable or update.entry is not None:
                # One of an earlier era is a newer heartbeat that is missing in the copy from which
                # the store was restored.
                self._position_by_id[update.id] = update.position
                if update.is_removed or self._is_usable(update.entry, update.starts_later):
                    self._usable_position_by_id[update.id] = max(usable, update.position)
                changed |= self._apply_one(update, now)
                if listed_until < math.inf:
                    self._limit(update, listed_until)
        return changed

    def listed_until(self, update: EngineUpdate, now: float) -> float:
        """Return until when a record lists its engine unless a heartbeat comes.

        It is ``now`` for a peer's record of an engine that was removed since. The engine has time
        to be listed again if the store was away or was restored since.
        """
        if not update.is_from_peer or update.is_removed:
            return math.inf
        if self.keys.is_removed_since(update.id, update.position):
            return max(now, self._grace_until)
        if self.keys.is_of_earlier_era(update.id, update.position):
            return max(now + RELISTING_GRACE_SECONDS, self._grace_until)
        return math.inf

    def removal_since(self, engine: str, position: int, now: float) -> int | None:
        """Return the position of a removal after a record, or None if it may still be listed."""
        if now < self._grace_until or not self.keys.is_removed_since(engine, position):
            return None
        return self.keys.removed_before(engine) - 1

    def _limit(self, update: EngineUpdate, listed_until: float) -> None:
        known = self._known_by_id.get(update.id)
        if known is not None and known.removed_at is None and known.position == update.position:
            known.removal_due = listed_until

    def remove_unlisted(self, ids: Iterable[str], before_position: int, now: float) -> bool:
        """Remove engines that are missing from a complete list; return whether any was removed.

        Parameters
        ----------
        ids
            Engines in the complete list.
        before_position
            Position of the complete list; engines with a record at or after it are kept.
        now
            Current time in seconds.
        """
        listed_ids = set(ids)
        self.keys.complete(listed_ids, before_position)
        changed = False
        for known in self._known_by_id.values():
            missing = known.entry.id not in listed_ids and known.position < before_position
            if missing and known.removed_at is None and known.removal_due is None:
                changed |= self._remove(known, now)
        return changed

    def expire(self, now: float, read_at: float = float("-inf")) -> bool:
        """Carry out removals whose grace period is over; return whether the list has changed.

        Parameters
        ----------
        now
            Current time in seconds.
        read_at
            When this VM last read the list from the store, which shows that no heartbeat came.
        """
        changed = False
        for engine_id, known in tuple(self._known_by_id.items()):
            if known.removed_at is None and (
                (known.removal_due is not None and now >= known.removal_due)
                or (known.contested_until is not None and read_at >= known.contested_until)
            ):
                changed |= self._mark_removed(known, now)
            elif (
                known.removed_at is not None and now - known.removed_at > REMOVED_RETENTION_SECONDS
            ):
                del self._known_by_id[engine_id]
        return changed

    def engines(self) -> tuple[EngineEntry, ...]:
        """Return the listed engines, including those that are draining."""
        return tuple(
            known.entry for known in self._known_by_id.values() if known.removed_at is None
        )

    def _apply_one(self, update: EngineUpdate, now: float) -> bool:
        known, entry = self._known_by_id.get(update.id), update.entry
        if known is None:
            return self._add(update, now)
        is_listed = known.removed_at is None
        if update.is_removed:
            return is_listed and self._remove(known, now)
        is_known_usable = self._is_usable(known.entry, known.starts_later)
        is_named = entry is not None and self._is_named(entry)
        if entry is None or (is_listed and is_known_usable and not is_named):
            known.set_aside = update if entry is not None else known.set_aside
            if known.contested_until is None:
                known.contested_until = max(now + CONTESTED_SECONDS, self._grace_until)
            return False
        is_usable = self._is_usable(entry, update.starts_later)
        if not known.runs.accepts(
            entry,
            takes_equal=is_listed,
            is_better=is_usable and not is_known_usable,
            is_worse=is_known_usable and not is_usable,
            source=update.source,
        ):
            return False
        before, known.entry, known.position = known.entry, entry, update.position
        known.starts_later, known.set_aside = update.starts_later, None
        known.removed_at = known.removal_due = known.contested_until = None
        # A mere heartbeat is no change, so it is not sent to all VMs.
        return not is_listed or replace(before, sequence=entry.sequence) != entry

    def _add(self, update: EngineUpdate, now: float) -> bool:
        entry = update.entry
        if entry is None:
            return False
        known = _KnownEngine(entry, update.position, update.starts_later, HeartbeatRuns(entry))
        self._known_by_id[update.id] = known
        if update.starts_later:
            # It is listed with its next heartbeat, as this VM's clock may be behind.
            known.removed_at = now
        return not update.starts_later

    def _is_named(self, entry: EngineEntry) -> bool:
        return self.services is None or entry.service in self.services

    def _is_usable(self, entry: EngineEntry | None, starts_later: bool) -> bool:
        return entry is not None and not starts_later and self._is_named(entry)

    def _remove(self, known: _KnownEngine, now: float) -> bool:
        if now < self._grace_until and known.position < self._grace_before:
            known.removal_due = self._grace_until
            return False
        return self._mark_removed(known, now)

    def _mark_removed(self, known: _KnownEngine, now: float) -> bool:
        known.removed_at, known.removal_due, known.contested_until = now, None, None
        return True
