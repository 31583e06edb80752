"""Checks of the invariants against the records of callers, engines, plain services and the log."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoquay.bench.faults.cluster import FaultCluster
from pimentoquay.bench.faults.records import WORKSPACE, CallKind, CallRecord, Ending, OrderTaken
from pimentoquay.bench.faults.schedule import Fault
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.kernel import ResultCode, is_not_run
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.tokens import answer_text

__all__ = ["HeldMemoryMonitor", "Violation", "find_violations"]

MAX_HELD_SECONDS = 2.0
"""Maximum time for which engines hold the memory of a request that has ended, in seconds.

It counts from the end of the request or, if later, from the recovery after the last failure.
"""

RECOVERY_SECONDS = 6.0
"""Time after the end of a failure until the system has recovered, in seconds.

By then lost processes have been detected and every shard has an owner again.
"""

LEAVING_DELAY_SECONDS = 3.0
"""Time after which a leaving backend server gets no new work, in seconds."""

_STALE_MEMBERSHIP_FAULTS = (
    "cut platform",
    "membership outage",
    "membership lag",
    "pause VM",
    "pause control",
    "replace all VMs",
)
"""Kinds of failures during which VMs can have a stale membership list."""

_FAILURE_CODES = (
    ResultCode.ENGINE_FAILED,
    ResultCode.TRANSFER_FAILED,
    ResultCode.STREAM_BROKEN,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.INTERNAL,
)
"""Result codes that are a violation if no failure occurred during the call."""


_INVALID_CODES = (
    ResultCode.UNAUTHENTICATED,
    ResultCode.MODEL_FORBIDDEN,
    ResultCode.MODEL_UNKNOWN,
    ResultCode.BAD_REQUEST,
    ResultCode.NOT_FOUND,
)
"""Result codes of invalid calls; no caller makes invalid calls."""


@dataclass(frozen=True)
class Violation:
    """Broken invariant, with the details of where it was broken."""

    invariant: str
    detail: str


class HeldMemoryMonitor:
    """Finds requests whose memory the engines still hold long after they ended.

    ``check`` has to be called periodically.
    """

    def __init__(self, cluster: FaultCluster) -> None:
        self._cluster = cluster
        self._found: dict[str, Violation] = {}

    def check(self, now: float, last_fault_at: float) -> None:
        """Record the memory held for requests that ended too long ago; times are in seconds."""
        record_by_id = {record.call.request_id: record for record in self._cluster.records}
        for name, engine in self._cluster.engine_by_name.items():
            for held in engine.observed().held:
                record = record_by_id.get(held.request_id)
                if record is None or not record.ended_at:
                    continue
                freeable_at = max(record.ended_at, last_fault_at + RECOVERY_SECONDS)
                if now - freeable_at > MAX_HELD_SECONDS and held.kv_tokens:
                    detail = (
                        f"{held.request_id} attempt {held.attempt} on {name}, "
                        f"{held.stage.name}, ended {now - record.ended_at:.2f} s ago"
                    )
                    self._found.setdefault(held.request_id, Violation("memory held", detail))

    def violations(self) -> tuple[Violation, ...]:
        """Return one violation for each request whose memory was held for too long."""
        return tuple(self._found.values())


def find_violations(
    cluster: FaultCluster,
    faults: tuple[Fault, ...],
    monitor: HeldMemoryMonitor,
    not_loaded: tuple[str, ...],
) -> tuple[Violation, ...]:
    """Return the violations of all invariants after a schedule has ended.

    Parameters
    ----------
    faults : tuple of Fault
        Failures that happened.
    monitor : HeldMemoryMonitor
        Monitor that checked the engines' memory during the schedule.
    not_loaded : tuple of str
        Engines that did not load the configured model version in time.
    """
    return (
        *(Violation("unexpected error", error) for error in cluster.errors),
        *_check_answers(cluster),
        *_check_invalid_codes(cluster),
        *_check_not_run_codes(cluster),
        *_check_once_only(cluster),
        *monitor.violations(),
        *_check_configuration(cluster),
        *_check_leaving_engines(cluster, faults),
        *_check_unexplained_failures(cluster, faults),
        *_check_prefill_tokens(cluster),
        *_check_orders(cluster.connection_faults.orders),
        *(Violation("engine not at the version in force", name) for name in not_loaded),
    )


def _check_answers(cluster: FaultCluster) -> Iterator[Violation]:
    for record in cluster.records:
        if not record.ended_at:
            yield Violation("unfinished request", _describe(record))
            continue
        if record.call.kind is CallKind.PLAIN:
            continue
        expected = answer_text(record.call.prompt, record.call.max_tokens)
        if not expected.startswith(record.text):
            yield Violation("wrong answer", _describe(record))
        elif record.ending is Ending.ANSWERED and record.text != expected:
            yield Violation("incomplete answer", _describe(record))


def _check_invalid_codes(cluster: FaultCluster) -> Iterator[Violation]:
    """Yield calls refused as invalid, although all are valid in every configuration version."""
    for record in cluster.records:
        if record.code in _INVALID_CODES:
            yield Violation("valid call refused as invalid", _describe(record))


def _runs_by_request(cluster: FaultCluster) -> dict[str, list[tuple[str, Stage, int]]]:
    runs = defaultdict(list)
    for name, engine in cluster.engine_by_name.items():
        for run in engine.observed().runs:
            runs[run.request_id].append((name, run.stage, run.attempt))
    for name, service in cluster.plain_service_by_name.items():
        for call in service.observed().runs:
            runs[call.request_id].append((name, Stage.DECODE, 0))
    return runs


def _check_not_run_codes(cluster: FaultCluster) -> Iterator[Violation]:
    runs = _runs_by_request(cluster)
    for record in cluster.records:
        is_refused = record.code is not None and is_not_run(record.code)
        if is_refused and len(record.vms) == 1 and runs.get(record.call.request_id):
            yield Violation(
                "untrue not run", f"{_describe(record)}: {runs[record.call.request_id]}"
            )


def _check_once_only(cluster: FaultCluster) -> Iterator[Violation]:
    once_only_ids = {
        record.call.request_id
        for record in cluster.records
        if record.call.kind in (CallKind.ONCE, CallKind.PLAIN)
    }
    for request_id, runs in _runs_by_request(cluster).items():
        count = sum(stage is Stage.DECODE for _, stage, _ in runs)
        if request_id in once_only_ids and count > 1:
            yield Violation("run twice", f"{request_id}: {runs}")
    runs_by_key = Counter(
        run.key
        for service in cluster.plain_service_by_name.values()
        for run in service.observed().runs
    )
    for key, count in runs_by_key.items():
        if count > 1:
            yield Violation("run twice", f"idempotency key {key} ran {count} times")


def _check_configuration(cluster: FaultCluster) -> Iterator[Violation]:
    newest_by_vm: Counter[str] = Counter()
    for item in cluster.in_force:
        if item.version < newest_by_vm[item.vm]:
            detail = f"{item.vm} went from version {newest_by_vm[item.vm]} to {item.version}"
            yield Violation("configuration reverted", detail)
        newest_by_vm[item.vm] = max(newest_by_vm[item.vm], item.version)
    state = ConfigurationState()
    for offset, data in sorted(cluster.configuration_log.items()):
        state.fold(offset, data)
    logged_version = state.version_of(WORKSPACE)
    latest_by_vm = {item.vm: item.version for item in cluster.in_force}
    for vm in cluster.vms:
        if latest_by_vm.get(vm) != logged_version:
            detail = f"{vm} is at version {latest_by_vm.get(vm)}, the log says {logged_version}"
            yield Violation("configuration not in force", detail)
    for change in cluster.published:
        outcome = state.outcome_by_change.get(change.change_id)
        if change.code is ResultCode.CONFIG_ACCEPTED and (
            outcome is None or outcome.code is not ResultCode.CONFIG_ACCEPTED
        ):
            yield Violation("untrue accepted", change.change_id)
        if change.code in (ResultCode.CONFIG_CONFLICT, ResultCode.LOG_UNAVAILABLE) and (
            outcome is not None and outcome.code is ResultCode.CONFIG_ACCEPTED
        ):
            yield Violation("untrue rejected", f"{change.change_id}: {change.code!r}")


def _check_leaving_engines(cluster: FaultCluster, faults: tuple[Fault, ...]) -> Iterator[Violation]:
    first_run_at: dict[str, float] = {}
    for engine in cluster.engine_by_name.values():
        for run in engine.observed().runs:
            earliest = first_run_at.get(run.request_id, run.at)
            first_run_at[run.request_id] = min(earliest, run.at)
    for leaving in faults:
        if leaving.kind != "engine leaves":
            continue
        if any(
            fault.kind in _STALE_MEMBERSHIP_FAULTS and _overlaps(fault, leaving) for fault in faults
        ):
            continue
        deadline = leaving.began + LEAVING_DELAY_SECONDS
        for run in cluster.engine_by_name[leaving.target].observed().runs:
            if deadline < run.at < leaving.ended and first_run_at[run.request_id] > deadline:
                detail = f"{leaving.target} got {run.request_id} {run.at - leaving.began:.2f} s on"
                yield Violation("work for a leaving engine", detail)


def _overlaps(fault: Fault, other: Fault) -> bool:
    return fault.began < other.ended and other.began < fault.ended + RECOVERY_SECONDS


def _check_unexplained_failures(
    cluster: FaultCluster, faults: tuple[Fault, ...]
) -> Iterator[Violation]:
    """Yield the requests that failed or were cut off although no failure occurred meanwhile."""
    for record in cluster.records:
        failed = (record.ended_at and record.ending is Ending.LOST) or record.code in _FAILURE_CODES
        if not failed:
            continue
        concurrent_kinds = {
            fault.kind
            for fault in faults
            if fault.began <= record.ended_at and record.began_at < fault.ended + RECOVERY_SECONDS
        }
        if not concurrent_kinds:
            yield Violation("failed unprovoked", _describe(record))
        elif concurrent_kinds == {"drain VM"}:
            yield Violation("cut by graceful shutdown", _describe(record))


def _check_prefill_tokens(cluster: FaultCluster) -> Iterator[Violation]:
    """Yield a violation if prefilled tokens were neither used for decoding nor discarded.

    Nothing is checked if an engine still holds memory.
    """
    observed = [engine.observed() for engine in cluster.engine_by_name.values()]
    if any(item.held for item in observed):
        return
    done = sum(item.prefilled_tokens for item in observed)
    used = sum(item.used_tokens for item in observed)
    discarded = sum(item.discarded_tokens for item in observed)
    if done != used + discarded:
        detail = f"{done} tokens done, {used} used, {discarded} discarded"
        yield Violation("prefill unaccounted", detail)


def _check_orders(orders: list[OrderTaken]) -> Iterator[Violation]:
    """Yield fencing numbers that two holders used, and orders applied after a later holder's."""
    holder_by_number: dict[int, str] = {}
    newest_by_engine: dict[str, OrderTaken] = {}
    for order in orders:
        holder = holder_by_number.setdefault(order.number, order.holder)
        if holder != order.holder:
            detail = f"number {order.number} of {holder} and of {order.holder}"
            yield Violation("fencing number held twice", detail)
        newest = newest_by_engine.setdefault(order.engine, order)
        if order.number < newest.number:
            yield Violation("order of a lapsed holder", f"{order} after {newest}")
        else:
            newest_by_engine[order.engine] = order


def _describe(record: CallRecord) -> str:
    call = record.call
    ending = record.ending.name if record.ending is not None else "NONE"
    code = int(record.code) if record.code is not None else 0
    return (
        f"{call.request_id} {call.kind.name} {ending} {code} through {', '.join(record.vms)}, "
        f"{len(record.text.split())} of {len(answer_text(call.prompt, call.max_tokens).split())} "
        f"tokens, {record.began_at:.2f} to {record.ended_at:.2f}"
    )
