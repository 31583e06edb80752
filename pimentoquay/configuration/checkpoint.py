"""Checkpoints: copies of the whole configuration on a log with limited retention.

A checkpoint holds the configuration before one log offset, ``folded_to``. A reader that starts in
the middle of the log loads the first complete checkpoint whose ``folded_to`` is not before its
start, then replays every change from that offset. A change that is published while a checkpoint is
being written is therefore never undone: its offset is not before ``folded_to``, so it is replayed.
"""

from collections.abc import Iterator

from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.configuration import ChangeOutcome, ConfigurationCheckpoint
from pimentoquay.policy.message_parts import split_by_size

__all__ = ["Bootstrap", "checkpoint_parts", "split_into_chunks"]

ESTIMATED_OUTCOME_BYTES = 96
"""Estimated size of one encoded outcome."""

Chunk = tuple[tuple[bytes, ...], tuple[ChangeOutcome, ...]]
"""Encoded records, and outcomes, of one part."""


def split_into_chunks(
    records: tuple[bytes, ...], outcomes: tuple[ChangeOutcome, ...], limit: int
) -> list[Chunk]:
    """Split records and outcomes into one or more chunks of about ``limit`` bytes."""

    def size_of(item: bytes | ChangeOutcome) -> int:
        return len(item) if isinstance(item, bytes) else ESTIMATED_OUTCOME_BYTES

    items: list[bytes | ChangeOutcome] = [*records, *outcomes]
    return [
        (
            tuple(each for each in part if isinstance(each, bytes)),
            tuple(each for each in part if not isinstance(each, bytes)),
        )
        for part in split_by_size(items, size_of, limit) or ((),)
    ]


def checkpoint_parts(state: ConfigurationState, generation: str, limit: int) -> list[bytes]:
    """Return the encoded parts of a checkpoint, in the order to append them.

    ``generation`` identifies the checkpoint; ``limit`` is the approximate size of a part in bytes.
    """
    chunks = split_into_chunks(state.records_after(-1), state.outcomes_after(-1), limit)
    return [
        encode(
            ConfigurationCheckpoint(
                generation, state.log_base, state.offset, part, len(chunks), records, outcomes
            )
        )
        for part, (records, outcomes) in enumerate(chunks)
    ]


class Bootstrap:
    """Restores the state from a log that is read from the middle.

    Parameters
    ----------
    start
        Offset on the log of the first record that will be added.
    above
        Checkpoints are used only if their ``log_base`` is higher than this. With -1, every
        checkpoint is used, and none is needed if the log is read from its first record.
    """

    def __init__(self, start: int, above: int = -1) -> None:
        self.start = start
        self._above = above
        self._records: list[bytes] = []
        self._parts_by_generation: dict[str, dict[int, ConfigurationCheckpoint]] = {}

    @property
    def offset(self) -> int:
        """Offset of the next record to add."""
        return self.start + len(self._records)

    def add(self, offset: int, data: bytes) -> ConfigurationState | None:
        """Add a record of the log; return the restored state, or ``None`` if more are needed.

        The state is restored from the first complete checkpoint and the records from its
        ``folded_to`` on. Without ``above``, a log that is read from its first record needs no
        checkpoint. A record that was already added is ignored. After a gap, the records before it
        are discarded.
        """
        if offset < self.offset:
            return None
        if offset > self.offset:
            self._restart(offset)
        self._records.append(data)
        if self.start == 0 and self._above < 0:
            return self._replay(ConfigurationState())
        try:
            content = decode(data)
        except CodecError:
            return None
        if not isinstance(content, ConfigurationCheckpoint):
            return None
        if content.log_base <= self._above:
            return None
        if not self.start <= content.folded_to - content.log_base <= offset:
            return None
        part_by_index = self._parts_by_generation.setdefault(content.generation, {})
        part_by_index[content.part] = content
        if len(part_by_index) < content.parts:
            return None
        parts = [part_by_index[index] for index in sorted(part_by_index)]
        try:
            restored = ConfigurationState.restore(
                content.folded_to,
                [record for part in parts for record in part.records],
                [outcome for part in parts for outcome in part.outcomes],
            )
        except ValueError:
            # Skips a malformed checkpoint and waits for the next one.
            del self._parts_by_generation[content.generation]
            return None
        restored.log_base = content.log_base
        return self._replay(restored)

    def records(self) -> Iterator[tuple[int, bytes]]:
        """Yield the added records with their offsets."""
        for index, data in enumerate(self._records):
            yield self.start + index, data

    def _restart(self, start: int) -> None:
        self.start = start
        self._records = []
        self._parts_by_generation = {}

    def _replay(self, state: ConfigurationState) -> ConfigurationState:
        base = state.log_base
        for index in range(state.offset - base - self.start, len(self._records)):
            state.fold(base + self.start + index, self._records[index])
        return state
