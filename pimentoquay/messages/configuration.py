"""Messages about the log of configuration changes and their replication (55 to 59)."""

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message

__all__ = [
    "CatchUpBusy",
    "ChangeOutcome",
    "ConfigurationCheckpoint",
    "PackedEntries",
    "PartTaken",
]


@message(55)
class ChangeOutcome:
    """Outcome of one configuration change when its log record was applied.

    ``code`` is ``CONFIG_ACCEPTED`` or ``CONFIG_CONFLICT``; ``version`` is the new version of an
    accepted change, or the version in force (0 for none) when a change was rejected.
    """

    change_id: str
    name: str
    offset: int
    code: ResultCode
    version: int
    author: str


@message(56)
class ConfigurationCheckpoint:
    """One part of a snapshot of the whole configuration before log offset ``folded_to``.

    The parts of one ``generation`` are appended in order, so the checkpoint is complete once its
    last part is on the log. ``records`` holds encoded ``ConfigurationRecord`` messages with their
    versions, including removals. ``log_base`` is the offset assigned to the first record of the
    log; a higher value than before shows that the log was reset.
    """

    generation: str
    log_base: int
    folded_to: int
    part: int
    parts: int
    records: tuple[bytes, ...]
    outcomes: tuple[ChangeOutcome, ...]


@message(57)
class PackedEntries:
    """A ``ConfigurationEntries`` message between control processes, compressed with zlib.

    Changes that are sent together have most of their text in common and compress well.
    """

    body: bytes


@message(58)
class PartTaken:
    """Acknowledges one of several parts of the configuration, so that the next one is sent."""

    offset: int
    part: int


@message(59)
class CatchUpBusy:
    """Response to a ``CatchUpRequest`` from a VM at its limit of concurrent transfers."""

    offset: int
