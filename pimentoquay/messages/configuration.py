"""Messages about the configuration's log and its relay (numbers 55 to 59)."""

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
    """What the fold made of one change.

    ``code`` is ``CONFIG_ACCEPTED`` or ``CONFIG_CONFLICT``; ``version`` is the new version of an
    accepted change and the version that was in force (0 for none) when a change was rejected.
    """

    change_id: str
    name: str
    offset: int
    code: ResultCode
    version: int
    author: str


@message(56)
class ConfigurationCheckpoint:
    """One part of the whole configuration as it stood before log offset ``folded_to``.

    The parts of one ``generation`` are appended in order, so that the last one being on the log
    means that all are. ``records`` holds encoded ``ConfigurationRecord`` messages with their
    versions, removals among them. ``log_base`` is the offset that stands for the first record
    of the log; a higher one than before tells that the log has started anew.
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
    """A ``ConfigurationEntries`` message between control processes, encoded and compressed by zlib.

    Changes that are sent together share most of their words.
    """

    body: bytes


@message(58)
class PartTaken:
    """Tells the sender of several parts that one has arrived, so that it sends the next."""

    offset: int
    part: int


@message(59)
class CatchUpBusy:
    """The answer to a ``CatchUpRequest`` by a VM that serves as many others as it may."""

    offset: int
