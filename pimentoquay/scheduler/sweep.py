"""Compares the status report of an engine with the ledger.

Requests that run on the engine without a grant count against its capacity. They are cancelled
when they are old enough and have no reader. A grant whose request is missing from two reports in
a row is lost and should be freed.
"""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineStatus, RunningRequest
from pimentoquay.messages.placement import Stage
from pimentoquay.scheduler.ledger import GrantState, Ledger

__all__ = ["Cancellation", "SweepResult", "sweep"]

REPORTS_BEFORE_LOST = 2
"""Number of reports in a row that must lack a request before its grant counts as lost."""

OVERDUE_SECONDS = 3.0
"""Seconds after a request's deadline beyond which no entry waits for its prefill or transfer."""

STAGE_SETTLING_SECONDS = 0.5
"""Seconds after a change of stage during which a current report may lack the request."""


@dataclass(frozen=True)
class Cancellation:
    """An attempt of a request to be cancelled on an engine."""

    engine: str
    request_id: str
    attempt: int


@dataclass(frozen=True)
class SweepResult:
    """Result of comparing one report with the ledger.

    ``cancellations`` are the attempts to cancel on the engine, and ``lost`` holds the ids of the
    requests that the engine no longer runs.
    """

    cancellations: tuple[Cancellation, ...]
    lost: tuple[str, ...]


def sweep(ledger: Ledger, status: EngineStatus, grace: float, now: float) -> SweepResult:
    """Compare one report with the ledger, and update the load for which there is no grant.

    Parameters
    ----------
    ledger
        The shard's ledger.
    status
        The engine's report.
    grace
        Age in seconds from which a request without a grant and without a reader is cancelled.
    now
        Present time in seconds of the scheduler's clock.
    """
    load = ledger.engine_by_name.get(status.engine)
    if load is None:
        return SweepResult((), ())
    foreign = [item for item in status.running if _is_foreign(ledger, status.engine, item)]
    load.foreign_slots = sum(item.stage is not Stage.PREFILL for item in foreign)
    load.foreign_kv = sum(item.kv_tokens for item in foreign)
    cancellations = tuple(
        Cancellation(status.engine, item.request_id, item.attempt)
        for item in status.running
        if not item.has_reader
        and item.age + status.age > grace
        and _is_unexplained(ledger, status.engine, item)
    )
    return SweepResult(cancellations, _lost_requests(ledger, status, now))


def _is_unexplained(ledger: Ledger, engine: str, item: RunningRequest) -> bool:
    grant = ledger.get(item.request_id)
    if grant is None:
        return True
    return engine not in (grant.prefill_engine, grant.decode_engine)


def _is_foreign(ledger: Ledger, engine: str, item: RunningRequest) -> bool:
    return _is_unexplained(ledger, engine, item) and not ledger.was_released(item.request_id)


def _lost_requests(ledger: Ledger, status: EngineStatus, now: float) -> tuple[str, ...]:
    running = {item.request_id for item in status.running}
    lost = []
    for grant in ledger:
        if not _should_be_reported(grant, status, now):
            continue
        if grant.request.request_id in running:
            grant.missing_reports = 0
            continue
        grant.missing_reports += 1
        if grant.missing_reports >= REPORTS_BEFORE_LOST:
            lost.append(grant.request.request_id)
    return tuple(lost)


def _should_be_reported(grant: GrantState, status: EngineStatus, now: float) -> bool:
    reported_at = now - status.age
    engine = grant.prefill_engine if grant.stage is Stage.PREFILL else grant.decode_engine
    if engine != status.engine or grant.stage_since + STAGE_SETTLING_SECONDS >= reported_at:
        return False
    return grant.stage is Stage.DECODE or reported_at > grant.deadline + OVERDUE_SECONDS
