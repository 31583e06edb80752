"""Interfaces of the platform services: log service, membership list and weight store."""

from dataclasses import dataclass
from typing import Protocol

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.messages.cluster import MembershipUpdate

__all__ = [
    "LogClient",
    "LogOutcomeUnknownError",
    "LogPage",
    "LogRecord",
    "LogUnavailableError",
    "MembershipClient",
    "WeightStoreClient",
]


class LogUnavailableError(PimentoquayError):
    """Raised when a read of the log failed, or when an append certainly did not happen."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.LOG_UNAVAILABLE, detail)


class LogOutcomeUnknownError(PimentoquayError):
    """Raised when the response to an append was lost; the record may be on the log."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.LOG_OUTCOME_UNKNOWN, detail)


@dataclass(frozen=True)
class LogRecord:
    """One record of the log; ``age`` is the time since it was appended, in seconds."""

    offset: int
    data: bytes
    age: float


@dataclass(frozen=True)
class LogPage:
    """Records from an offset on, with the first retained offset and the next one to be assigned."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogClient(Protocol):
    """Client of the append-only log service, which numbers the records of each stream in order."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raise ``LogUnavailableError`` if the record was certainly not appended, and
        ``LogOutcomeUnknownError`` if it may have been.
        """

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on; wait up to ``wait`` seconds if there are none."""


class MembershipClient(Protocol):
    """Client of the platform's membership list."""

    async def members(self) -> MembershipUpdate:
        """Return the current list; ``ConnectionError`` if it cannot be read."""


class WeightStoreClient(Protocol):
    """Client of the store of model weights, which limits its transfer rate."""

    async def size_of(self, model: str, version: str) -> int:
        """Return the size of the weights of one model version, in bytes."""
