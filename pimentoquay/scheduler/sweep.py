"""Comparing an engine's own report with the ledger.

What the engine holds without a grant is counted against its capacity, and cancelled once it is
old enough and nobody reads it. A grant that the engine no longer knows is given back after two
reports in a row.
"""

from dataclasses import dataclass

from pimentoquay.backends.base import EngineStatus, RunningRequest
from pimentoquay.messages.placement import Stage
from pimentoquay.scheduler.ledger import GrantState, Ledger

__all__ = ["Cancellation", "SweepResult", "sweep"]

REPORTS_BEFORE_LOST = 2
"""Reports in a row that lack a grant before it counts as lost."""

OVERDUE_SECONDS = 3.0
"""After so long past its deadline, no entry waits for a prefill or a transfer any more."""

STAGE_SETTLING_SECONDS = 0.5
"""A grant younger than this may be missing from a report that is up to date."""


@dataclass(frozen=True)
class Cancellation:
    """Something on an engine that is to be freed."""

    engine: str
    request_id: str
    attempt: int


@dataclass(frozen=True)
class SweepResult:
    """What one report shows: holdings to cancel, and requests whose grants are lost."""

    cancellations: tuple[Cancellation, ...]
    lost: tuple[str, ...]


def sweep(ledger: Ledger, status: EngineStatus, grace: float, now: float) -> SweepResult:
    """Compare one report with the ledger, and count what no grant explains."""
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
    return SweepResult(cancellations, _lost(ledger, status, now))


def _is_unexplained(ledger: Ledger, engine: str, item: RunningRequest) -> bool:
    grant = ledger.get(item.request_id)
    if grant is None:
        return True
    return engine not in (grant.prefill_engine, grant.decode_engine)


def _is_foreign(ledger: Ledger, engine: str, item: RunningRequest) -> bool:
    return _is_unexplained(ledger, engine, item) and not ledger.was_released(item.request_id)


def _lost(ledger: Ledger, status: EngineStatus, now: float) -> tuple[str, ...]:
    running = {item.request_id for item in status.running}
    lost = []
    for grant in ledger:
        if not _should_be_seen(grant, status, now):
            continue
        if grant.request.request_id in running:
            grant.missing_reports = 0
            continue
        grant.missing_reports += 1
        if grant.missing_reports >= REPORTS_BEFORE_LOST:
            lost.append(grant.request.request_id)
    return tuple(lost)


def _should_be_seen(grant: GrantState, status: EngineStatus, now: float) -> bool:
    reported_at = now - status.age
    engine = grant.prefill_engine if grant.stage is Stage.PREFILL else grant.decode_engine
    if engine != status.engine or grant.stage_since + STAGE_SETTLING_SECONDS >= reported_at:
        return False
    return grant.stage is Stage.DECODE or reported_at > grant.deadline + OVERDUE_SECONDS
