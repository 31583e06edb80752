"""Scenarios of the comparison: the load, and the fault that is injected into a run."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.compare.deployment import Deployment
from pimentoquay.bench.compare.workload import LoadShape
from pimentoquay.standin import EngineModel

if TYPE_CHECKING:
    from pimentoquay.bench.compare.simulation import Simulation

__all__ = ["SCENARIOS", "Scenario"]

FAULT_START_SHARE = 0.35
"""Start of the fault, as a share of the duration of the run."""

FAULT_SECONDS = 4.0
"""Duration of a fault, in seconds."""

RECOVERY_SECONDS = 3.0
"""Time after the start of a fault by which goodput has to recover, in seconds."""

SURGE_SECONDS = 5.0
SURGE_FACTOR = 3.0
"""Load during a surge as a multiple of the usual load."""

NOISY_FACTOR = 10.0
"""Request rate of the noisy workspace as a multiple of that of each other workspace."""

CANCEL_CHECK_SECONDS = 1.0
"""Time from the cancellations until the resources still held for them are counted, in seconds."""

Fault = Callable[["Simulation", "Scenario"], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Scenario:
    """A load and the fault that is injected into it.

    Parameters
    ----------
    name
        Name on the command line.
    load
        Request rate as a share of the decode capacity.
    has_surge
        Whether the rate is multiplied by ``SURGE_FACTOR`` for ``SURGE_SECONDS``, starting at the
        time of the fault.
    noisy_factor
        Multiple of the usual rate at which the first workspace sends.
    omits_noisy
        Whether the first workspace sends nothing, for comparison with a run in which it is noisy.
    shared_prefixes
        Number of long texts that prompts begin with, 0 for none.
    prompt_factor
        Factor on the length of prompts.
    status_lag
        Age of the load that engines report, in seconds.
    inject
        Function that causes the fault, or ``None``.
    surviving_share
        Share of the decode capacity that remains after the fault.
    settle_seconds
        Time between the end of the last request and the final checks.
    """

    name: str
    load: float
    has_surge: bool = False
    noisy_factor: float = 1.0
    omits_noisy: bool = False
    shared_prefixes: int = 0
    prompt_factor: float = 1.0
    status_lag: float = 0.3
    inject: Fault | None = None
    surviving_share: float = 1.0
    settle_seconds: float = 4.0

    def engine_model(self, deployment: Deployment) -> EngineModel:
        """Return the costs and limits of the stand-in engines."""
        seconds = deployment.prefill_seconds_per_token
        return EngineModel(status_lag=self.status_lag, prefill_seconds_per_token=seconds)

    def shape(self, deployment: Deployment, seconds: float) -> LoadShape:
        """Return the request rates and prompts of a run of this length in seconds."""
        start_at = self.fault_at(seconds)
        rates: tuple[tuple[float, float], ...] = ((0.0, self.load),)
        if self.has_surge:
            rates += ((start_at, self.load * SURGE_FACTOR), (start_at + SURGE_SECONDS, self.load))
        weight = 0.0 if self.omits_noisy else self.noisy_factor
        return LoadShape(
            rates,
            ((deployment.workspaces[0], weight),),
            self.shared_prefixes,
            self.prompt_factor,
        )

    def fault_at(self, seconds: float) -> float:
        """Return the start of the fault, in seconds after the start of the run."""
        return FAULT_START_SHARE * seconds

    def window(self, seconds: float) -> tuple[float, float]:
        """Return start and end of the arrival times that ``window_goodput`` covers, in seconds.

        The window starts when goodput has to have recovered from the fault.
        """
        start_at = self.fault_at(seconds) + RECOVERY_SECONDS
        return start_at, seconds

    def capacity_share(self, deployment: Deployment, seconds: float) -> float:
        """Return the share of the offered requests that the decode capacity can serve."""
        weights = dict(self.shape(deployment, seconds).weights)
        count = len(deployment.workspaces)
        factor = sum(weights.get(name, 1.0) for name in deployment.workspaces) / count
        rates = self.shape(deployment, seconds).rates
        ends = [start for start, _ in rates[1:]] + [seconds]
        offered = served = 0.0
        for (start_at, rate), end in zip(rates, ends, strict=True):
            # A rate that would start after the end of the run is skipped; the one before it lasts
            # its full length, also beyond the end.
            length = max(0.0, end - start_at)
            offered += rate * factor * length
            served += min(self.surviving_share, rate * factor) * length
        return round(served / offered, 6)

    async def fault(
        self, simulation: "Simulation", start: float, seconds: float, rng: random.Random
    ) -> None:
        """Wait until the start of the fault and inject it."""
        await asyncio.sleep(start + self.fault_at(seconds) - asyncio.get_running_loop().time())
        simulation.fault_at = asyncio.get_running_loop().time()
        simulation.rng = rng
        if self.inject is not None:
            await self.inject(simulation, self)

    def recovery_figures(self, simulation: "Simulation") -> tuple[int, int, float]:
        """Return how an engine that refused work for a while was brought back into use.

        The figures are the number of requests sent to it until it accepted one again, the maximum
        number sent within 0.1 s, and the seconds from the end of the fault until it got requests
        at its full rate. The first 0.1 s of the fault is not counted. The last figure is -1 if the
        full rate was not reached.
        """
        engine = simulation.faulty_engine
        if engine is None:
            return 0, 0, 0.0
        counted_from = simulation.fault_at + 0.1
        fault_end = simulation.fault_at + FAULT_SECONDS
        recovered_at = min(
            (at for at in engine.accepted_at if at > fault_end), default=float("inf")
        )
        sent = [at for at in engine.sent_at if counted_from < at <= recovered_at]
        max_at_once = max((sum(a <= b < a + 0.1 for b in sent) for a in sent), default=0)
        # The rate is full once two successive requests are sent to the engine within 0.3 s.
        later_sends = [at for at in engine.sent_at if at > recovered_at]
        full_rate_at = next((b for a, b in itertools.pairwise(later_sends) if b - a < 0.3), None)
        return (
            len(sent),
            max_at_once,
            round(full_rate_at - fault_end, 6) if full_rate_at is not None else -1.0,
        )

    def held_after_cancel(self, simulation: "Simulation") -> int:
        """Return the memory holdings and grants left one second after their callers cancelled."""
        return simulation.held_after_cancel


def _first_engine(simulation: "Simulation", role: EngineRole) -> Any:
    return simulation.engines_of(simulation.deployment.pools[0].name, role)[0]


async def _crash_engine(simulation: "Simulation", scenario: Scenario) -> None:
    engine = _first_engine(simulation, EngineRole.DECODE)
    engine.crash()


async def _slow_down_engine(simulation: "Simulation", scenario: Scenario) -> None:
    _first_engine(simulation, EngineRole.DECODE).set_speed(1 / 3)


async def _stall_link(simulation: "Simulation", scenario: Scenario) -> None:
    _first_engine(simulation, EngineRole.DECODE).stall_link(FAULT_SECONDS)


async def _make_engine_refuse(simulation: "Simulation", scenario: Scenario) -> None:
    engine = _first_engine(simulation, EngineRole.DECODE)
    simulation.faulty_engine = engine
    engine.refuse(seconds=FAULT_SECONDS)


async def _cancel_half_of_calls(simulation: "Simulation", scenario: Scenario) -> None:
    names = sorted(simulation.calls)
    cancelled_ids = set(simulation.rng.sample(names, len(names) // 2))
    for name in sorted(cancelled_ids):
        simulation.calls[name].cancel()
    await asyncio.sleep(CANCEL_CHECK_SECONDS)
    simulation.held_after_cancel = sum(
        item.request_id in cancelled_ids
        for engine in simulation.engine_by_name.values()
        for item in engine.observed().held
    ) + sum(
        grant.request.request_id in cancelled_ids
        for scheduler in simulation.schedulers()
        for grant in scheduler.ledger
    )


async def _restart_owner(simulation: "Simulation", scenario: Scenario) -> None:
    if simulation.variant.section is not None:
        await simulation.restart_owner(simulation.deployment.pools[0].name, FAULT_SECONDS)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady-0.7", 0.7),
        Scenario("steady-0.9", 0.9),
        Scenario("peak", 1.2),
        Scenario("surge", 0.7, has_surge=True),
        Scenario("long-prompts", 0.7, prompt_factor=3.0),
        Scenario("shared-prefix", 0.9, shared_prefixes=6),
        Scenario("engine-crash", 0.6, inject=_crash_engine, surviving_share=2 / 3),
        Scenario("engine-slow", 0.6, inject=_slow_down_engine, surviving_share=2 / 3),
        Scenario("link-stall", 0.6, inject=_stall_link),
        Scenario("cancel-storm", 0.9, inject=_cancel_half_of_calls),
        Scenario("recovery", 0.6, inject=_make_engine_refuse),
        Scenario("stale-load", 0.9, status_lag=2.0),
        Scenario("noisy-workspace", 0.6, noisy_factor=NOISY_FACTOR),
        Scenario("without-noisy", 0.6, noisy_factor=NOISY_FACTOR, omits_noisy=True),
        Scenario("scheduler-loss", 0.7, inject=_restart_owner),
    )
}
"""Scenarios by their name on the command line."""
