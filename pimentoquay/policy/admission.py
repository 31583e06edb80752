"""Admission control: estimate the wait of a new request and refuse it early if it is too long.

The estimated wait is the longer of the wait for a free decode slot and the wait for a prefill
engine. A request whose first token would arrive after its deadline is refused at once.
"""

from dataclasses import dataclass

from pimentoquay.kernel.codes import ResultCode

__all__ = ["AdmissionDecision", "AdmissionLimits", "Demand", "ShardLoad", "admit", "estimated_wait"]

MAX_RETRY_AFTER_SECONDS = 30.0
"""Maximum time after which a refused caller is asked to retry, in seconds."""


@dataclass(frozen=True)
class AdmissionLimits:
    """Limits of admission.

    ``max_queued`` is the maximum number of queued requests, ``deadline_share`` the share of the
    time until the deadline that the estimated wait and service may fill. ``refuses_early``
    enables the check against the deadline.
    """

    max_queued: int = 2000
    deadline_share: float = 0.95
    refuses_early: bool = True


@dataclass(frozen=True)
class ShardLoad:
    """Load and service times of a shard.

    ``slots`` is the number of slots on all live decode engines and ``slot_seconds`` the mean time
    for which a request holds one. ``prefill_engines`` is the number of prefill engines,
    ``prefill_seconds`` the mean duration of a prefill, and ``prefill_backlog`` the time in seconds
    until the first of these engines is idle.
    """

    free_slots: int
    slots: int
    slot_seconds: float
    prefill_engines: int
    prefill_seconds: float
    prefill_backlog: float


@dataclass(frozen=True)
class Demand:
    """Input of an admission decision about a new request.

    ``ahead`` is the estimated number of requests that will be served before it, ``service`` the
    time in seconds from the start of its prefill to its first token, and ``deadline_in`` the
    time in seconds until its deadline. ``held`` is the number of requests that its workspace has
    in the shard, ``limit`` the maximum of that number (0 for no limit), and ``queued`` the number
    of requests in the shard's queue.
    """

    ahead: float
    service: float
    deadline_in: float
    held: int
    limit: int
    queued: int


@dataclass(frozen=True)
class AdmissionDecision:
    """Result of admission: ``OK`` or the code of a refusal.

    ``retry_after`` is the time in seconds after which a retry is likely to be admitted.
    """

    code: ResultCode
    retry_after: float = 0.0


def estimated_wait(ahead: float, load: ShardLoad) -> float:
    """Return the estimated seconds until a request with ``ahead`` others before it is prefilled."""
    slots_to_free = max(0.0, ahead + 1 - max(0, load.free_slots))
    slot_wait = slots_to_free * load.slot_seconds / max(1, load.slots)
    prefill_wait = load.prefill_backlog + ahead * load.prefill_seconds / max(
        1, load.prefill_engines
    )
    return max(slot_wait, prefill_wait)


def admit(demand: Demand, load: ShardLoad, limits: AdmissionLimits) -> AdmissionDecision:
    """Decide whether a new request is queued, or refused before any work is done for it.

    Load pattern: more requests than the engines can serve. A request that cannot meet its deadline
    would use up capacity for nothing, so it is refused while its caller can still go elsewhere.
    The number of queued requests is limited for each workspace and for the shard.
    """
    if load.slots == 0 or load.prefill_engines == 0:
        return AdmissionDecision(ResultCode.NO_BACKEND, 1.0)
    wait = estimated_wait(demand.ahead, load)
    if demand.limit > 0 and demand.held >= demand.limit:
        return AdmissionDecision(
            ResultCode.WORKSPACE_LIMIT, _retry_after(load.slot_seconds / demand.limit)
        )
    if demand.queued >= limits.max_queued:
        return AdmissionDecision(ResultCode.QUEUE_FULL, _retry_after(wait))
    usable_seconds = demand.deadline_in * limits.deadline_share
    if limits.refuses_early and wait + demand.service > usable_seconds:
        return AdmissionDecision(
            ResultCode.DEADLINE_UNREACHABLE, _retry_after(wait + demand.service - usable_seconds)
        )
    return AdmissionDecision(ResultCode.OK)


def _retry_after(seconds: float) -> float:
    return min(MAX_RETRY_AFTER_SECONDS, max(0.1, seconds))
