"""The list of engines, built from the records of a store that may be wrong for a while.

Failure pattern: heartbeats that arrive after newer ones, entries written by others than the engine,
an id that is reused after a restart, entries that expire during an outage of the store although
their engines are healthy, and a store that is restored from an older copy.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace

from pimentoquay.policy.fleet import EngineEntry
from pimentoquay.policy.store_position import era_of

__all__ = ["EngineList", "EngineUpdate"]

RELISTING_GRACE_SECONDS = 2.0
"""Maximum time that engines need to be listed again after an outage of the store, in seconds."""

REMOVED_RETENTION_SECONDS = 30.0
"""Time for which the last heartbeat of a removed engine is kept, in seconds.

It is needed to recognize older heartbeats that arrive afterwards.
"""


@dataclass(frozen=True)
class EngineUpdate:
    """A record of the store about one engine.

    ``entry`` is None if the engine was removed or its entry cannot be read. ``position`` is the
    position of the record in the store.
    """

    id: str
    position: int
    entry: EngineEntry | None
    is_removed: bool = False


@dataclass
class _KnownEngine:
    entry: EngineEntry
    position: int
    removed_at: float | None = None
    removal_due: float | None = None


class EngineList:
    """List of the engines that one VM knows."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, _KnownEngine] = {}
        self._position_by_id: dict[str, int] = {}
        self._grace_until = 0.0

    def start_relisting_grace(self, now: float) -> None:
        """Delay removals for a grace period after an outage, from when the store is readable again.

        An engine whose entry expired during the outage is removed after
        ``RELISTING_GRACE_SECONDS`` unless it has sent a heartbeat by then.
        """
        self._grace_until = now + RELISTING_GRACE_SECONDS

    def is_known(self, engine: str, position: int) -> bool:
        """Return whether a record cannot change the list, whatever it holds.

        That is so if it, or a later one of its era or of a later era, has been applied.
        """
        known_position = self._position_by_id.get(engine, -1)
        return position <= known_position and era_of(position) >= era_of(known_position)

    def apply(self, updates: Iterable[EngineUpdate], now: float) -> bool:
        """Apply records that arrive in any order; return whether the list has changed."""
        changed = False
        for update in updates:
            known_position = self._position_by_id.get(update.id, -1)
            if update.position > known_position:
                self._position_by_id[update.id] = update.position
                changed |= self._apply_one(update, now)
            elif update.entry is not None and era_of(update.position) < era_of(known_position):
                # The store was restored from a copy in which this newer heartbeat is missing.
                changed |= self._apply_one(update, now)
        return changed

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
        changed = False
        for known in self._known_by_id.values():
            missing = known.entry.id not in listed_ids and known.position < before_position
            if missing and known.removed_at is None and known.removal_due is None:
                changed |= self._remove(known, now)
        return changed

    def expire(self, now: float) -> bool:
        """Carry out removals whose grace period is over; return whether the list has changed."""
        changed = False
        for engine_id, known in tuple(self._known_by_id.items()):
            if known.removal_due is not None and now >= known.removal_due:
                known.removed_at, known.removal_due = now, None
                changed = True
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
        known = self._known_by_id.get(update.id)
        if update.entry is None:
            # An engine whose entry cannot be read must not be used, whoever wrote the entry.
            if known is None or known.removed_at is not None:
                return False
            return self._remove(known, now) if update.is_removed else self._mark_removed(known, now)
        if known is not None and _is_stale(update.entry, known):
            return False
        self._known_by_id[update.id] = _KnownEngine(update.entry, update.position)
        if known is None or known.removed_at is not None:
            return True
        # A mere heartbeat is no change, so it is not sent to all VMs.
        return replace(known.entry, sequence=update.entry.sequence) != update.entry

    def _remove(self, known: _KnownEngine, now: float) -> bool:
        if now < self._grace_until:
            known.removal_due = self._grace_until
            return False
        return self._mark_removed(known, now)

    def _mark_removed(self, known: _KnownEngine, now: float) -> bool:
        known.removed_at = now
        return True


def _is_stale(entry: EngineEntry, known: _KnownEngine) -> bool:
    if entry.incarnation != known.entry.incarnation:
        return entry.incarnation < known.entry.incarnation
    if known.removed_at is not None:
        return entry.sequence <= known.entry.sequence
    return entry.sequence < known.entry.sequence
