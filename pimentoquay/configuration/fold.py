"""Replay (fold) of the configuration log into the configuration in force.

The state before a log offset is a pure function of the records before it:

- a change is accepted if its base is the version in force, or if it creates a workspace that
  does not exist (base 0); every other change is rejected;
- the version of an accepted change is its log offset plus one, so versions only grow;
- a repeated change id is ignored; outcomes are remembered for ``MEMORY_OFFSETS`` records;
- removals are remembered for ``MEMORY_OFFSETS`` records as well, so that they reach every peer
  that lags by less;
- checkpoints change nothing: they are for readers that start in the middle of the log.

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

__all__ = ["MEMORY_OFFSETS", "ConfigurationState", "OffsetGapError", "WorkspaceEntry"]

MEMORY_OFFSETS = 8192
"""Number of log records for which outcomes and removals are remembered."""


class OffsetGapError(ValueError):
    """Raised when records are missing between the state and the record to replay."""


@dataclass(frozen=True)
class WorkspaceEntry:
    """The record in force of one workspace, or of its removal; ``data`` is its encoded form."""

    record: ConfigurationRecord
    data: bytes

    @property
    def version(self) -> int:
        """Version of the record."""
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
        Number of log records replayed, which is the offset of the next one.

    Attributes
    ----------
    log_base
        Configuration offset of the first record of the log. It is 0 until the log service is
        reset and counts its offsets from 0 again.
    has_newer_log_base
        Whether the log holds a checkpoint with a higher ``log_base``.
    checkpoint_offset
        ``folded_to`` of the newest complete checkpoint, -1 if none is known.
    """

    def __init__(self, offset: int = 0) -> None:
        self.offset = offset
        self.checkpoint_offset = -1
        self.log_base = 0
        self.has_newer_log_base = False
        self.entry_by_name: dict[str, WorkspaceEntry] = {}
        self.outcome_by_change: dict[str, ChangeOutcome] = {}
        self._removal_version_by_name: dict[str, int] = {}
        # Kept in addition to the entries, because each push of a burst publishes copies of these
        # two maps.
        self._workspace_by_name: dict[str, Workspace] = {}
        self._version_by_name: dict[str, int] = {}

    @classmethod
    def restore(
        cls, offset: int, records: Iterable[bytes], outcomes: Iterable[ChangeOutcome]
    ) -> "ConfigurationState":
        """Return the state held by a checkpoint or by a peer's whole configuration."""
        state = cls()
        state.advance(offset, records, outcomes)
        return state

    def fold(self, offset: int, data: bytes) -> ChangeOutcome | None:
        """Replay the next log record; return the outcome if it is a new change.

        A record that was already replayed is ignored. Raise ``OffsetGapError`` if records before
        this one are missing.
        """
        if offset < self.offset:
            return None
        if offset > self.offset:
            raise OffsetGapError(f"record {offset} does not follow {self.offset - 1}")
        self.offset = offset + 1
        self._drop_expired()
        content = _decode_or_none(data)
        if isinstance(content, ConfigurationCheckpoint):
            self._note_checkpoint(offset, content)
        if not isinstance(content, ConfigurationRecord) or not _is_change(content):
            return None
        if content.change_id in self.outcome_by_change:
            return None
        outcome = self._decide_outcome(offset, content)
        self.outcome_by_change[content.change_id] = outcome
        if outcome.code is ResultCode.CONFIG_ACCEPTED:
            record = dataclasses.replace(content, version=outcome.version)
            self._store(WorkspaceEntry(record, encode(record)))
        return outcome

    def advance(
        self, offset: int, records: Iterable[bytes], outcomes: Iterable[ChangeOutcome]
    ) -> None:
        """Advance to ``offset`` by applying records and outcomes of a copy that is ahead."""
        entries = sorted((_decode_entry(data) for data in records), key=lambda entry: entry.version)
        for entry in entries:
            if entry.version > self.version_of(entry.record.name):
                self._store(entry)
        for outcome in sorted(outcomes, key=lambda item: item.offset):
            self.outcome_by_change.setdefault(outcome.change_id, outcome)
        self.offset = max(self.offset, offset)
        self._drop_expired()

    def with_log_base(self, log_base: int) -> "ConfigurationState":
        """Return a copy at ``log_base``, the offset of the first record of a log that was reset.

        The copy holds no outcomes.
        """
        state = ConfigurationState.restore(log_base, self.records_after(-1), ())
        state.log_base = log_base
        return state

    def version_of(self, name: str) -> int:
        """Return the version in force of a workspace or its removal; 0 if there is none."""
        entry = self.entry_by_name.get(name)
        return entry.version if entry is not None else 0

    def live_version_of(self, name: str) -> int:
        """Return the version in force of a workspace; 0 if it does not exist."""
        entry = self.entry_by_name.get(name)
        return 0 if entry is None or entry.is_removal else entry.version

    def workspace_by_name(self) -> dict[str, Workspace]:
        """Return the workspaces in force by name."""
        return self._workspace_by_name.copy()

    def version_by_name(self) -> dict[str, int]:
        """Return the versions of the workspaces in force by name."""
        return self._version_by_name.copy()

    def records_after(self, offset: int) -> tuple[bytes, ...]:
        """Return the encoded records in force that were accepted at ``offset`` or later."""
        return tuple(entry.data for entry in self.entry_by_name.values() if entry.version > offset)

    def outcomes_after(self, offset: int) -> tuple[ChangeOutcome, ...]:
        """Return the remembered outcomes of changes at ``offset`` or later."""
        return tuple(
            outcome for outcome in self.outcome_by_change.values() if outcome.offset >= offset
        )

    def remembers_since(self, offset: int) -> bool:
        """Return whether every removal and outcome since ``offset`` is still remembered."""
        return offset >= 0 and offset >= self.offset - MEMORY_OFFSETS

    def _note_checkpoint(self, offset: int, part: ConfigurationCheckpoint) -> None:
        if part.log_base > self.log_base:
            self.has_newer_log_base = True
        elif part.part == part.parts - 1 and part.folded_to <= offset:
            self.checkpoint_offset = max(self.checkpoint_offset, part.folded_to)

    def _decide_outcome(self, offset: int, record: ConfigurationRecord) -> ChangeOutcome:
        current = self.version_of(record.name)
        exists = self.live_version_of(record.name) > 0
        accepted = record.base == current or (record.base == 0 and not exists)
        if record.workspace is None and not exists:
            accepted = False
        code = ResultCode.CONFIG_ACCEPTED if accepted else ResultCode.CONFIG_CONFLICT
        version = offset + 1 if accepted else current
        return ChangeOutcome(record.change_id, record.name, offset, code, version, record.author)

    def _store(self, entry: WorkspaceEntry) -> None:
        name = entry.record.name
        self.entry_by_name[name] = entry
        self._removal_version_by_name.pop(name, None)
        if entry.record.workspace is None:
            self._removal_version_by_name[name] = entry.version
            self._workspace_by_name.pop(name, None)
            self._version_by_name.pop(name, None)
        else:
            self._workspace_by_name[name] = entry.record.workspace
            self._version_by_name[name] = entry.version

    def _drop_expired(self) -> None:
        # Both maps are ordered by offset, so only their first items can have expired.
        oldest = self.offset - MEMORY_OFFSETS
        while self.outcome_by_change:
            change_id, outcome = next(iter(self.outcome_by_change.items()))
            if outcome.offset >= oldest:
                break
            del self.outcome_by_change[change_id]
        while self._removal_version_by_name:
            name, version = next(iter(self._removal_version_by_name.items()))
            if version > oldest:
                break
            del self._removal_version_by_name[name]
            del self.entry_by_name[name]


def _decode_entry(data: bytes) -> WorkspaceEntry:
    record = _decode_or_none(data)
    if not isinstance(record, ConfigurationRecord) or record.version <= 0:
        raise ValueError("configuration entry is not a record with a version")
    return WorkspaceEntry(record, data)


def _decode_or_none(data: bytes) -> Any:
    try:
        return decode(data)
    except CodecError:
        return None


def _is_change(record: ConfigurationRecord) -> bool:
    if record.version != 0 or not record.change_id or not record.name:
        return False
    return record.workspace is None or record.workspace.name == record.name
