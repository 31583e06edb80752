"""Runs schedules under virtual time, and makes a failing one as short as it can."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import looptime

from pimentoquay.bench.faults.callers import make_calls, run_call
from pimentoquay.bench.faults.checks import HeldWatch, Violation, violations_of
from pimentoquay.bench.faults.records import CallRecord
from pimentoquay.bench.faults.schedule import WINDOW_SECONDS, Fault, Step, run_step
from pimentoquay.bench.faults.world import FaultWorld

__all__ = ["Outcome", "run_schedule", "shorten"]

LOOK_SECONDS = 0.25
QUIET_SECONDS = 6.0
"""The time after the last failure in which callers still come."""

PATIENCE_SECONDS = 30.0
"""How long the last callers may take."""

SETTLE_SECONDS = 9.0
"""The time after the last caller until the engines' memory is looked at for the last time."""

ORDERS_SECONDS = 30.0
"""The time after that in which engines reach the version in force: hold-off and loads."""


@dataclass(frozen=True)
class Outcome:
    """What one schedule brought; ``count_by_ending`` counts calls by ending and code.

    ``digest`` is taken over all that callers, operators and engines saw and over the time lines.
    """

    seed: int
    steps: tuple[Step, ...]
    faults: tuple[Fault, ...]
    violations: tuple[Violation, ...]
    count_by_ending: dict[str, int]
    virtual_seconds: float
    digest: str


def run_schedule(seed: int, steps: tuple[Step, ...]) -> Outcome:
    """Run one schedule in an event loop of its own; the same arguments give the same run."""
    loop = looptime.new_event_loop(start=0.0, idle_timeout=None, noop_cycles=0)
    try:
        return loop.run_until_complete(_run(seed, steps))
    finally:
        _finish(loop)
        loop.close()


def shorten(seed: int, steps: tuple[Step, ...], budget: int) -> Outcome:
    """Return the shortest run found that breaks the same invariant, within ``budget`` runs."""
    best = run_schedule(seed, steps)
    wanted = {item.invariant for item in best.violations}
    index = 0
    while index < len(best.steps) and budget > 0:
        budget -= 1
        shorter = run_schedule(seed, best.steps[:index] + best.steps[index + 1 :])
        if wanted & {item.invariant for item in shorter.violations}:
            best = shorter
        else:
            index += 1
    return best


async def _run(seed: int, steps: tuple[Step, ...]) -> Outcome:
    world = FaultWorld(seed)
    await world.begin()
    watch = HeldWatch(world)
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(
        lambda _, context: world.errors.append(
            f"{context['message']}: {context.get('exception')!r}"
        )
    )
    began = loop.time()
    faults: list[Fault] = []
    under_way: list[Step] = []

    def last_fault_at() -> float:
        return loop.time() if under_way else max((item.ended for item in faults), default=-100.0)

    def look() -> None:
        world.note_in_force(loop.time())
        world.note_dead_processes()
        world.note_configuration_log()
        watch.look(loop.time(), last_fault_at())

    async def fail(step: Step) -> None:
        await asyncio.sleep(max(0.0, began + step.at - loop.time()))
        under_way.append(step)
        try:
            fault = await run_step(world, step)
        finally:
            under_way.remove(step)
        faults.append(fault)

    looking = asyncio.create_task(_every(LOOK_SECONDS, look))
    tasks = [asyncio.create_task(fail(step)) for step in steps]
    longest = max((step.at + step.seconds for step in steps), default=0.0)
    callers = asyncio.create_task(
        _call_all(world, seed, max(WINDOW_SECONDS, longest) + QUIET_SECONDS)
    )
    await asyncio.gather(*tasks)
    await callers
    await asyncio.sleep(SETTLE_SECONDS)
    not_loaded = await _wait_for_loads(world)
    looking.cancel()
    look()
    violations = violations_of(world, tuple(faults), watch, not_loaded)
    digest = world.digest()
    await world.close()
    counts = Counter(_ending_of(record) for record in world.records)
    return Outcome(
        seed, steps, tuple(faults), violations, dict(sorted(counts.items())), loop.time(), digest
    )


async def _call_all(world: FaultWorld, seed: int, seconds: float) -> None:
    loop = asyncio.get_running_loop()
    began = loop.time()
    tasks = []
    for call in make_calls(seed, seconds):
        await asyncio.sleep(max(0.0, began + call.at - loop.time()))
        tasks.append(asyncio.create_task(run_call(world, call)))
    _, late = await asyncio.wait(tasks, timeout=PATIENCE_SECONDS)
    for task in late:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _wait_for_loads(world: FaultWorld) -> tuple[str, ...]:
    """Return the engines that do not reach the version in force in time."""
    for _ in range(int(ORDERS_SECONDS / LOOK_SECONDS)):
        if not await world.engines_to_load():
            break
        await asyncio.sleep(LOOK_SECONDS)
    return await world.engines_to_load()


async def _every(period: float, call: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(period)
        call()


def _ending_of(record: CallRecord) -> str:
    ending = record.ending.name.lower() if record.ending is not None else "unfinished"
    return f"{ending} {int(record.code)}" if record.code is not None else ending


def _finish(loop: asyncio.AbstractEventLoop) -> None:
    left = asyncio.all_tasks(loop)
    for task in left:
        task.cancel()
    with contextlib.suppress(Exception):
        loop.run_until_complete(asyncio.gather(*left, return_exceptions=True))
    loop.run_until_complete(loop.shutdown_asyncgens())
