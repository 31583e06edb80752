"""The invariants, checked from what callers, engines, plain services and the log saw."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from pimentoquay.bench.faults.records import WORKSPACE, CallKind, CallRecord, Ending, OrderTaken
from pimentoquay.bench.faults.schedule import Fault
from pimentoquay.bench.faults.world import FaultWorld
from pimentoquay.configuration.fold import ConfigurationState
from pimentoquay.kernel import ResultCode, is_not_run
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.tokens import answer_text

__all__ = ["HeldWatch", "Violation", "violations_of"]

HELD_SECONDS = 2.0
"""Memory of a request that ended is freed within this time of being knowable."""

RECOVERY_SECONDS = 6.0
"""After a failure ends, lost processes have been noticed and shards have owners again."""

LEAVING_SECONDS = 3.0
"""A leaving backend server gets no new work after this time."""

_BLINDING = (
    "cut platform",
    "membership outage",
    "membership lag",
    "pause VM",
    "pause control",
    "replace all VMs",
)
"""Failures in which VMs cannot see the membership list as it is."""

_FAILURE_CODES = (
    ResultCode.ENGINE_FAILED,
    ResultCode.TRANSFER_FAILED,
    ResultCode.STREAM_BROKEN,
    ResultCode.OUTCOME_UNKNOWN,
    ResultCode.INTERNAL,
)


_INVALID_CODES = (
    ResultCode.UNAUTHENTICATED,
    ResultCode.MODEL_FORBIDDEN,
    ResultCode.MODEL_UNKNOWN,
    ResultCode.BAD_REQUEST,
    ResultCode.NOT_FOUND,
)


@dataclass(frozen=True)
class Violation:
    """One broken invariant."""

    invariant: str
    detail: str


class HeldWatch:
    """Looks at the engines' memory now and then."""

    def __init__(self, world: FaultWorld) -> None:
        self._world = world
        self._found: dict[str, Violation] = {}

    def look(self, now: float, last_fault_at: float) -> None:
        """Note what is held for requests that ended too long ago."""
        record_by_id = {record.call.request_id: record for record in self._world.records}
        for name, engine in self._world.engine_by_name.items():
            for held in engine.observed().held:
                record = record_by_id.get(held.request_id)
                if record is None or not record.ended_at:
                    continue
                since = max(record.ended_at, last_fault_at + RECOVERY_SECONDS)
                if now - since > HELD_SECONDS and held.kv_tokens:
                    detail = (
                        f"{held.request_id} attempt {held.attempt} on {name}, "
                        f"{held.stage.name}, ended {now - record.ended_at:.2f} s ago"
                    )
                    self._found.setdefault(held.request_id, Violation("memory held", detail))

    def violations(self) -> tuple[Violation, ...]:
        """Return one violation for each request whose memory stayed held."""
        return tuple(self._found.values())


def violations_of(
    world: FaultWorld, faults: tuple[Fault, ...], watch: HeldWatch, not_loaded: tuple[str, ...]
) -> tuple[Violation, ...]:
    """Return every broken invariant of a schedule that has ended."""
    return (
        *(Violation("unexpected error", error) for error in world.errors),
        *_check_answers(world),
        *_check_valid(world),
        *_check_not_run(world),
        *_check_once_only(world),
        *watch.violations(),
        *_check_configuration(world),
        *_check_leaving(world, faults),
        *_check_unprovoked(world, faults),
        *_check_prefill(world),
        *_check_orders(world.wires.orders),
        *(Violation("engine not at the version in force", name) for name in not_loaded),
    )


def _check_answers(world: FaultWorld) -> Iterator[Violation]:
    for record in world.records:
        if not record.ended_at:
            yield Violation("unfinished request", _told(record))
            continue
        if record.call.kind is CallKind.PLAIN:
            continue
        expected = answer_text(record.call.prompt, record.call.max_tokens)
        if not expected.startswith(record.text):
            yield Violation("wrong answer", _told(record))
        elif record.ending is Ending.ANSWERED and record.text != expected:
            yield Violation("incomplete answer", _told(record))


def _check_valid(world: FaultWorld) -> Iterator[Violation]:
    """Yield calls that were refused as invalid, although all are valid by every version."""
    for record in world.records:
        if record.code in _INVALID_CODES:
            yield Violation("valid call refused as invalid", _told(record))


def _runs(world: FaultWorld) -> dict[str, list[tuple[str, Stage, int]]]:
    runs = defaultdict(list)
    for name, engine in world.engine_by_name.items():
        for run in engine.observed().runs:
            runs[run.request_id].append((name, run.stage, run.attempt))
    for name, service in world.plain_by_name.items():
        for call in service.observed().runs:
            runs[call.request_id].append((name, Stage.DECODE, 0))
    return runs


def _check_not_run(world: FaultWorld) -> Iterator[Violation]:
    runs = _runs(world)
    for record in world.records:
        is_refused = record.code is not None and is_not_run(record.code)
        if is_refused and len(record.vms) == 1 and runs.get(record.call.request_id):
            yield Violation("untrue not run", f"{_told(record)}: {runs[record.call.request_id]}")


