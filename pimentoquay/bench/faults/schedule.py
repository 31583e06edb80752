"""Schedules of failures: steps generated from a seed, and their effects on a cluster."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pimentoquay.bench.faults.cluster import FaultCluster
from pimentoquay.bench.faults.connections import PLATFORM
from pimentoquay.bench.faults.operators import publish_race

__all__ = ["START_WINDOW_SECONDS", "Fault", "Step", "make_steps", "run_step"]

START_WINDOW_SECONDS = 10.0
"""Time from the start of a schedule within which all steps begin, in virtual seconds."""

_SLOW_DELAY_SECONDS = 0.4
"""One-way delay between two VMs during the fault "slow network", in seconds."""

_DURATIONS_SECONDS = (0.2, 0.6, 1.5, 3.0, 5.0)


@dataclass(frozen=True)
class Step:
    """Failure to be injected: it begins at ``at`` and lasts ``seconds``, both in virtual seconds.

    ``target`` and ``other`` are random numbers that select VMs, engines or services by index.
    """

    kind: str
    at: float
    seconds: float
    target: int
    other: int


@dataclass(frozen=True)
class Fault:
    """Failure that was injected; ``target`` names the affected VMs, engines or services."""

    kind: str
    began: float
    ended: float
    target: str


def make_steps(seed: int, count: int) -> tuple[Step, ...]:
    """Return ``count`` steps in order of their start; the same seed gives the same steps."""
    rng = random.Random(f"steps {seed}")
    kinds = sorted(_RUN_BY_KIND)
    steps = [
        Step(
            rng.choice(kinds),
            round(rng.uniform(0.0, START_WINDOW_SECONDS), 2),
            rng.choice(_DURATIONS_SECONDS),
            rng.randrange(1000),
            rng.randrange(1000),
        )
        for _ in range(count)
    ]
    return tuple(sorted(steps, key=lambda step: step.at))


async def run_step(cluster: FaultCluster, step: Step) -> Fault:
    """Inject a failure, end it after its duration, and return its times and targets."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    target = await _RUN_BY_KIND[step.kind](cluster, step)
    return Fault(step.kind, began, loop.time(), target)


def _target_vm(cluster: FaultCluster, step: Step) -> str:
    return cluster.vms[step.target % len(cluster.vms)]


async def _kill_vm(cluster: FaultCluster, step: Step) -> str:
    name = _target_vm(cluster, step)
    await cluster.kill_entry(name)
    await cluster.kill_control(name)
    await asyncio.sleep(step.seconds)
    cluster.start_vm(name)
    return name


async def _kill_entry(cluster: FaultCluster, step: Step) -> str:
    name = _target_vm(cluster, step)
    await cluster.kill_entry(name)
    await asyncio.sleep(step.seconds)
    cluster.start_vm(name)
    return name


async def _kill_control(cluster: FaultCluster, step: Step) -> str:
    name = _target_vm(cluster, step)
    await cluster.kill_control(name)
    await asyncio.sleep(step.seconds)
    cluster.start_vm(name)
    return name


async def _replace_all_vms(cluster: FaultCluster, step: Step) -> str:
    for name in cluster.vms:
        await cluster.kill_entry(name)
        await cluster.kill_control(name)
    await asyncio.sleep(step.seconds)
    for name in cluster.vms:
        cluster.start_vm(name)
    return "every VM"


async def _pause_vm(cluster: FaultCluster, step: Step) -> str:
    return await _pause(cluster, step, ("control", "entry"))


async def _pause_control(cluster: FaultCluster, step: Step) -> str:
    return await _pause(cluster, step, ("control",))


async def _pause_entry(cluster: FaultCluster, step: Step) -> str:
    return await _pause(cluster, step, ("entry",))


async def _pause(cluster: FaultCluster, step: Step, processes: tuple[str, ...]) -> str:
    name = _target_vm(cluster, step)
    for process in processes:
        cluster.pause(name, process)
    await asyncio.sleep(step.seconds)
    for process in processes:
        cluster.resume(name, process)
    return name


async def _repeat_messages(cluster: FaultCluster, step: Step) -> str:
    name = _target_vm(cluster, step)
    cluster.network.set_duplication(name, True)
    await asyncio.sleep(step.seconds)
    cluster.network.set_duplication(name, False)
    return name


async def _drain_vm(cluster: FaultCluster, step: Step) -> str:
    name = _target_vm(cluster, step)
    if name in cluster.draining:
        return ""
    await cluster.drain(name)
    await asyncio.sleep(step.seconds)
    cluster.start_vm(name)
    return name


async def _cut_vms(cluster: FaultCluster, step: Step) -> str:
    first, second = _target_vm(cluster, step), cluster.vms[step.other % len(cluster.vms)]
    if first == second:
        return ""
    cluster.network.cut(first, second)
    await asyncio.sleep(step.seconds)
    cluster.network.heal(first, second)
    return f"{first} and {second}"


async def _slow_network(cluster: FaultCluster, step: Step) -> str:
    first, second = _target_vm(cluster, step), cluster.vms[step.other % len(cluster.vms)]
    cluster.network.set_delay(first, second, _SLOW_DELAY_SECONDS)
    await asyncio.sleep(step.seconds)
    cluster.network.set_delay(first, second, cluster.network.delay)
    return f"{first} and {second}"


