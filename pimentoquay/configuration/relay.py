"""Messages that bring a lagging copy of the configuration up to date."""

from pimentoquay.configuration.checkpoint import split_into_chunks
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import ChangeOutcome

__all__ = ["MAX_TRANSFER_PART_BYTES", "EntriesReceiver", "entries_after", "is_gap"]

MAX_PART_BYTES = 512 * 1024
"""Approximate limit of the records in one message, in bytes."""

MAX_TRANSFER_PART_BYTES = 64 * 1024
"""Approximate limit of the records in one message of a transfer to another VM, in bytes."""


def entries_after(
    state: ConfigurationState,
    after_offset: int,
    *,
    with_outcomes: bool = True,
    part_bytes: int = MAX_PART_BYTES,
) -> list[ConfigurationEntries]:
    """Return the messages that advance a copy from ``after_offset`` to the offset of ``state``.

    The messages hold the whole configuration if the receiver has none or lags too far behind for
    the remembered removals and outcomes.

    Parameters
    ----------
    state
        The configuration to send.
    after_offset
        Offset of the receiver, -1 if it has no configuration.
    with_outcomes
        Whether to include the outcomes of changes.
    part_bytes
        Approximate limit of the records in one message, in bytes.
    """
    if not state.remembers_since(after_offset):
        after_offset = -1
    outcomes = state.outcomes_after(after_offset) if with_outcomes else ()
    chunks = split_into_chunks(state.records_after(after_offset), outcomes, part_bytes)
    return [
        ConfigurationEntries(
            after_offset,
            state.offset,
            part,
            len(chunks),
            state.checkpoint_offset,
            state.log_base,
            *chunk,
        )
        for part, chunk in enumerate(chunks)
    ]


class EntriesReceiver:
    """Reassembles the messages of one sender and applies them to a state."""

    def __init__(self) -> None:
        self._parts: list[ConfigurationEntries] = []

    def add(
        self, state: ConfigurationState | None, entries: ConfigurationEntries
    ) -> ConfigurationState | None:
        """Return the state after a message, which is the given state if nothing is new.

        A message that starts after the state's offset changes nothing (see ``is_gap``), and
        neither does one with malformed records.
        """
        parts = self._collect(entries)
        if parts is None:
            return state
        try:
            return self._apply(state, entries, parts)
        except ValueError:
            # All records are decoded before the state is changed, so it is still intact.
            return state

    def _apply(
        self,
        state: ConfigurationState | None,
        entries: ConfigurationEntries,
        parts: list[ConfigurationEntries],
    ) -> ConfigurationState | None:
        records = [record for part in parts for record in part.records]
        outcomes: list[ChangeOutcome] = [item for part in parts for item in part.outcomes]
        if entries.after_offset < 0:
            if state is not None and state.offset >= entries.offset:
                return state
            state = ConfigurationState.restore(entries.offset, records, outcomes)
            state.log_base = entries.log_base
        elif state is None or is_gap(state, entries):
            return state
        elif state.offset < entries.offset:
            state.advance(entries.offset, records, outcomes)
            state.log_base = entries.log_base
        state.checkpoint_offset = max(state.checkpoint_offset, entries.checkpoint_offset)
        return state

    def _collect(self, entries: ConfigurationEntries) -> list[ConfigurationEntries] | None:
        if entries.part == 0:
            self._parts = []
        first = self._parts[0] if self._parts else entries
        fits = (first.after_offset, first.offset, first.parts) == (
            entries.after_offset,
            entries.offset,
            entries.parts,
        )
        if not fits or entries.part != len(self._parts):
            self._parts = []
            return None
        self._parts.append(entries)
        if len(self._parts) < entries.parts:
            return None
        parts, self._parts = self._parts, []
        return parts


def is_gap(state: ConfigurationState | None, entries: ConfigurationEntries) -> bool:
    """Return whether records are missing between the state and the start of a message."""
    if entries.after_offset < 0:
        return False
    return state is None or entries.after_offset > state.offset
