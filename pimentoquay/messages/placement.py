"""Messages between an entry process and the scheduler of a pool shard (numbers 20 to 39)."""

from enum import IntEnum

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message

__all__ = [
    "FindRequest",
    "Grant",
    "GrantRecord",
    "LeaseRenewal",
    "Located",
    "PlaceRequest",
    "Reannouncement",
    "Refusal",
    "Release",
    "ReplaceRequest",
    "Stage",
    "StageReport",
    "Urgency",
]


class Urgency(IntEnum):
    """Urgency of a kind of request; lower values are served first."""

    URGENT = 0
    NORMAL = 1
    PATIENT = 2


class Stage(IntEnum):
    """Stage of one attempt of a request."""

    PREFILL = 0
    TRANSFER = 1
    DECODE = 2


@message(20)
class PlaceRequest:
    """Request to the shard's scheduler for engines; answered by ``Grant`` or ``Refusal``.

    Times are in seconds. ``deadline_in`` is the time from sending the message until the first
    token is due. ``prefix`` holds the hashes of the prompt's blocks in order. ``workspace_limit``
    and ``workspace_weight`` come from the configuration in force: the maximum number of requests
    of the workspace in the shard, and its weight in fair sharing between workspaces.
    """

    request_id: str
    attempt: int
    shard: str
    workspace: str
    kind: str
    urgency: Urgency
    prompt_tokens: int
    max_tokens: int
    prefix: tuple[int, ...]
    deadline_in: float
    token_interval: float
    workspace_limit: int
    workspace_weight: int = 1


@message(21)
class Grant:
    """Engines assigned to one attempt; both are the same if one engine runs both stages."""

    request_id: str
    attempt: int
    prefill_engine: str
    decode_engine: str


@message(22)
class Refusal:
    """Rejection of a placement; ``retry_after`` is in seconds."""

    request_id: str
    attempt: int
    code: ResultCode
    retry_after: float
    detail: str


@message(23)
class StageReport:
    """Result of one finished stage as the entry observed it; ``seconds`` is its duration."""

    request_id: str
    attempt: int
    stage: Stage
    engine: str
    code: ResultCode
    tokens: int
    cached_tokens: int
    seconds: float


@message(24)
class ReplaceRequest:
    """Request for other engines after a failed stage; answered by ``Grant`` or ``Refusal``.

    The grant of the failed attempt ends with this message. ``kv_engine`` names the engine that
    still holds the KV cache, or is empty. ``attempt`` is the number of the new attempt.
    """

    request_id: str
    attempt: int
    failed_stage: Stage
    failed_engine: str
    kv_engine: str
    code: ResultCode
    deadline_in: float


@message(25)
class Release:
    """Releases everything that an ended or cancelled request holds."""

    request_id: str
    code: ResultCode
    tokens: int
    seconds: float


@message(26)
class GrantRecord:
    """A grant as known to its entry, from which a new shard owner rebuilds its ledger."""

    request_id: str
    attempt: int
    workspace: str
    prefill_engine: str
    decode_engine: str
    stage: Stage
    prompt_tokens: int
    max_tokens: int


@message(27)
class Reannouncement:
    """All grants of an entry in a shard, sent to the new owner of the shard."""

    shard: str
    grants: tuple[GrantRecord, ...]


@message(28)
class LeaseRenewal:
    """Renewal of the lease on all grants of an entry, sent every second and echoed unchanged."""

    sequence: int


@message(29)
class FindRequest:
    """Request for the location of a stream to resume; answered by ``Located`` or ``Refusal``."""

    request_id: str
    shard: str


@message(30)
class Located:
    """Engine and attempt of a running stream, whose grant moves to the requesting entry."""

    request_id: str
    attempt: int
    engine: str