async def _cut_data_centres(cluster: FaultCluster, step: Step) -> str:
    first, second = cluster.deployment.data_centres
    cluster.set_cut(first, second, True)
    await asyncio.sleep(step.seconds)
    cluster.set_cut(first, second, False)
    return f"{first} and {second}"


async def _cut_platform(cluster: FaultCluster, step: Step) -> str:
    name = cluster.deployment.data_centres[step.target % 2]
    cluster.set_cut(name, PLATFORM, True)
    await asyncio.sleep(step.seconds)
    cluster.set_cut(name, PLATFORM, False)
    return name


async def _stop_log(cluster: FaultCluster, step: Step) -> str:
    cluster.log.outage(step.seconds)
    await asyncio.sleep(step.seconds)
    return "log"


async def _slow_log(cluster: FaultCluster, step: Step) -> str:
    cluster.log.slow(step.seconds / 2, step.seconds)
    await asyncio.sleep(step.seconds)
    return "log"


async def _lose_log_answers(cluster: FaultCluster, step: Step) -> str:
    cluster.log.lose_next_answers(1 + step.other % 3)
    await _publish(cluster, step)
    cluster.log.lose_next_answers(0)
    return "log"


async def _stop_membership_list(cluster: FaultCluster, step: Step) -> str:
    cluster.membership.outage(step.seconds)
    await asyncio.sleep(step.seconds)
    return "membership list"


async def _delay_membership_list(cluster: FaultCluster, step: Step) -> str:
    cluster.membership.lag = step.seconds
    await asyncio.sleep(step.seconds)
    cluster.membership.lag = 0.0
    return "membership list"


async def _crash_engine(cluster: FaultCluster, step: Step) -> str:
    name = cluster.engines[step.target % len(cluster.engines)]
    cluster.engine_by_name[name].crash()
    await asyncio.sleep(step.seconds)
    cluster.engine_by_name[name].restart()
    return name


async def _slow_engine(cluster: FaultCluster, step: Step) -> str:
    name = cluster.engines[step.target % len(cluster.engines)]
    cluster.engine_by_name[name].set_speed(0.2)
    await asyncio.sleep(step.seconds)
    cluster.engine_by_name[name].set_speed(1.0)
    return name


async def _make_engine_refuse(cluster: FaultCluster, step: Step) -> str:
    name = cluster.engines[step.target % len(cluster.engines)]
    cluster.engine_by_name[name].refuse(count=step.other % 5, seconds=step.seconds)
    await asyncio.sleep(step.seconds)
    cluster.engine_by_name[name].refuse(count=0)
    return name


async def _stall_link(cluster: FaultCluster, step: Step) -> str:
    name = cluster.engines[step.target % len(cluster.engines)]
    cluster.engine_by_name[name].stall_link(step.seconds)
    await asyncio.sleep(step.seconds)
    return name


async def _list_engine_as_leaving(cluster: FaultCluster, step: Step) -> str:
    name = cluster.engines[step.target % len(cluster.engines)]
    cluster.list_as_leaving(name)
    await asyncio.sleep(step.seconds + 4.0)
    cluster.list_as_live(name)
    return name


async def _fail_plain_service(cluster: FaultCluster, step: Step) -> str:
    services = tuple(cluster.plain_service_by_name.values())
    service = services[step.other % len(services)]
    failures = (service.crash_before_next, service.crash_after_next, service.refuse_next)
    set_failing_calls = failures[step.target % 3]
    set_failing_calls(1 + step.other % 3)
    await asyncio.sleep(step.seconds)
    set_failing_calls(0)
    return service.name


async def _publish(cluster: FaultCluster, step: Step) -> str:
    first, second = _target_vm(cluster, step), cluster.vms[step.other % len(cluster.vms)]
    cluster.model_version = f"v{1 + (step.target + step.other) % 3}"
    await publish_race(cluster, (first, second), f"{step.target}-{step.other}-{step.at}")
    return f"{first} and {second}"


_RUN_BY_KIND: dict[str, Callable[[FaultCluster, Step], Awaitable[str]]] = {
    "kill VM": _kill_vm,
    "kill entry": _kill_entry,
    "kill control": _kill_control,
    "replace all VMs": _replace_all_vms,
    "pause VM": _pause_vm,
    "pause control": _pause_control,
    "pause entry": _pause_entry,
    "messages twice": _repeat_messages,
    "drain VM": _drain_vm,
    "cut VMs": _cut_vms,
    "slow network": _slow_network,
    "cut data centres": _cut_data_centres,
    "cut platform": _cut_platform,
    "log outage": _stop_log,
    "log slow": _slow_log,
    "log loses answers": _lose_log_answers,
    "membership outage": _stop_membership_list,
    "membership lag": _delay_membership_list,
    "crash engine": _crash_engine,
    "slow engine": _slow_engine,
    "engine refuses": _make_engine_refuse,
    "stall link": _stall_link,
    "engine leaves": _list_engine_as_leaving,
    "plain service fails": _fail_plain_service,
    "publish race": _publish,
}
