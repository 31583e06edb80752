"""Which engines are missing in the complete list that one VM has read.

Failure pattern: the VM that reads the store for all starts again, and an engine leaves between the
last read of the VM that read meanwhile and the first one of the new process. The new process reads
a list without the engine and goes on behind its removal, so no VM reads the removal itself. All
others still list the engine, and send its record in their copies.

The record of an engine is out of date if a complete list that was read after it does not hold the
engine, or if a removal after it is known, whether this VM has ever listed the engine or not.
Positions of different eras tell nothing here, since a store that was restored may lack a record.
"""

from collections.abc import Collection

from pimentoquay.policy.store_position import era_of

__all__ = ["ListedKeys"]


class ListedKeys:
    """Keys of the store's list as far as this VM knows it.

    Example
    -------
    >>> keys = ListedKeys()
    >>> keys.record("dec-2", 7, is_removed=False)
    >>> keys.complete({"dec-2"}, before_position=9)
    >>> keys.removed_before("dec-1"), keys.removed_before("dec-2")
    (9, 0)
    """

    def __init__(self) -> None:
        self._position_by_id: dict[str, int] = {}
        self._removal_by_id: dict[str, int] = {}
        self._before = 0

    def record(self, engine: str, position: int, is_removed: bool) -> None:
        """Record that a key has a record at a position; older ones change nothing."""
        known = max(
            self._position_by_id.get(engine, -1),
            self._removal_by_id.get(engine, -1),
        )
        if position <= known:
            return
        newest, other = self._position_by_id, self._removal_by_id
        if is_removed:
            newest, other = other, newest
        newest[engine] = position
        other.pop(engine, None)

    def complete(self, engines: Collection[str], before_position: int) -> None:
        """Record a complete list; keys with a record at or after its position are kept."""
        self._position_by_id = {
            engine: position
            for engine, position in self._position_by_id.items()
            if engine in engines or position >= before_position
        }
        self.read_on(before_position)

    def read_on(self, before_position: int) -> None:
        """Record that all records up to a position were read on from a complete list.

        That a key is not listed then says as much as its removals up to there.
        """
        self._before = max(self._before, before_position)
        self._removal_by_id = {
            engine: position
            for engine, position in self._removal_by_id.items()
            if position >= self._before
        }

    def removed_before(self, engine: str) -> int:
        """Return the position before which a key was removed, 0 if no removal of it is known."""
        if engine in self._position_by_id:
            return 0
        return max(self._before, self._removal_by_id.get(engine, -1) + 1)

    def is_removed_since(self, engine: str, position: int) -> bool:
        """Return whether a key was removed after its record at a position, in the same era."""
        before = self.removed_before(engine)
        return position < before and era_of(position) == era_of(before)

    def is_of_earlier_era(self, engine: str, position: int) -> bool:
        """Return whether a key is missing in a list of a later era than that of its record."""
        before = self.removed_before(engine)
        return before > 0 and era_of(position) < era_of(before)
