"""Updates a shard's estimates from the reports of entries: speeds, cached prefixes, failures."""

from pimentoquay.kernel import ResultCode
from pimentoquay.messages.placement import Release, ReplaceRequest, Stage, StageReport
from pimentoquay.policy import Circuits, PrefixIndex, RetryBudget, SpeedBook, link_keys
from pimentoquay.scheduler.ledger import GrantState, Ledger

__all__ = ["Learner"]


class Learner:
    """Applies reports of entries to the ledger and the estimates of one shard.

    Parameters
    ----------
    ledger
        The shard's grants, whose stages follow the reports.
    speeds
        Speeds of engines and links, learned from the reported durations.
    prefixes
        Index of the prompt prefixes that engines cache.
    circuits
        Circuit breakers of engines and links.
    budget
        Retry budget; each complete answer adds to it.
    has_circuits
        Whether failures open circuits; false only to compare policies.
    """

    def __init__(
        self,
        ledger: Ledger,
        speeds: SpeedBook,
        prefixes: PrefixIndex,
        circuits: Circuits,
        budget: RetryBudget,
        has_circuits: bool,
    ) -> None:
        self._ledger = ledger
        self._speeds = speeds
        self._prefixes = prefixes
        self._circuits = circuits
        self._budget = budget
        self._has_circuits = has_circuits
        self._prefill_done_at: dict[str, float] = {}

    def record_prefill(self, grant: GrantState, report: StageReport, now: float) -> None:
        """Apply the report of a finished prefill and start the next stage of its grant."""
        if grant.stage is not Stage.PREFILL:
            return
        engine = report.engine
        started = max(grant.granted_at, self._prefill_done_at.get(engine, 0.0))
        seconds = min(report.seconds, now - started)
        self._prefill_done_at[engine] = now
        computed = report.tokens - report.cached_tokens
        self._speeds.record_prefill(engine, max(1, computed), max(0.0, seconds), now)
        self._prefixes.correct(engine, grant.request.prefix, report.cached_tokens)
        self._circuits.succeeded(engine)
        stage = Stage.TRANSFER if grant.uses_link else Stage.DECODE
        self._ledger.set_stage(grant, stage, now)

    def record_transfer(self, grant: GrantState, report: StageReport, now: float) -> None:
        """Apply the report of a finished transfer and move its grant to decoding."""
        if grant.stage is not Stage.TRANSFER:
            return
        self._speeds.record_transfer(grant.decode_engine, report.tokens, report.seconds, now)
        self._circuits.succeeded(grant.decode_engine)
        for key in link_keys(grant.prefill_engine, grant.decode_engine):
            self._circuits.succeeded(key)
        self._ledger.set_stage(grant, Stage.DECODE, now)

    def record_failure(self, grant: GrantState | None, message: ReplaceRequest, now: float) -> None:
        """Count a failure against the circuit of the engine or link at fault.

        A refused transfer counts only if the ledger shows a free slot on the decode engine;
        otherwise the scheduler granted more than the engine can hold.
        """
        engine = message.failed_engine
        is_transfer = message.failed_stage is Stage.TRANSFER
        if not self._has_circuits or (is_transfer and not message.kv_engine):
            return  # An expired KV cache says nothing about the engine that requested it.
        if message.code is ResultCode.CIRCUIT_OPEN:
            load = self._ledger.engine_by_name.get(engine)
            if not is_transfer or load is None or load.free_slots() > 0:
                self._circuits.refused(engine, now)
        elif is_transfer and grant is not None:
            for key in link_keys(grant.prefill_engine, grant.decode_engine):
                self._circuits.failed(key, now)
        else:
            self._circuits.failed(engine, now)

    def record_end(self, grant: GrantState, message: Release, now: float) -> None:
        """Learn from the end of a request; only a complete answer counts."""
        if message.code is not ResultCode.OK or grant.stage is not Stage.DECODE:
            return
        self._budget.earn()
        request = grant.request
        self._speeds.record_answer_length(request.kind, message.tokens, request.max_tokens, now)
        self._speeds.record_decode(
            grant.decode_engine, message.tokens, now - grant.stage_since, now
        )
