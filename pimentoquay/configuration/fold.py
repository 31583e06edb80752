"""The fold of the configuration's log into the state in force.

The state before a log offset is a function of the records before it, and of nothing else:

- a change is accepted if its base is the version in force, or if it creates a workspace that
  does not exist (base 0); every other change is rejected;
- the version of an accepted change is its log offset plus one, so versions only grow;
- a change id is folded once; its outcome is remembered for ``MEMORY_OFFSETS`` records;
- a removal is remembered for ``MEMORY_OFFSETS`` records, so that a peer which lags by less can
  be told of it;
- checkpoints change nothing: they serve readers that start in the middle of the log.

Example
-------
::

    state = ConfigurationState()
    outcome = state.fold(0, encode(ConfigurationRecord("c1", "w", 0, 0, workspace, "ann")))
    assert outcome.code is ResultCode.CONFIG_ACCEPTED and outcome.version == 1
"""

import dataclasses
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from pimentoquay.kernel import ResultCode
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.configuration import ChangeOutcome, ConfigurationCheckpoint
from pimentoquay.messages.workspaces import ConfigurationRecord, Workspace

__all__ = ["MEMORY_OFFSETS", "ConfigurationState", "Entry", "OffsetGapError"]

MEMORY_OFFSETS = 8192
"""For how many log records an outcome and a removal are remembered."""


class OffsetGapError(ValueError):
    """A record that does not follow on from the state."""


@dataclass(frozen=True)
class Entry:
    """One workspace or removal in force; ``data`` is its encoded record."""

    record: ConfigurationRecord
    data: bytes

    @property
    def version(self) -> int:
        """The version in force."""
        return self.record.version

    @property
    def is_removal(self) -> bool:
        """Whether the workspace was removed."""
        return self.record.workspace is None


