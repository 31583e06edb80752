"""Data types for the decisions about requests and engines, independent of the platform.

Times are in seconds, sizes in tokens or bytes as the names say. The adapter of a platform decodes
the messages that it receives into these types.
"""

from dataclasses import dataclass, field
from enum import Enum

from pimentoquay.http1 import ServerLimits
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.workspaces import WorkspaceTable

__all__ = [
    "DECODE_STAGES",
    "EngineEntry",
    "EngineStage",
    "FleetConfiguration",
    "ModelRequest",
    "RepeatRule",
    "Route",
    "STREAM_STAGES",
    "Service",
    "ServiceShare",
    "TokenMemory",
    "start_of_version",
    "unstated_version",
]

_UNSTATED_PREFIX = "unknown: "
_MAX_INCARNATION_DIGITS = 20


class RepeatRule(Enum):
    """Rule for running a request again that may have run already.

    ``IDEMPOTENT`` requests may be run again and ``ONCE`` requests may not. ``STREAM`` requests may
    if their route is resumable.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


class EngineStage(Enum):
    """Stages that an engine runs; ``NONE`` for a server of a plain service, which has no stages."""

    NONE = "none"
    PREFILL = "prefill"
    DECODE = "decode"
    BOTH = "both"


DECODE_STAGES = (EngineStage.DECODE, EngineStage.BOTH)
"""Stages of the engines that run streams of models."""

STREAM_STAGES = (EngineStage.NONE, *DECODE_STAGES)
"""Stages of the engines that run streams, with the servers of plain services."""


@dataclass(frozen=True)
class ServiceShare:
    """Service that gets a part of a route's requests, in proportion to ``weight``."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Handling of the requests with one host and path prefix.

    ``max_engines`` is the maximum number of engines that one request may run on,
    ``target_seconds`` the maximum time to the response (for streams, to its first event) and
    ``gap_seconds`` the maximum time between two events of a stream for it to be on time. ``rank``
    is its priority, where 0 is the highest. Requests on a route that ``is_public`` need no key.
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
    is_public: bool = False

    @property
    def may_run_again(self) -> bool:
        """Whether a request that may have run can be run again."""
        return self.repeat is RepeatRule.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True)
class TokenMemory:
    """Memory of each engine of a service: capacity in tokens, times in seconds.

    ``handle_seconds`` is the lifetime of a KV handle, ``longest_hold_seconds`` the maximum lifetime
    of a memory hold, ``event_tokens`` the number of tokens in one event of a stream, and
    ``change_seconds`` the time that an engine takes to change its stage.
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
    """Group of backend servers that routes refer to.

    ``memory`` is None for plain services, whose servers hold no KV cache.
    """

    name: str
    health_path: str
    max_connections: int
    memory: TokenMemory | None = None


@dataclass(frozen=True)
class FleetConfiguration:
    """One version of the configuration that operators publish.

    ``workspaces`` is None if it has none, and callers then need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    service_by_name: dict[str, Service] = field(hash=False)
    limits: ServerLimits = field(default_factory=ServerLimits)
    workspaces: WorkspaceTable | None = field(default=None, hash=False)


@dataclass(frozen=True)
class EngineEntry:
    """Entry of an engine in the engine list, written by the engine itself.

    ``incarnation`` grows with each start under the same id, ``sequence`` with each heartbeat of an
    incarnation. ``software`` is the version of its program, or empty if it states none.
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
    software: str = ""

    @property
    def software_version(self) -> str:
        """Version of its program; one that is not stated equals that of no other start."""
        return self.software or unstated_version(self.start)

    @property
    def start(self) -> EngineStart:
        """Id and incarnation, which identify one start of the engine."""
        return EngineStart(self.id, self.incarnation)


def unstated_version(start: EngineStart) -> str:
    """Return the name of the software version of a start of an engine that states none.

    Example
    -------
    >>> unstated_version(EngineStart("dec-1", 2000))
    'unknown: dec-1 2000'
    """
    return f"{_UNSTATED_PREFIX}{start.id} {start.incarnation}"


def start_of_version(software: str) -> EngineStart | None:
    """Return the start of an engine after which a version is named, if it is.

    Example
    -------
    >>> start_of_version("unknown: dec-1 2000")
    EngineStart(id='dec-1', incarnation=2000, restarts=0)
    """
    engine_id, _, incarnation = software.removeprefix(_UNSTATED_PREFIX).rpartition(" ")
    is_named = software.startswith(_UNSTATED_PREFIX) and engine_id
    is_number = incarnation.isascii() and incarnation.isdecimal()
    if not is_named or not is_number or len(incarnation) > _MAX_INCARNATION_DIGITS:
        return None
    return EngineStart(engine_id, int(incarnation))


@dataclass(frozen=True)
class ModelRequest:
    """Size of a request to a model, in tokens.

    ``expected_output`` is the caller's estimate of the output, or zero if it gives none.
    ``shared_parts`` are the ids of the parts of the prompt that other requests may have as well, in
    order; the last part of a prompt is the request's own and not among them.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output: int = 0
    shared_parts: tuple[str, ...] = ()
