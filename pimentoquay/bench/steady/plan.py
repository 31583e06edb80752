"""Settings of a steady-state run on loopback: one data centre with many control processes."""

from pathlib import Path

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.demo.plan import DemoPlan, ProcessPlan, make_plan, write_plan
from pimentoquay.bench.deployment import Deployment, Pool

__all__ = ["steady_deployment", "write_steady_plan"]

MODELS = 11
USAGE_PERIOD_SECONDS = 5
"""Interval between the usage lines that a control process logs, in seconds."""

_FENCED = "yes"


def steady_deployment(vms: int, engines: int) -> Deployment:
    """Return a data centre whose engines are spread over the models, half of them for prefill."""
    pools = []
    for index in range(MODELS):
        count = engines // MODELS + (1 if index < engines % MODELS else 0)
        if count:
            pools.append(Pool(f"model-{index}", count // 2, count - count // 2, 0))
    return Deployment("loopback", ("steady",), 0.0, vms, tuple(pools), ())


def write_steady_plan(vms: int, engines: int, first_port: int, directory: Path) -> None:
    """Write the settings of all processes, and ``engines.txt`` for the command ``fake-engines``.

    Entry processes are left out, and all engines are served by one ``fake-engines`` process.
    """
    deployment = steady_deployment(vms, engines)
    plan = make_plan(deployment, first_port)
    engine_names = {engine.name for engine in deployment.engines()}
    kept_processes = []
    for process in plan.processes:
        if process.name in engine_names or process.program == "pimentoquay-entry":
            continue
        if process.program == "pimentoquay-control":
            process.sections["usage"] = {"period": str(USAGE_PERIOD_SECONDS)}
        kept_processes.append(process)
    lines = [
        f"{engine.name} {engine.model} {EngineRole(engine.role).name} {address}"
        for engine, address in zip(deployment.engines(), plan.engine_addresses, strict=True)
    ]
    reduced_plan = DemoPlan(
        tuple(_put_membership_first(kept_processes)), (), plan.control_addresses, (), ()
    )
    write_plan(reduced_plan, directory)
    (directory / "engines.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


def _put_membership_first(processes: list[ProcessPlan]) -> list[ProcessPlan]:
    """Sort the process of the membership list first, so that no VM starts without it."""
    return sorted(processes, key=lambda process: process.name != "membership")
