"""Passing the configuration on: what one state sends to another that lags behind it."""

from pimentoquay.configuration.checkpoint import chunks_of
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import ChangeOutcome

__all__ = ["TRANSFER_BYTES", "EntriesReceiver", "entries_after", "is_gap"]

PART_BYTES = 512 * 1024
"""The room for records in one message, in bytes."""

TRANSFER_BYTES = 64 * 1024
"""The room in one message to another VM, of which only a few are under way at once."""


def entries_after(
    state: ConfigurationState,
    after_offset: int,
    *,
    with_outcomes: bool = True,
    part_bytes: int = PART_BYTES,
) -> list[ConfigurationEntries]:
    """Return the messages that bring a state from ``after_offset`` to this one's offset.

    The whole configuration is sent to a receiver that has none (``after_offset`` -1) or that
    lags behind by more than is remembered.
    """
    if not state.remembers_since(after_offset):
        after_offset = -1
    outcomes = state.outcomes_after(after_offset) if with_outcomes else ()
    chunks = chunks_of(state.records_after(after_offset), outcomes, part_bytes)
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
    """Puts the parts of one sender's messages together and applies them to a state."""

    def __init__(self) -> None:
        self._parts: list[ConfigurationEntries] = []

    def add(
        self, state: ConfigurationState | None, entries: ConfigurationEntries
    ) -> ConfigurationState | None:
        """Return the state after a message; the state given if it brought nothing new.

        A message that starts after the state's offset cannot be applied and changes nothing;
        ``is_gap`` tells so. Malformed records change nothing either.
        """
        whole = self._collect(entries)
        if whole is None:
            return state
        try:
            return self._applied(state, entries, whole)
        except ValueError:
            # Everything is decoded before anything is changed.
            return state

    def _applied(
        self,
        state: ConfigurationState | None,
        entries: ConfigurationEntries,
        whole: list[ConfigurationEntries],
    ) -> ConfigurationState | None:
        records = [record for part in whole for record in part.records]
        outcomes: list[ChangeOutcome] = [item for part in whole for item in part.outcomes]
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
        whole, self._parts = self._parts, []
        return whole


def is_gap(state: ConfigurationState | None, entries: ConfigurationEntries) -> bool:
    """Tell whether a message starts after what the state holds."""
    if entries.after_offset < 0:
        return False
    return state is None or entries.after_offset > state.offset
