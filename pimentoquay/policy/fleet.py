"""What the decisions about requests and engines work on, in the project's words.

Times are in seconds, sizes in tokens or bytes as the names say. The adapter of a platform makes
these values from what it receives; nothing here knows how they travel.
"""

from dataclasses import dataclass, field
from enum import Enum

from pimentoquay.http1 import ServerLimits

__all__ = [
    "EngineEntry",
    "EngineStage",
    "FleetConfiguration",
    "ModelRequest",
    "RepeatRule",
    "Route",
    "Service",
    "ServiceShare",
    "TokenMemory",
]


class RepeatRule(Enum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class EngineStage(Enum):
    """Which half of a request's work an engine does; plain services do neither."""

    NONE = "none"
    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


@dataclass(frozen=True)
class ServiceShare:
    """One part of a route whose requests are split over several services."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests of one host and path prefix are handled.

    ``max_engines`` bounds the engines that one request may run on, ``target_seconds`` is the time
    in which an answer (for streams its first event) is on time, and ``gap_seconds`` the longest
    pause between two events of a stream that is on time.
    """

    name: str
    host: str
    path_prefix: str
    repeat: RepeatRule
    timeout_seconds: float
    target_seconds: float
    shares: tuple[ServiceShare, ...]
    max_engines: int = 1
    rank: int = 0
    is_resumable: bool = False
    has_model_requests: bool = False
    gap_seconds: float = 1.0

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be run once more."""
        return self.repeat is RepeatRule.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class TokenMemory:
    """The memory of each engine of a service: capacity in tokens, times in seconds.

    ``event_tokens`` is how many tokens one event of a stream carries, ``change_seconds`` how long
    an engine takes to change its stage.
    """

    slots: int
    capacity_tokens: int
    bytes_per_token: int
    handle_seconds: float
    longest_hold_seconds: float
    event_tokens: int = 1
    change_seconds: float = 6.0


@dataclass(frozen=True)
class Service:
    """The backend servers that routes point to; ``memory`` is None for plain services."""

    name: str
    health_path: str
    max_connections: int
    memory: TokenMemory | None = None


@dataclass(frozen=True)
class FleetConfiguration:
    """One version of the operators' configuration."""

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service] = field(hash=False)
    limits: ServerLimits = field(default_factory=ServerLimits)


@dataclass(frozen=True)
class EngineEntry:
    """One engine as it describes itself.

    ``incarnation`` differs between two starts under one id. ``sequence`` grows with each heartbeat
    of an incarnation.
    """

    id: str
    service: str
    address: str
    data_centre: str
    is_draining: bool
    slots: int
    stage: EngineStage = EngineStage.NONE
    incarnation: int = 0
    sequence: int = 0


@dataclass(frozen=True)
class ModelRequest:
    """What a request for a model says of its size, in tokens.

    ``expected_output`` is the caller's own estimate, or zero if it gives none.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output: int = 0
