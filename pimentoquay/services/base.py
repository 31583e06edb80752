"""The interfaces of the platform: log service, membership list, weight store."""

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
    """The log service did not take the call."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.LOG_UNAVAILABLE, detail)


class LogOutcomeUnknownError(PimentoquayError):
    """An append's answer was lost; the record may be on the log."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.LOG_OUTCOME_UNKNOWN, detail)


@dataclass(frozen=True)
class LogRecord:
    """One record; ``age`` is how many seconds ago the log took it."""

    offset: int
    data: bytes
    age: float


@dataclass(frozen=True)
class LogPage:
    """Records after an offset, the first offset still kept, and the next to be given out."""

    first_offset: int
    next_offset: int
    records: tuple[LogRecord, ...]


class LogClient(Protocol):
    """The append-only log service, one ordered sequence of offsets per stream."""

    async def append(self, stream: str, data: bytes) -> int:
        """Append and return the offset; ``LogUnavailableError`` if surely not appended."""

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on, waiting up to ``wait`` seconds for the first."""


class MembershipClient(Protocol):
    """The platform's membership list."""

    async def members(self) -> MembershipUpdate:
        """Return the list as it stands; ``ConnectionError`` if it cannot be read."""


class WeightStoreClient(Protocol):
    """The store of model weights, limited in rate."""

    async def size_of(self, model: str, version: str) -> int:
        """Return the size in bytes of one version's weights."""