class ConfigurationState:
    """The configuration after a number of log records.

    Parameters
    ----------
    offset
        How many log records are folded, which is the offset of the next one.

    ``log_base`` is the offset that stands for the first record of a log that has started anew;
    ``is_superseded`` tells that the log holds a checkpoint with a higher one.
    """

    def __init__(self, offset: int = 0) -> None:
        self.offset = offset
        self.checkpoint_offset = -1
        self.log_base = 0
        self.is_superseded = False
        self.entry_by_name: dict[str, Entry] = {}
        self.outcome_by_change: dict[str, ChangeOutcome] = {}
        self._removed_names: dict[str, int] = {}
        # Kept beside the entries, because each push of a burst hands both maps out.
        self._workspace_by_name: dict[str, Workspace] = {}
        self._version_by_name: dict[str, int] = {}

    @classmethod
    def restore(
        cls, offset: int, records: Iterable[bytes], outcomes: Iterable[ChangeOutcome]
    ) -> "ConfigurationState":
        """Return the state that a checkpoint or a peer's whole configuration holds."""
        state = cls()
        state.advance(offset, records, outcomes)
        return state

    def fold(self, offset: int, data: bytes) -> ChangeOutcome | None:
        """Fold the next log record; return the outcome if it is a change seen for the first time.

        A record already folded is ignored; ``OffsetGapError`` if records are missing before it.
        """
        if offset < self.offset:
            return None
        if offset > self.offset:
            raise OffsetGapError(f"record {offset} does not follow {self.offset - 1}")
        self.offset = offset + 1
        self._forget()
        content = _decoded(data)
        if isinstance(content, ConfigurationCheckpoint):
            self._note_checkpoint(offset, content)
        if not isinstance(content, ConfigurationRecord) or not _is_change(content):
            return None
        if content.change_id in self.outcome_by_change:
            return None
        outcome = self._judge(offset, content)
        self.outcome_by_change[content.change_id] = outcome
        if outcome.code is ResultCode.CONFIG_ACCEPTED:
            record = dataclasses.replace(content, version=outcome.version)
            self._put(Entry(record, encode(record)))
        return outcome

    def advance(
        self, offset: int, records: Iterable[bytes], outcomes: Iterable[ChangeOutcome]
    ) -> None:
        """Move to ``offset`` by what another reader's state holds in addition to this one."""
        entries = sorted((_entry(data) for data in records), key=lambda entry: entry.version)
        for entry in entries:
            if entry.version > self.version_of(entry.record.name):
                self._put(entry)
        for outcome in sorted(outcomes, key=lambda item: item.offset):
            self.outcome_by_change.setdefault(outcome.change_id, outcome)
        self.offset = max(self.offset, offset)
        self._forget()

    def moved_to(self, log_base: int) -> "ConfigurationState":
        """Return this state as it stands before the first record of a log that started anew."""
        state = ConfigurationState.restore(log_base, self.records_after(-1), ())
        state.log_base = log_base
        return state

    def version_of(self, name: str) -> int:
        """Return the version in force, of a removal too; 0 if there is none."""
        entry = self.entry_by_name.get(name)
        return entry.version if entry is not None else 0

    def live_version_of(self, name: str) -> int:
        """Return the version in force of a workspace; 0 if it does not exist."""
        entry = self.entry_by_name.get(name)
        return 0 if entry is None or entry.is_removal else entry.version

    def workspace_by_name(self) -> dict[str, Workspace]:
        """Return the live workspaces."""
        return self._workspace_by_name.copy()

    def version_by_name(self) -> dict[str, int]:
        """Return the versions of the live workspaces."""
        return self._version_by_name.copy()

    def records_after(self, offset: int) -> tuple[bytes, ...]:
        """Return the records, encoded, of everything accepted at ``offset`` or later."""
        return tuple(entry.data for entry in self.entry_by_name.values() if entry.version > offset)

    def outcomes_after(self, offset: int) -> tuple[ChangeOutcome, ...]:
        """Return the remembered outcomes of changes at ``offset`` or later."""
        return tuple(
            outcome for outcome in self.outcome_by_change.values() if outcome.offset >= offset
        )

    def remembers_since(self, offset: int) -> bool:
        """Tell whether every removal and outcome since ``offset`` is still remembered."""
        return offset >= 0 and offset >= self.offset - MEMORY_OFFSETS

    def _note_checkpoint(self, offset: int, part: ConfigurationCheckpoint) -> None:
        if part.log_base > self.log_base:
            self.is_superseded = True
        elif part.part == part.parts - 1 and part.folded_to <= offset:
            self.checkpoint_offset = max(self.checkpoint_offset, part.folded_to)

    def _judge(self, offset: int, record: ConfigurationRecord) -> ChangeOutcome:
        current = self.version_of(record.name)
        exists = self.live_version_of(record.name) > 0
        accepted = record.base == current or (record.base == 0 and not exists)
        if record.workspace is None and not exists:
            accepted = False
        code = ResultCode.CONFIG_ACCEPTED if accepted else ResultCode.CONFIG_CONFLICT
        version = offset + 1 if accepted else current
        return ChangeOutcome(record.change_id, record.name, offset, code, version, record.author)

    def _put(self, entry: Entry) -> None:
        name = entry.record.name
        self.entry_by_name[name] = entry
        self._removed_names.pop(name, None)
        if entry.record.workspace is None:
            self._removed_names[name] = entry.version
            self._workspace_by_name.pop(name, None)
            self._version_by_name.pop(name, None)
        else:
            self._workspace_by_name[name] = entry.record.workspace
            self._version_by_name[name] = entry.version

    def _forget(self) -> None:
        # Both maps are in order of offset, so only their heads are looked at.
        oldest = self.offset - MEMORY_OFFSETS
        while self.outcome_by_change:
            change_id, outcome = next(iter(self.outcome_by_change.items()))
            if outcome.offset >= oldest:
                break
            del self.outcome_by_change[change_id]
        while self._removed_names:
            name, version = next(iter(self._removed_names.items()))
            if version > oldest:
                break
            del self._removed_names[name]
            del self.entry_by_name[name]


def _entry(data: bytes) -> Entry:
    record = _decoded(data)
    if not isinstance(record, ConfigurationRecord) or record.version <= 0:
        raise ValueError("a record without a version in the configuration's entries")
    return Entry(record, data)


def _decoded(data: bytes) -> Any:
    try:
        return decode(data)
    except CodecError:
        return None


def _is_change(record: ConfigurationRecord) -> bool:
    if record.version != 0 or not record.change_id or not record.name:
        return False
    return record.workspace is None or record.workspace.name == record.name
