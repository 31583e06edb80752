"""The scenarios: how the load is shaped, and what goes wrong."""

import asyncio
import itertools
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from pimentoquay.backends.base import EngineRole
from pimentoquay.bench.compare.deployment import Deployment
from pimentoquay.bench.compare.workload import Shape
from pimentoquay.standin import EngineModel

if TYPE_CHECKING:
    from pimentoquay.bench.compare.world import World

__all__ = ["SCENARIOS", "Scenario"]

FAULT_SHARE = 0.35
"""When the fault begins, as a share of the run."""

FAULT_SECONDS = 4.0
"""How long a fault lasts."""

AFTER_FAULT_SECONDS = 3.0
"""When goodput is expected to be back."""

SURGE_SECONDS = 5.0
SURGE_FACTOR = 3.0
NOISY_FACTOR = 10.0
CANCEL_CHECK_SECONDS = 1.0

Fault = Callable[["World", "Scenario"], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class Scenario:
    """One scenario; ``load`` is a share of decode capacity."""

    name: str
    load: float
    surges: bool = False
    noisy: float = 1.0
    without_noisy: bool = False
    shared_prefixes: int = 0
    prompt_factor: float = 1.0
    status_lag: float = 0.3
    inject: Fault | None = None
    surviving: float = 1.0
    settle_seconds: float = 4.0

    def engine_model(self, deployment: Deployment) -> EngineModel:
        """Return the costs of the engines."""
        seconds = deployment.prefill_seconds_per_token
        return EngineModel(status_lag=self.status_lag, prefill_seconds_per_token=seconds)

    def shape(self, deployment: Deployment, seconds: float) -> Shape:
        """Return the arrivals' shape."""
        begin = self.fault_at(seconds)
        rates: tuple[tuple[float, float], ...] = ((0.0, self.load),)
        if self.surges:
            rates += ((begin, self.load * SURGE_FACTOR), (begin + SURGE_SECONDS, self.load))
        weight = 0.0 if self.without_noisy else self.noisy
        return Shape(
            rates,
            ((deployment.workspaces[0], weight),),
            self.shared_prefixes,
            self.prompt_factor,
        )

    def fault_at(self, seconds: float) -> float:
        """Return when the fault begins."""
        return FAULT_SHARE * seconds

    def window(self, seconds: float) -> tuple[float, float]:
        """Return the arrivals that are measured for recovery."""
        begin = self.fault_at(seconds) + AFTER_FAULT_SECONDS
        return begin, seconds

    def capacity_share(self, deployment: Deployment, seconds: float) -> float:
        """Return the share of the offered requests that decode capacity allows."""
        weights = dict(self.shape(deployment, seconds).weights)
        count = len(deployment.workspaces)
        factor = sum(weights.get(name, 1.0) for name in deployment.workspaces) / count
        rates = self.shape(deployment, seconds).rates
        ends = [start for start, _ in rates[1:]] + [seconds]
        offered = served = 0.0
        for (begin, rate), end in zip(rates, ends, strict=True):
            # A step that would begin after the run has no arrivals; the one before it keeps all.
            length = max(0.0, end - begin)
            offered += rate * factor * length
            served += min(self.surviving, rate * factor) * length
        return round(served / offered, 6)

    async def fault(self, world: "World", start: float, seconds: float, rng: random.Random) -> None:
        """Bring the fault about at its time."""
        await asyncio.sleep(start + self.fault_at(seconds) - asyncio.get_running_loop().time())
        world.fault_at = asyncio.get_running_loop().time()
        world.rng = rng
        if self.inject is not None:
            await self.inject(world, self)

    def recovery_figures(self, world: "World") -> tuple[int, int, float]:
        """Return requests sent to the refusing engine, the most at once, and seconds to full rate.

        "At once" is within a tenth of a second, after the first tenth of the fault.
        """
        engine = world.faulty_engine
        if engine is None:
            return 0, 0, 0.0
        settled = world.fault_at + 0.1
        back = world.fault_at + FAULT_SECONDS
        proved = min((at for at in engine.accepted_at if at > back), default=float("inf"))
        sent = [at for at in engine.sent_at if settled < at <= proved]
        at_once = max((sum(a <= b < a + 0.1 for b in sent) for a in sent), default=0)
        # Full rate is reached when two requests are under way to it within a tenth of a second.
        later = [at for at in engine.sent_at if at > proved]
        full = next((b for a, b in itertools.pairwise(later) if b - a < 0.3), None)
        return len(sent), at_once, round(full - back, 6) if full is not None else -1.0

    def held_after_cancel(self, world: "World") -> int:
        """Return what was still held for callers a second after they had left."""
        return world.held_after_cancel


def _victim(world: "World", role: EngineRole) -> Any:
    return world.engines_of(world.deployment.pools[0].name, role)[0]


async def _crash(world: "World", scenario: Scenario) -> None:
    engine = _victim(world, EngineRole.DECODE)
    engine.crash()


async def _slow(world: "World", scenario: Scenario) -> None:
    _victim(world, EngineRole.DECODE).set_speed(1 / 3)


async def _stall(world: "World", scenario: Scenario) -> None:
    _victim(world, EngineRole.DECODE).stall_link(FAULT_SECONDS)


async def _refuse(world: "World", scenario: Scenario) -> None:
    engine = _victim(world, EngineRole.DECODE)
    world.faulty_engine = engine
    engine.refuse(seconds=FAULT_SECONDS)


async def _cancel_half(world: "World", scenario: Scenario) -> None:
    names = sorted(world.calls)
    leaving = set(world.rng.sample(names, len(names) // 2))
    for name in sorted(leaving):
        world.calls[name].cancel()
    await asyncio.sleep(CANCEL_CHECK_SECONDS)
    world.held_after_cancel = sum(
        item.request_id in leaving
        for engine in world.engine_by_name.values()
        for item in engine.observed().held
    ) + sum(
        grant.request.request_id in leaving
        for scheduler in world.schedulers()
        for grant in scheduler.ledger
    )


async def _lose_owner(world: "World", scenario: Scenario) -> None:
    if world.variant.section is not None:
        await world.lose_owner(world.deployment.pools[0].name, FAULT_SECONDS)


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario("steady-0.7", 0.7),
        Scenario("steady-0.9", 0.9),
        Scenario("peak", 1.2),
        Scenario("surge", 0.7, surges=True),
        Scenario("long-prompts", 0.7, prompt_factor=3.0),
        Scenario("shared-prefix", 0.9, shared_prefixes=6),
        Scenario("engine-crash", 0.6, inject=_crash, surviving=2 / 3),
        Scenario("engine-slow", 0.6, inject=_slow, surviving=2 / 3),
        Scenario("link-stall", 0.6, inject=_stall),
        Scenario("cancel-storm", 0.9, inject=_cancel_half),
        Scenario("recovery", 0.6, inject=_refuse),
        Scenario("stale-load", 0.9, status_lag=2.0),
        Scenario("noisy-workspace", 0.6, noisy=NOISY_FACTOR),
        Scenario("without-noisy", 0.6, noisy=NOISY_FACTOR, without_noisy=True),
        Scenario("scheduler-loss", 0.7, inject=_lose_owner),
    )
}
