"""Runs schedules of failures under virtual time, and shortens those that break an invariant."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import looptime

from pimentoquay.bench.faults.callers import make_calls, run_call
from pimentoquay.bench.faults.checks import HeldMemoryMonitor, Violation, find_violations
from pimentoquay.bench.faults.cluster import FaultCluster
from pimentoquay.bench.faults.records import CallRecord
from pimentoquay.bench.faults.schedule import START_WINDOW_SECONDS, Fault, Step, run_step

__all__ = ["Outcome", "run_schedule", "shorten"]

CHECK_PERIOD_SECONDS = 0.25
"""Interval between checks during a schedule, in virtual seconds."""

CALLS_AFTER_FAULTS_SECONDS = 6.0
"""Time after the last failure during which calls are still made, in virtual seconds."""

CALL_TIMEOUT_SECONDS = 30.0
"""Maximum wait for unfinished calls once the last call was made, in virtual seconds."""

SETTLING_SECONDS = 9.0
"""Time for engines to free their memory after the end of the last call, in virtual seconds."""

LOAD_TIMEOUT_SECONDS = 30.0
"""Maximum wait after ``SETTLING_SECONDS`` for engines to load the version in force.

In virtual seconds. It covers the hold-off of a new lease holder and the loading of weights.
"""


@dataclass(frozen=True)
class Outcome:
    """Result of one schedule.

    ``count_by_ending`` counts the calls by ending and result code. ``digest`` is a hash of the
    records of callers, operators and engines and of the time lines, to compare two runs.
    """

    seed: int
    steps: tuple[Step, ...]
    faults: tuple[Fault, ...]
    violations: tuple[Violation, ...]
    count_by_ending: dict[str, int]
    virtual_seconds: float
    digest: str


def run_schedule(seed: int, steps: tuple[Step, ...]) -> Outcome:
    """Run one schedule in a new event loop; the same arguments give the same outcome."""
    loop = looptime.new_event_loop(start=0.0, idle_timeout=None, noop_cycles=0)
    try:
        return loop.run_until_complete(_run(seed, steps))
    finally:
        _cancel_tasks(loop)
        loop.close()


def shorten(seed: int, steps: tuple[Step, ...], budget: int) -> Outcome:
    """Return the shortest schedule found that still breaks one of the same invariants.

    Steps are left out one at a time, in at most ``budget`` runs after the first.
    """
    best = run_schedule(seed, steps)
    broken_invariants = {item.invariant for item in best.violations}
    index = 0
    while index < len(best.steps) and budget > 0:
        budget -= 1
        shorter = run_schedule(seed, best.steps[:index] + best.steps[index + 1 :])
        if broken_invariants & {item.invariant for item in shorter.violations}:
            best = shorter
        else:
            index += 1
    return best


async def _run(seed: int, steps: tuple[Step, ...]) -> Outcome:
    cluster = FaultCluster(seed)
    await cluster.publish_and_start()
    monitor = HeldMemoryMonitor(cluster)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: cluster.errors.append(
            f"{context['message']}: {context.get('exception')!r}"
        )
    )
    began = loop.time()
    faults: list[Fault] = []
    active_steps: list[Step] = []

    def last_fault_at() -> float:
        return loop.time() if active_steps else max((item.ended for item in faults), default=-100.0)

    def check() -> None:
        cluster.record_versions_in_force(loop.time())
        cluster.record_ended_processes()
        cluster.record_configuration_log()
        monitor.check(loop.time(), last_fault_at())

    async def run_at_start_time(step: Step) -> None:
        await asyncio.sleep(max(0.0, began + step.at - loop.time()))
        active_steps.append(step)
        try:
            fault = await run_step(cluster, step)
        finally:
            active_steps.remove(step)
        faults.append(fault)

    check_task = asyncio.create_task(_run_periodically(CHECK_PERIOD_SECONDS, check))
    tasks = [asyncio.create_task(run_at_start_time(step)) for step in steps]
    latest_end = max((step.at + step.seconds for step in steps), default=0.0)
    callers = asyncio.create_task(
        _call_all(cluster, seed, max(START_WINDOW_SECONDS, latest_end) + CALLS_AFTER_FAULTS_SECONDS)
    )
    await asyncio.gather(*tasks)
    await callers
    await asyncio.sleep(SETTLING_SECONDS)
    not_loaded = await _wait_for_loads(cluster)
    check_task.cancel()
    check()
    violations = find_violations(cluster, tuple(faults), monitor, not_loaded)
    digest = cluster.digest()
    await cluster.close()
    counts = Counter(_ending_label(record) for record in cluster.records)
    return Outcome(
        seed, steps, tuple(faults), violations, dict(sorted(counts.items())), loop.time(), digest
    )


async def _call_all(cluster: FaultCluster, seed: int, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for call in make_calls(seed, seconds):
        await asyncio.sleep(max(0.0, began + call.at - loop.time()))
        tasks.append(asyncio.create_task(run_call(cluster, call)))
    _, unfinished = await asyncio.wait(tasks, timeout=CALL_TIMEOUT_SECONDS)
    for task in unfinished:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_loads(cluster: FaultCluster) -> tuple[str, ...]:
    """Wait until all engines run the version in force; return those that do not in time."""
    for _ in range(int(LOAD_TIMEOUT_SECONDS / CHECK_PERIOD_SECONDS)):
        if not await cluster.engines_not_loaded():
            break
        await asyncio.sleep(CHECK_PERIOD_SECONDS)
    return await cluster.engines_not_loaded()


async def _run_periodically(period: float, call: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(period)
        call()


def _ending_label(record: CallRecord) -> str:
    ending = record.ending.name.lower() if record.ending is not None else "unfinished"
    return f"{ending} {int(record.code)}" if record.code is not None else ending


def _cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    with contextlib.suppress(Exception):
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    loop.run_until_complete(loop.shutdown_asyncgens())
