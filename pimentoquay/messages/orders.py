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
    """Ask the owner of an idempotency key for the right to run; ``KeyClaimAnswer`` follows.

    ``claim_id`` is chosen by the entry, fresh for each attempt to claim, so that a request that
    its caller repeats under the same ``request_id`` is told apart from the first.
    """

    key: str
    workspace: str
    request_id: str
    claim_id: str


@message(71)
class KeyClaimAnswer:
    """Whether the claim is granted; anything but ``OK`` means that this request must not run.

    ``KEY_IN_USE``, ``KEY_ALREADY_RUN`` and ``OUTCOME_UNKNOWN`` tell of the request that holds the
    key; ``KEY_UNAVAILABLE`` says that the claim could not be decided.
    """

    claim_id: str
    code: ResultCode


@message(72)
class KeyOutcome:
    """How a claimed request ended; a "not run" code frees the key for another request.

    An entry also sends it with a "not run" code for a claim whose answer it did not wait for.
    """

    key: str
    workspace: str
    request_id: str
    claim_id: str
    code: ResultCode


@message(73)
class KeyClaimRecord:
    """One claim on the log; ``digest`` stands for workspace and key."""

    digest: bytes
    claim_id: str


@message(74)
class KeyOutcomeRecord:
    """One outcome on the log."""

    digest: bytes
    claim_id: str
    code: ResultCode


@message(75)
class KeyBatch:
    """One append: outcomes are folded before claims. The first three fields name the batch."""

    vm: str
    incarnation: int
    sequence: int
    outcomes: tuple[KeyOutcomeRecord, ...]
    claims: tuple[KeyClaimRecord, ...]


@message(76)
class ShardClaim:
    """A claim of the right to order a shard's engines about.

    The offset of a holder's first claim plus one is its fencing number, counted from ``above``: the
    highest number given out on a log that has since started anew, else 0. ``renews`` is the number
    that the record renews, 0 in a first claim; ``lease`` is in seconds, 0 to give the right up.
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
    """A claim of one of a data centre's places for loading weights, or its end.

    ``lifetime`` is in seconds; 0 gives the place of the engine back.
    """

    engine: str
    data_centre: str
    vm: str
    incarnation: int
    sequence: int
    lifetime: float


@message(78)
class RoleRecord:
    """The role that an engine shall have from now on, whoever holds its shard.

    ``role`` is the value of an ``EngineRole``. The record counts only while ``number`` is the
    fencing number of the shard's holder.
    """

    shard: str
    engine: str
    role: int
    number: int
    vm: str
    incarnation: int
    sequence: int
