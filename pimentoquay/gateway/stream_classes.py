"""Priorities and workspaces of streams: what coordinators are told, and what is counted.

A coordinator is told the class of a stream in a message of its own, since the fields of
``PlaceRequest`` are fixed and gateways of older builds run beside.
"""

from collections import Counter

from pimentoquay.gateway.job import Job
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.pools import MAX_WORKSPACE_LENGTH, PlaceClass, PlaceRequest, PoolKey
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.service_order import clamp_priority
from pimentoquay.policy.stream_admission import StreamTimes, WaitDecision
from pimentoquay.policy.stream_need import StreamNeed
from pimentoquay.policy.stream_queue import WaitingStream

__all__ = ["ClassCounts", "PlaceClasses", "class_message", "log_refusal", "need_of"]

MAX_CLASSES = 4_000
"""Maximum number of streams whose classes a coordinator keeps for each pool, ten times as many as
the engines of a pool run; the oldest are dropped. They take a megabyte at most."""


class ClassCounts:
    """Counts of streams that got memory or were refused, by priority."""

    def __init__(self) -> None:
        self.placed: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()

    def record(self, stream: WaitingStream, error: RefusedError | None = None) -> None:
        """Count a stream that got memory, or that an error refused for lack of it."""
        name = str(clamp_priority(stream.priority))
        if error is None:
            self.placed[name] += 1
        elif error.code in (ResultCode.QUEUE_FULL, ResultCode.DEADLINE_UNREACHABLE):
            self.refused[name] += 1


class PlaceClasses:
    """Classes of streams that gateways have told a coordinator, by VM and key.

    They are kept while a stream waits, in case the message is lost before a repeated request.
    """

    def __init__(self) -> None:
        self._by_key: dict[tuple[str, str], tuple[int, str]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def record(self, source: str, message: PlaceClass) -> None:
        """Keep the class of a stream for the requests that follow."""
        self._by_key.pop((source, message.key), None)
        self._by_key[source, message.key] = message.priority, message.workspace
        if len(self._by_key) > MAX_CLASSES:
            del self._by_key[next(iter(self._by_key))]

    def of(self, source: str, key: str) -> tuple[int, str]:
        """Return the priority and workspace of a stream; 0 and empty if nothing was told."""
        return self._by_key.get((source, key), (0, ""))

    def forget(self, source: str, key: str) -> None:
        """Forget a stream whose caller has left."""
        self._by_key.pop((source, key), None)


def class_message(job: Job, key: str, pool: PoolKey) -> PlaceClass | None:
    """Return the message that tells the class of a job's stream, or ``None`` if none is set.

    A name that is too long is cut, and characters that cannot be encoded are replaced, so that such
    workspaces at worst share what they get.
    """
    priority, workspace = clamp_priority(job.priority), job.workspace_name
    if not priority and not workspace:
        return None
    name = workspace.encode("utf-8", "replace").decode()[:MAX_WORKSPACE_LENGTH]
    return PlaceClass(key, pool, priority, name)


def log_refusal(
    pool: PoolKey, vm: str, service_class: tuple[int, str], decision: WaitDecision, age: float
) -> None:
    """Log why a coordinator refused a stream among several priorities or workspaces.

    Parameters
    ----------
    pool, vm, service_class
        The pool, the stream's gateway, and its priority and workspace.
    decision
        The refusal, with what it depended on.
    age
        Seconds for which the coordinator has known the pool; what it knows is no older.
    """
    if not decision.basis:
        return
    logger.bind(
        pool=str(pool),
        vm=vm,
        priority=service_class[0],
        workspace=service_class[1],
        basis=decision.basis,
        retry_after=f"{decision.seconds:.3f}",
        known_for=f"{age:.3f}",
    ).info("stream yields to others")


def need_of(message: PlaceRequest, service_class: tuple[int, str], now: float) -> StreamNeed:
    """Return what a stream needs that a gateway asks a coordinator to place."""
    return StreamNeed(
        GrowingRun(message.tokens, message.remaining),
        message.need,
        message.prompt,
        StreamTimes(now - message.waited, now + message.late_in, now + message.leaves_in),
        message.may_prefill_on_decode_engine,
        message.software,
        *service_class,
        is_regrant=bool(message.full_engine),
    )
