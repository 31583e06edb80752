"""Settings files for a steady-state run on loopback: one data centre, many control processes."""

from pathlib import Path

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.demo.plan import DemoPlan, ProcessPlan, make_plan, write_plan
from pimentoquay.bench.deployment import Deployment, Pool

__all__ = ["steady_deployment", "write_steady_plan"]

MODELS = 11
USAGE_SECONDS = 5
_FENCED = "yes"


def steady_deployment(vms: int, engines: int) -> Deployment:
    """Return one data centre with engines spread over the models, half of them prefilling."""
    pools = []
    for index in range(MODELS):
        count = engines // MODELS + (1 if index < engines % MODELS else 0)
        if count:
            pools.append(Pool(f"model-{index}", count // 2, count - count // 2, 0))
    return Deployment("loopback", ("steady",), 0.0, vms, tuple(pools), ())


def write_steady_plan(vms: int, engines: int, first_port: int, directory: Path) -> None:
    """Write the settings; every engine is served by the process ``fake-engines``."""
    deployment = steady_deployment(vms, engines)
    plan = make_plan(deployment, first_port)
    engine_names = {engine.name for engine in deployment.engines()}
    kept = []
    for process in plan.processes:
        if process.name in engine_names or process.program == "pimentoquay-entry":
            continue
        if process.program == "pimentoquay-control":
            process.sections["usage"] = {"period": str(USAGE_SECONDS)}
        kept.append(process)
    lines = [
        f"{engine.name} {engine.model} {EngineRole(engine.role).name} {address}"
        for engine, address in zip(deployment.engines(), plan.engine_addresses, strict=True)
    ]
    reduced = DemoPlan(tuple(_with_members(kept)), (), plan.control_addresses, (), ())
    write_plan(reduced, directory)
    (directory / "engines.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")


def _with_members(processes: list[ProcessPlan]) -> list[ProcessPlan]:
    """Put the membership list first, so that no VM starts without it."""
    return sorted(processes, key=lambda process: process.name != "membership")
