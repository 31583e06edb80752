"""Interfaces of the clients of model engines and plain services, and the data they exchange.

A plain service is a backend server that runs no model. Sizes are in tokens, times in seconds. An
attempt of a request is identified by ``(request_id, attempt)``; an engine releases an older attempt
when a newer one arrives. A stream whose reader has disconnected keeps running until it is resumed
or cancelled.
"""

from collections.abc import AsyncGenerator
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.messages.placement import Stage

__all__ = [
    "CacheEvent",
    "DecodeOrder",
    "EngineClient",
    "EngineLostError",
    "EngineOrder",
    "EngineRefusedError",
    "EngineRole",
    "EngineStatus",
    "ImportOrder",
    "KvGoneError",
    "PlainAnswer",
    "PlainCall",
    "PlainClient",
    "PlainLostError",
    "PrefillOrder",
    "PrefillResult",
    "RunningRequest",
]


class EngineRole(IntEnum):
    """Role of an engine: the stages that it serves."""

    PREFILL = 0
    DECODE = 1
    MIXED = 2


class EngineRefusedError(PimentoquayError):
    """Raised when an engine rejected a call without running any part of it.

    ``retry_after`` is the time in seconds after which the call may be repeated.
    """

    def __init__(self, detail: str, retry_after: float = 0.0) -> None:
        super().__init__(ResultCode.CIRCUIT_OPEN, detail)
        self.retry_after = retry_after


class KvGoneError(EngineRefusedError):
    """Raised when the source engine of a transfer no longer holds the KV cache.

    A retry cannot succeed. Either a transfer that the entry had aborted still completed, after
    which the source frees its copy, or the copy expired earlier than the entry expected.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.code = ResultCode.KV_GONE


class EngineLostError(PimentoquayError):
    """Raised when the connection to an engine failed; the call may have run."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.ENGINE_FAILED, detail)


class PlainLostError(PimentoquayError):
    """Raised when a plain service returned no complete response.

    ``written`` is set if any byte of the request may have been sent.
    """

    def __init__(self, detail: str, written: bool) -> None:
        code = ResultCode.OUTCOME_UNKNOWN if written else ResultCode.NO_BACKEND
        super().__init__(code, detail)
        self.written = written


@dataclass(frozen=True)
class PrefillOrder:
    """Order to compute the KV cache of a prompt; ``max_tokens`` limits the decoded answer."""

    request_id: str
    attempt: int
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class PrefillResult:
    """Result of a prefill, whose unused KV cache expires after ``kv_lifetime`` seconds."""

    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    kv_lifetime: float


@dataclass(frozen=True)
class ImportOrder:
    """Order to fetch the KV cache of a request from the engine at ``source_address``.

    ``source_attempt`` is the attempt under which the source holds the cache if an earlier attempt
    created it; -1 means the same as ``attempt``.
    """

    request_id: str
    attempt: int
    source_engine: str
    source_address: str
    max_tokens: int
    source_attempt: int = -1

    @property
    def kv_attempt(self) -> int:
        """Attempt under which the source holds the KV cache."""
        return self.attempt if self.source_attempt < 0 else self.source_attempt


@dataclass(frozen=True)
class DecodeOrder:
    """Order to decode a request whose KV cache is on this engine."""

    request_id: str
    attempt: int
    chat: bool


@dataclass(frozen=True)
class RunningRequest:
    """A request that uses memory of an engine.

    ``age`` is the time in seconds since its stage began or its last reader disconnected, and 0
    while it has a reader.
    """

    request_id: str
    attempt: int
    stage: Stage
    has_reader: bool
    kv_tokens: int
    age: float


@dataclass(frozen=True)
class EngineStatus:
    """Status report of an engine, which describes its state ``age`` seconds ago."""

    engine: str
    model: str
    version: str
    adapters: tuple[str, ...]
    role: EngineRole
    decode_slots: int
    decode_running: int
    kv_capacity_tokens: int
    kv_used_tokens: int
    prefill_queue_tokens: int
    fencing_number: int
    age: float
    running: tuple[RunningRequest, ...]


@dataclass(frozen=True)
class EngineOrder:
    """Desired state of an engine; it is complete, so repeating an order is idempotent."""

    fencing_number: int
    version: str
    adapters: tuple[str, ...]
    role: EngineRole


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache; events may be late or missing."""

    sequence: int
    prefix: int
    cached: bool


@dataclass(frozen=True)
class PlainCall:
    """Request to a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str


@dataclass(frozen=True)
class PlainAnswer:
    """Response of a plain service; ``not_run`` states that the service did not run the call."""

    status: int
    body: bytes
    content_type: str
    not_run: bool


class EngineClient(Protocol):
    """Client of one model engine.

    Every method raises ``EngineRefusedError`` if the call did not run and ``EngineLostError`` if
    that is unknown. ``decode`` and ``resume`` yield complete server-sent event frames as bytes, one
    token per frame, ending with ``data: [DONE]``; a yielded item may contain several frames.
    """

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute the KV cache of a prompt and keep it on the engine."""

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache from another engine into a decode slot."""

    def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode a request and stream the answer."""

    def resume(self, request_id: str, attempt: int, offset: int) -> AsyncGenerator[bytes, None]:
        """Stream a running or recently finished answer again from token ``offset``.

        With ``attempt`` -1, stream whichever attempt the engine holds.
        """

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt and release its resources; -1 cancels all attempts of the request."""

    async def status(self) -> EngineStatus:
        """Return the engine's status report."""

    async def order(self, order: EngineOrder) -> None:
        """Set the desired state; ``PimentoquayError`` with ``FENCED`` for an old fencing token."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after sequence number ``after``."""


class PlainClient(Protocol):
    """Client of one plain service."""

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Send a call once; ``PlainLostError`` if no complete response arrived in time."""
