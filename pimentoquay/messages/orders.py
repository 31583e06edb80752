"""Messages and log records of idempotency keys and shard claims (numbers 70 to 89)."""

from pimentoquay.kernel.codes import ResultCode
from pimentoquay.messages.codec import message

__all__ = [
    "KeyBatch",
    "KeyClaim",
    "KeyClaimAnswer",
    "KeyClaimRecord",
    "KeyOutcome",
    "KeyOutcomeRecord",
    "LoadPermit",
    "RoleRecord",
    "ShardClaim",
]


@message(70)
class KeyClaim:
    """Request to the owner of an idempotency key for the right to run a request under it.

    Answered by ``KeyClaimAnswer``. The entry generates a new ``claim_id`` for each attempt to
    claim, which distinguishes a request that its caller repeats under the same ``request_id``.
    """

    key: str
    workspace: str
    request_id: str
    claim_id: str


@message(71)
class KeyClaimAnswer:
    """Decision on a claim; with any code but ``OK`` the request must not run.

    ``KEY_IN_USE``, ``KEY_ALREADY_RUN`` and ``OUTCOME_UNKNOWN`` describe the request that holds the
    key; ``KEY_UNAVAILABLE`` means that the claim could not be decided.
    """

    claim_id: str
    code: ResultCode


@message(72)
class KeyOutcome:
    """Outcome of a request with a claimed key; a "not run" code releases the key.

    An entry also sends a "not run" code for a claim whose answer it did not wait for.
    """

    key: str
    workspace: str
    request_id: str
    claim_id: str
    code: ResultCode


@message(73)
class KeyClaimRecord:
    """Log record of a key's claim; ``digest`` is the hash of workspace and key."""

    digest: bytes
    claim_id: str


@message(74)
class KeyOutcomeRecord:
    """Log record of a request's outcome; ``digest`` is the hash of workspace and key."""

    digest: bytes
    claim_id: str
    code: ResultCode


@message(75)
class KeyBatch:
    """One append to the log of idempotency keys; outcomes are applied before claims.

    ``vm``, ``incarnation`` and ``sequence`` identify the batch.
    """

    vm: str
    incarnation: int
    sequence: int
    outcomes: tuple[KeyOutcomeRecord, ...]
    claims: tuple[KeyClaimRecord, ...]


@message(76)
class ShardClaim:
    """Claim of the exclusive right to send orders to a shard's engines.

    A holder's fencing token is the log offset of its first claim plus ``above`` plus one;
    ``above`` is the highest token issued before the log was reset, or 0. ``renews`` is the token
    that the record renews, 0 in a first claim. ``lease`` is in seconds; 0 releases the right.
    """

    shard: str
    vm: str
    incarnation: int
    sequence: int
    renews: int
    lease: float
    above: int


@message(77)
class LoadPermit:
    """Claim or release of one of a data centre's slots for loading weights concurrently.

    ``lifetime`` is in seconds; 0 releases the slot of the engine.
    """

    engine: str
    data_centre: str
    vm: str
    incarnation: int
    sequence: int
    lifetime: float


@message(78)
class RoleRecord:
    """Role assigned to an engine, which stays valid when another VM takes over its shard.

    ``role`` is the value of an ``EngineRole``. The record is applied only if ``number`` is the
    fencing token of the VM that holds the shard at that time.
    """

    shard: str
    engine: str
    role: int
    number: int
    vm: str
    incarnation: int
    sequence: int
