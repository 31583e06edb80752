"""Admission: how long a new request would wait, and whether that is worth starting.

The estimate takes the slower of two flows: decode slots coming free and prefill work being
done. A request whose first token would come too late is refused at once.
"""

from dataclasses import dataclass

from pimentoquay.kernel.codes import ResultCode

__all__ = ["AdmissionLimits", "Demand", "Flow", "Verdict", "admit", "estimated_wait"]

LONGEST_RETRY_AFTER = 30.0
"""Seconds."""


@dataclass(frozen=True)
class AdmissionLimits:
    """How long the queue may get, and the part of the deadline that estimates may fill."""

    max_queued: int = 2000
    deadline_share: float = 0.95
    refuses_early: bool = True


@dataclass(frozen=True)
class Flow:
    """What the shard gets through: free slots and prefill seconds waiting, and the rates.

    ``slot_seconds`` is the mean time a request holds a slot, ``slots`` their number over all
    live decode engines, ``prefill_seconds`` the mean prefill, ``prefill_engines`` how many
    share it, and ``prefill_backlog`` the seconds until the first of them is idle.
    """

    free_slots: int
    slots: int
    slot_seconds: float
    prefill_engines: int
    prefill_seconds: float
    prefill_backlog: float


@dataclass(frozen=True)
class Demand:
    """One new request: requests ahead of it, seconds to serve it and until its deadline.

    ``held`` and ``limit`` count what its workspace has in the shard, and may have.
    """

    ahead: float
    service: float
    deadline_in: float
    held: int
    limit: int
    queued: int


@dataclass(frozen=True)
class Verdict:
    """``OK`` or the refusal's code, with the seconds after which a retry makes sense."""

    code: ResultCode
    retry_after: float = 0.0


def estimated_wait(ahead: float, flow: Flow) -> float:
    """Return the seconds until a request with ``ahead`` others before it starts prefill."""
    waiting_for_slot = max(0.0, ahead + 1 - max(0, flow.free_slots))
    by_slots = waiting_for_slot * flow.slot_seconds / max(1, flow.slots)
    by_prefill = flow.prefill_backlog + ahead * flow.prefill_seconds / max(1, flow.prefill_engines)
    return max(by_slots, by_prefill)


def admit(demand: Demand, flow: Flow, limits: AdmissionLimits) -> Verdict:
    """Decide whether a new request may wait, or is refused before anything runs."""
    if flow.slots == 0 or flow.prefill_engines == 0:
        return Verdict(ResultCode.NO_BACKEND, 1.0)
    wait = estimated_wait(demand.ahead, flow)
    if demand.limit > 0 and demand.held >= demand.limit:
        return Verdict(ResultCode.WORKSPACE_LIMIT, _retry_after(flow.slot_seconds / demand.limit))
    if demand.queued >= limits.max_queued:
        return Verdict(ResultCode.QUEUE_FULL, _retry_after(wait))
    room = demand.deadline_in * limits.deadline_share
    if limits.refuses_early and wait + demand.service > room:
        return Verdict(ResultCode.DEADLINE_UNREACHABLE, _retry_after(wait + demand.service - room))
    return Verdict(ResultCode.OK)


def _retry_after(seconds: float) -> float:
    return min(LONGEST_RETRY_AFTER, max(0.1, seconds))
