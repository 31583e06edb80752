"""Which engines there are, folded from the records of a list that may be wrong for a while.

Failure pattern: heartbeats that arrive after newer ones, entries that somebody else wrote, an id
that is used again by a new start, and entries that lapse while the list itself is down although
their engines are well.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["EngineList", "EngineUpdate"]

RETURN_SECONDS = 2.0
"""How long engines may take to be listed again after an outage of the list; the platform's word."""

FORGET_SECONDS = 30.0
"""How long the last heartbeat of a removed engine is remembered, to know late ones."""


@dataclass(frozen=True)
class EngineUpdate:
    """One record: an engine's entry, or None where it was removed or cannot be read."""

    id: str
    offset: int
    entry: EngineEntry | None
    is_removed: bool = False


@dataclass
class _Known:
    entry: EngineEntry
    offset: int
    removed_at: float | None = None
    removal_due: float | None = None


class EngineList:
    """The engines as one VM knows them."""

    def __init__(self) -> None:
        self._known_by_id: dict[str, _Known] = {}
        self._offset_by_id: dict[str, int] = {}
        self._trusted_from = 0.0

    def note_return(self, now: float) -> None:
        """Note that the list can be read again after an outage."""
        self._trusted_from = now + RETURN_SECONDS

    def apply(self, updates: Iterable[EngineUpdate], now: float) -> bool:
        """Take records in any order; return whether anything changed."""
        changed = False
        for update in updates:
            if update.offset > self._offset_by_id.get(update.id, -1):
                self._offset_by_id[update.id] = update.offset
                changed |= self._apply_one(update, now)
        return changed

    def keep_only(self, ids: Iterable[str], before_offset: int, now: float) -> bool:
        """Remove engines that a whole list does not name and that were listed before it."""
        named = set(ids)
        changed = False
        for known in self._known_by_id.values():
            missing = known.entry.id not in named and known.offset < before_offset
            if missing and known.removed_at is None and known.removal_due is None:
                changed |= self._remove(known, now)
        return changed

    def expire(self, now: float) -> bool:
        """Carry out removals whose grace has ended; return whether anything changed."""
        changed = False
        for engine_id, known in tuple(self._known_by_id.items()):
            if known.removal_due is not None and now >= known.removal_due:
                known.removed_at, known.removal_due = now, None
                changed = True
            elif known.removed_at is not None and now - known.removed_at > FORGET_SECONDS:
                del self._known_by_id[engine_id]
        return changed

    def engines(self) -> tuple[EngineEntry, ...]:
        """Return the engines that are listed, those that are draining included."""
        return tuple(
            known.entry for known in self._known_by_id.values() if known.removed_at is None
        )

    def _apply_one(self, update: EngineUpdate, now: float) -> bool:
        known = self._known_by_id.get(update.id)
        if update.entry is None:
            # An entry that cannot be read names no engine to use, whoever wrote it.
            if known is None or known.removed_at is not None:
                return False
            return self._remove(known, now) if update.is_removed else self._hide(known, now)
        if known is not None and _is_older(update.entry, known):
            return False
        self._known_by_id[update.id] = _Known(update.entry, update.offset)
        return known is None or known.entry != update.entry or known.removed_at is not None

    def _remove(self, known: _Known, now: float) -> bool:
        if now < self._trusted_from:
            known.removal_due = self._trusted_from
            return False
        return self._hide(known, now)

    def _hide(self, known: _Known, now: float) -> bool:
        known.removed_at = now
        return True


def _is_older(entry: EngineEntry, known: _Known) -> bool:
    if entry.incarnation != known.entry.incarnation:
        return entry.incarnation < known.entry.incarnation
    if known.removed_at is not None:
        return entry.sequence <= known.entry.sequence
    return entry.sequence < known.entry.sequence
