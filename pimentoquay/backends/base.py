"""The interface of a model engine and of a plain service, behind which every kind plugs in.

Sizes are in tokens, times in seconds. Each attempt of a request is told apart by
``(request_id, attempt)``; an engine drops what it holds of an older attempt when a newer one
arrives. A stream whose reader went away keeps running until it is resumed or cancelled.
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
    """Which stages an engine serves."""

    PREFILL = 0
    DECODE = 1
    MIXED = 2


class EngineRefusedError(PimentoquayError):
    """The engine refused and ran nothing of the call."""

    def __init__(self, detail: str, retry_after: float = 0.0) -> None:
        super().__init__(ResultCode.CIRCUIT_OPEN, detail)
        self.retry_after = retry_after


class KvGoneError(EngineRefusedError):
    """The engine that should send a KV cache no longer holds it, so asking again is no use.

    A transfer that its entry gave up may have ended well a moment later, after which the source
    frees its copy; or the copy expired before the entry reckoned.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(detail)
        self.code = ResultCode.KV_GONE


class EngineLostError(PimentoquayError):
    """The connection to the engine failed; the call may have run."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.ENGINE_FAILED, detail)


class PlainLostError(PimentoquayError):
    """The connection to a plain service failed; ``written`` tells if a byte was sent."""

    def __init__(self, detail: str, written: bool) -> None:
        code = ResultCode.OUTCOME_UNKNOWN if written else ResultCode.NO_BACKEND
        super().__init__(code, detail)
        self.written = written


@dataclass(frozen=True)
class PrefillOrder:
    """Compute the KV cache of a prompt. ``max_tokens`` bounds the answer decoded later."""

    request_id: str
    attempt: int
    workspace: str
    model: str
    prompt: str
    max_tokens: int
    priority: int


@dataclass(frozen=True)
class PrefillResult:
    """A finished prefill; its KV cache lives for ``kv_lifetime`` seconds unless it is used."""

    prompt_tokens: int
    cached_tokens: int
    kv_bytes: int
    kv_lifetime: float


@dataclass(frozen=True)
class ImportOrder:
    """Fetch the KV cache of a request from the engine at ``source_address``.

    ``source_attempt`` is the attempt that the source holds the cache under, where an earlier
    attempt left it there; -1 stands for ``attempt``.
    """

    request_id: str
    attempt: int
    source_engine: str
    source_address: str
    max_tokens: int
    source_attempt: int = -1

    @property
    def kv_attempt(self) -> int:
        """The attempt that the source holds the KV cache under."""
        return self.attempt if self.source_attempt < 0 else self.source_attempt


@dataclass(frozen=True)
class DecodeOrder:
    """Start decoding a request whose KV cache is on this engine."""

    request_id: str
    attempt: int
    chat: bool


@dataclass(frozen=True)
class RunningRequest:
    """One request that an engine holds memory for.

    ``age`` is the time since its stage began or its last reader left, zero while it is read.
    """

    request_id: str
    attempt: int
    stage: Stage
    has_reader: bool
    kv_tokens: int
    age: float


@dataclass(frozen=True)
class EngineStatus:
    """An engine's report of itself, which lags."""

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
    """The wanted state of an engine; stated whole, so that repeating it changes nothing."""

    fencing_number: int
    version: str
    adapters: tuple[str, ...]
    role: EngineRole


@dataclass(frozen=True)
class CacheEvent:
    """A prompt prefix that entered or left an engine's cache; events come late, with gaps."""

    sequence: int
    prefix: int
    cached: bool


@dataclass(frozen=True)
class PlainCall:
    """One call of a plain service."""

    request_id: str
    method: str
    path: str
    body: bytes
    content_type: str


@dataclass(frozen=True)
class PlainAnswer:
    """The answer of a plain service; ``not_run`` is its proof that it did nothing."""

    status: int
    body: bytes
    content_type: str
    not_run: bool


class EngineClient(Protocol):
    """One model engine.

    Every call raises ``EngineRefusedError`` if nothing ran, ``EngineLostError`` if that is not
    known. ``decode`` and ``resume`` yield whole server-sent event frames as bytes, one token
    each, ending with ``data: [DONE]``; each yielded item may hold several frames.
    """

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute a prompt's KV cache and hold it."""

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache and hold it in a decode slot."""

    def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer."""

    def resume(self, request_id: str, attempt: int, offset: int) -> AsyncGenerator[bytes, None]:
        """Stream a running or newly ended answer again from token ``offset``.

        ``attempt`` -1 stands for whichever attempt the engine holds.
        """

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Free all that is held for an attempt; ``attempt`` -1 frees every attempt."""

    async def status(self) -> EngineStatus:
        """Return the engine's own report."""

    async def order(self, order: EngineOrder) -> None:
        """Move towards a wanted state; ``PimentoquayError`` with ``FENCED`` if refused as old."""

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""


class PlainClient(Protocol):
    """One plain service."""

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Send one call; ``PlainLostError`` when no whole answer came."""
