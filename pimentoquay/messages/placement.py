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
    """How urgent a kind of request is; a lower number goes first."""

    URGENT = 0
    NORMAL = 1
    PATIENT = 2


class Stage(IntEnum):
    """The stages of one attempt of a request."""

    PREFILL = 0
    TRANSFER = 1
    DECODE = 2


@message(20)
class PlaceRequest:
    """Ask the shard's scheduler for engines; answered by ``Grant`` or ``Refusal``.

    Times are in seconds. ``deadline_in`` is what remains until the first token is due when the
    message is sent. ``prefix`` holds the hashes of the prompt's blocks, first block first.
    ``workspace_limit`` and ``workspace_weight`` are what the configuration in force says: the
    most that the workspace may have in the shard, and its share against others.
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
    """Engines for one attempt. Both names are equal where one engine does both stages."""

    request_id: str
    attempt: int
    prefill_engine: str
    decode_engine: str


@message(22)
class Refusal:
    """A placement that was refused; ``retry_after`` is in seconds."""

    request_id: str
    attempt: int
    code: ResultCode
    retry_after: float
    detail: str


@message(23)
class StageReport:
    """What an entry saw of one finished stage; ``seconds`` is how long the stage took."""

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
    """Ask for other engines after a stage failed; answered by ``Grant`` or ``Refusal``.

    The grant of the failed attempt ends with this message. ``kv_engine`` names the engine that
    still holds the KV cache, or is empty. ``attempt`` is the new attempt's number.
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
    """The request ended or was withdrawn; everything it held becomes free."""

    request_id: str
    code: ResultCode
    tokens: int
    seconds: float


@message(26)
class GrantRecord:
    """One grant as its entry knows it, for a scheduler that rebuilds its ledger."""

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
    """Every grant that an entry holds of a shard, sent to a new owner of it."""

    shard: str
    grants: tuple[GrantRecord, ...]


@message(28)
class LeaseRenewal:
    """An entry's lease over all its grants; sent every second, returned as it came."""

    sequence: int


@message(29)
class FindRequest:
    """Ask where a request's stream runs, to resume it; answered by ``Located`` or ``Refusal``."""

    request_id: str
    shard: str


@message(30)
class Located:
    """The engine and the attempt of a running stream; the grant moves to the asking entry."""

    request_id: str
    attempt: int
    engine: str
