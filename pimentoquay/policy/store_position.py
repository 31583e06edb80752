"""Position of a record in the history of a store that may be restored from an older copy.

Failure pattern: the store comes back from a copy that is some seconds old. What was written since
is lost, and the offsets of the lost records are given out again to other records. The store states
its era, which rises by one each time, so era and offset together order all records.

A position is one integer, so that it can also serve as a fencing token at engines that know nothing
of eras. In the first era, which is also that of a store that states none, it equals the offset.
"""

from collections.abc import Callable

__all__ = ["FIRST_ERA", "MAX_ERA", "StoreEra", "era_of", "offset_of", "position_of"]

FIRST_ERA = 1
"""Era of a store that has never been restored."""

OFFSETS_PER_ERA = 2**32
"""Number of positions per era; a topic holds far fewer records."""

MAX_ERA = 2**21
"""Highest era. A position stays below 2**53, the largest integer that every JSON parser keeps
exact."""


def position_of(era: int, offset: int) -> int:
    """Return the position of the record with an offset in an era of the store.

    ``ValueError`` if there is no such era or offset.

    Example
    -------
    >>> position_of(2, 7) > position_of(1, 900)
    True
    """
    if not FIRST_ERA <= era <= MAX_ERA or not 0 <= offset < OFFSETS_PER_ERA:
        raise ValueError(f"offset {offset} of era {era}: out of range")
    return (era - FIRST_ERA) * OFFSETS_PER_ERA + offset


def era_of(position: int) -> int:
    """Return the era of a position; negative ones, which stand for no record, are of the first."""
    return FIRST_ERA + max(0, position) // OFFSETS_PER_ERA


def offset_of(position: int) -> int:
    """Return the offset of a position within its era."""
    return position - (era_of(position) - FIRST_ERA) * OFFSETS_PER_ERA


class StoreEra:
    """Highest era of the store that this VM has seen, in the store's responses or from peers.

    The callbacks in ``on_raised`` are called after each rise.
    """

    def __init__(self) -> None:
        self.value = FIRST_ERA
        self._is_known = False
        self.on_raised: list[Callable[[], None]] = []

    def raise_to(self, era: int) -> bool:
        """Record an era that was seen; return whether the store has been restored meanwhile.

        The first era that is seen is no rise: the store may have been restored long before.
        """
        is_rise = self._is_known and era > self.value
        self.value, self._is_known = max(self.value, era), True
        if is_rise:
            for callback in self.on_raised:
                callback()
        return is_rise