def _check_once_only(world: FaultWorld) -> Iterator[Violation]:
    once = {
        record.call.request_id
        for record in world.records
        if record.call.kind in (CallKind.ONCE, CallKind.PLAIN)
    }
    for request_id, runs in _runs(world).items():
        count = sum(stage is Stage.DECODE for _, stage, _ in runs)
        if request_id in once and count > 1:
            yield Violation("run twice", f"{request_id}: {runs}")
    runs_by_key = Counter(
        run.key for service in world.plain_by_name.values() for run in service.observed().runs
    )
    for key, count in runs_by_key.items():
        if count > 1:
            yield Violation("run twice", f"idempotency key {key} ran {count} times")


def _check_configuration(world: FaultWorld) -> Iterator[Violation]:
    highest: Counter[str] = Counter()
    for item in world.in_force:
        if item.version < highest[item.vm]:
            detail = f"{item.vm} went from version {highest[item.vm]} to {item.version}"
            yield Violation("configuration reverted", detail)
        highest[item.vm] = max(highest[item.vm], item.version)
    state = ConfigurationState()
    for offset, data in sorted(world.configuration_log.items()):
        state.fold(offset, data)
    true_version = state.version_of(WORKSPACE)
    last = {item.vm: item.version for item in world.in_force}
    for vm in world.vms:
        if last.get(vm) != true_version:
            detail = f"{vm} is at version {last.get(vm)}, the log says {true_version}"
            yield Violation("configuration not in force", detail)
    for change in world.published:
        known = state.outcome_by_change.get(change.change_id)
        if change.code is ResultCode.CONFIG_ACCEPTED and (
            known is None or known.code is not ResultCode.CONFIG_ACCEPTED
        ):
            yield Violation("untrue accepted", change.change_id)
        if change.code in (ResultCode.CONFIG_CONFLICT, ResultCode.LOG_UNAVAILABLE) and (
            known is not None and known.code is ResultCode.CONFIG_ACCEPTED
        ):
            yield Violation("untrue rejected", f"{change.change_id}: {change.code!r}")


def _check_leaving(world: FaultWorld, faults: tuple[Fault, ...]) -> Iterator[Violation]:
    first_run_at: dict[str, float] = {}
    for engine in world.engine_by_name.values():
        for run in engine.observed().runs:
            before = first_run_at.get(run.request_id, run.at)
            first_run_at[run.request_id] = min(before, run.at)
    for leaving in faults:
        if leaving.kind != "engine leaves":
            continue
        if any(fault.kind in _BLINDING and _overlaps(fault, leaving) for fault in faults):
            continue
        late = leaving.began + LEAVING_SECONDS
        for run in world.engine_by_name[leaving.target].observed().runs:
            if late < run.at < leaving.ended and first_run_at[run.request_id] > late:
                detail = f"{leaving.target} got {run.request_id} {run.at - leaving.began:.2f} s on"
                yield Violation("work for a leaving engine", detail)


def _overlaps(fault: Fault, other: Fault) -> bool:
    return fault.began < other.ended and other.began < fault.ended + RECOVERY_SECONDS


def _check_unprovoked(world: FaultWorld, faults: tuple[Fault, ...]) -> Iterator[Violation]:
    """Yield the requests that failed or were cut off although nothing failed around them."""
    for record in world.records:
        failed = (record.ended_at and record.ending is Ending.LOST) or record.code in _FAILURE_CODES
        if not failed:
            continue
        around = {
            fault.kind
            for fault in faults
            if fault.began <= record.ended_at and record.began_at < fault.ended + RECOVERY_SECONDS
        }
        if not around:
            yield Violation("failed unprovoked", _told(record))
        elif around == {"drain VM"}:
            yield Violation("cut by graceful shutdown", _told(record))


def _check_prefill(world: FaultWorld) -> Iterator[Violation]:
    """Yield if prefill work is neither used by a decode, nor discarded, nor held."""
    seen = [engine.observed() for engine in world.engine_by_name.values()]
    if any(item.held for item in seen):
        return
    done = sum(item.prefilled_tokens for item in seen)
    used = sum(item.used_tokens for item in seen)
    discarded = sum(item.discarded_tokens for item in seen)
    if done != used + discarded:
        detail = f"{done} tokens done, {used} used, {discarded} discarded"
        yield Violation("prefill unaccounted", detail)


def _check_orders(orders: list[OrderTaken]) -> Iterator[Violation]:
    """Yield orders that took effect after those of a later holder, and numbers held twice."""
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


def _told(record: CallRecord) -> str:
    call = record.call
    ending = record.ending.name if record.ending is not None else "NONE"
    code = int(record.code) if record.code is not None else 0
    return (
        f"{call.request_id} {call.kind.name} {ending} {code} through {', '.join(record.vms)}, "
        f"{len(record.text.split())} of {len(answer_text(call.prompt, call.max_tokens).split())} "
        f"tokens, {record.began_at:.2f} to {record.ended_at:.2f}"
    )
