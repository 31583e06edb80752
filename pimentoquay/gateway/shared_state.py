"""State that the components of one gateway share."""

import asyncio
import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.metrics import GatewayMetrics
from pimentoquay.gateway.prompt_waste import PromptWaste
from pimentoquay.gateway.request_guard import RequestGuard
from pimentoquay.gateway.stream_origins import OriginExchange
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.policy.decode_pauses import DecodePauses
from pimentoquay.policy.engine_choice import EngineCallStats
from pimentoquay.policy.engine_limits import UNUSED_SHARE_SECONDS
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.engine_speeds import ServiceSpeeds
from pimentoquay.policy.fleet import EngineEntry, EngineStage, FleetConfiguration
from pimentoquay.policy.prefill_choice import PrefillSpeed
from pimentoquay.policy.repeat_allowance import RepeatAllowance, RepeatLimits
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand
from pimentoquay.policy.stream_urgency import stream_priorities, urgency_of
from pimentoquay.policy.token_ledger import TokenLedger
from pimentoquay.policy.version_choice import may_run

__all__ = ["MAX_LIMIT_WAIT_SECONDS", "RetryBudgets", "SharedState"]

MISDIRECTED_AVOIDANCE_SECONDS = 2.0
"""Time for which an engine is avoided after it rejected a request as misdirected. A restarted
engine updates its entry within one heartbeat interval of 1.2 s."""

MIN_LIMIT_WAIT_SECONDS = 0.05
"""Shortest Retry-After value if the limits of all engines are used up; a retry takes about as long
to arrive, and shorter ones may be written as zero."""

MAX_LIMIT_WAIT_SECONDS = 5.0
"""Longest Retry-After value if the limits of all engines are used up; limits may change sooner."""

ALL_STAGES = frozenset(EngineStage)

EngineKey = tuple[str, int, EngineStage]
"""Engine id, incarnation and stage, which identify one state of one engine process."""


class RetryBudgets:
    """Retry budgets of this gateway, one for each service.

    ``gateway_count`` is the number of gateways that share the limits.

    Parameters
    ----------
    limits
        Retry limits of the whole deployment.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self.gateway_count = 1
        self._limits = limits
        self._started_at = asyncio.get_running_loop().time()
        self._budget_by_service: dict[str, RepeatAllowance] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request, which adds to the budget of its service."""
        self._budget_for(service).count_request(asyncio.get_running_loop().time())

    def try_spend(self, service: str, sends: int = 1) -> bool:
        """Take a retry that needs ``sends`` sends from the budget; return whether it is allowed."""
        return self._budget_for(service).take(
            asyncio.get_running_loop().time(), self.gateway_count, sends
        )

    def _budget_for(self, service: str) -> RepeatAllowance:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RepeatAllowance(self._limits, self._started_at)
            self._budget_by_service[service] = budget
        return budget


@dataclass
class SharedState:
    """Objects that forwarding uses, and what the gateway has observed of the engines.

    ``placer`` orders engines whose load is nearly equal. ``run_ledger`` holds the requests of all
    gateways in the memory of decode engines, ``prefill_ledger`` their prompts at prefill engines,
    ``demand`` the engine time that requests need in each stage, ``guard`` the requests that crash
    engines, ``origins`` the software versions at which streams began, ``speed`` the prefill speed
    of engines whose own is not known, and ``speeds`` that of each engine.
    ``pauses`` holds how full engines can be before their streams pause for too long;
    ``record_pause`` is called with the engine, the seconds between two events of a stream, and the
    longest time that is allowed.
    ``experience_by_engine`` holds latencies and failure rates of plain backend servers.
    ``changing_until_by_engine`` holds the time until which an engine may be changing its stage.
    ``refused_over_limit`` counts the requests that the limits of engines did not allow, and
    ``prompt_waste`` the prompts that were read for nothing.
    """

    placer: Placer
    run_ledger: RunLedger
    prefill_ledger: TokenLedger
    demand: StageDemand
    fleet: Fleet
    links: EngineLinks
    metrics: GatewayMetrics
    retry_budgets: RetryBudgets
    guard: RequestGuard
    origins: OriginExchange
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    speeds: ServiceSpeeds = field(default_factory=ServiceSpeeds)
    pauses: DecodePauses = field(default_factory=DecodePauses)
    record_pause: Callable[[EngineEntry, float, float], None] = lambda engine, pause, longest: None
    experience_by_engine: dict[str, EngineCallStats] = field(default_factory=dict)
    misdirected_until_by_entry: dict[EngineKey, float] = field(default_factory=dict)
    changing_until_by_engine: dict[str, float] = field(default_factory=dict)
    refused_over_limit: int = 0
    prompt_waste: PromptWaste = field(default_factory=PromptWaste)
    _priorities_of: FleetConfiguration | None = None
    _priorities: tuple[int, ...] = ()

    def urgency_of(self, priority: int, has_begun: bool) -> int | None:
        """Return the urgency that engines are told of a stream, or ``None`` to tell none.

        Parameters
        ----------
        priority
            Priority of the stream.
        has_begun
            Whether its caller has received events.
        """
        return urgency_of(priority, self.stream_priorities, has_begun)

    @property
    def stream_priorities(self) -> tuple[int, ...]:
        """Priorities that streams can have by the configuration, the highest first."""
        configuration = self.fleet.configuration
        if configuration is not self._priorities_of:
            self._priorities_of = configuration
            routes = configuration.routes if configuration is not None else ()
            table = configuration.workspaces if configuration is not None else None
            listed = table.workspace_by_name.values() if table is not None else ()
            self._priorities = stream_priorities(routes, listed)
        return self._priorities

    def forget_experience(self, engine: str) -> None:
        """Forget the latencies and failures of calls to a server, which took another way."""
        self.experience_by_engine.pop(engine, None)

    def mark_misdirected(self, engine: EngineEntry) -> None:
        """Avoid an engine for ``MISDIRECTED_AVOIDANCE_SECONDS``; its entry is out of date."""
        now = asyncio.get_running_loop().time()
        self.misdirected_until_by_entry[_key_of(engine)] = now + MISDIRECTED_AVOIDANCE_SECONDS
        logger.bind(engine=engine.id, stage=engine.stage.value).info("engine avoided: misdirected")

    def is_misdirected(self, engine: EngineEntry, now: float) -> bool:
        """Return whether an entry is avoided; a newer entry of the same engine id is not."""
        return self.misdirected_until_by_entry.get(_key_of(engine), 0.0) > now

    def closed_versions(self, service: str, stages: Collection[EngineStage]) -> frozenset[str]:
        """Return the versions at which no new work of the stages may begin."""
        return self.origins.closed_versions(service, self._accepting_engines(service, stages))

    def available_engines(
        self, service: str, stages: Collection[EngineStage]
    ) -> tuple[EngineEntry, ...]:
        """Return the engines of a service that accept work of one of the stages now."""
        return self._available(self._accepting_engines(service, stages))

    def _available(self, accepting: Iterable[EngineEntry]) -> tuple[EngineEntry, ...]:
        now = asyncio.get_running_loop().time()
        return tuple(
            engine
            for engine in accepting
            if self.changing_until_by_engine.get(engine.id, 0.0) <= now
            and not self.links.is_circuit_open(engine.id, now)
            and not self.is_misdirected(engine, now)
            and self.fleet.pause_seconds(engine) == 0.0
        )

    def _accepting_engines(
        self, service: str, stages: Collection[EngineStage]
    ) -> list[EngineEntry]:
        return [
            engine for engine in self.fleet.accepting_engines(service) if engine.stage in stages
        ]

    def engines_for_stream(
        self, service: str, stages: Collection[EngineStage], software: str = ""
    ) -> tuple[EngineEntry, ...]:
        """Return the available engines that may run a stream.

        Parameters
        ----------
        service, stages
            Service and stages of the engines.
        software
            Version that began the stream, or empty if none has.
        """
        accepting = self._accepting_engines(service, stages)
        closed = () if software else self.origins.closed_versions(service, accepting)
        return self._available(each for each in accepting if may_run(each, software, closed))

    def sendable_engines(
        self, service: str, stages: Collection[EngineStage], software: str = ""
    ) -> tuple[EngineEntry, ...]:
        """Return the engines for a stream whose limits allow this VM to send a request now."""
        now = asyncio.get_running_loop().time()
        return tuple(
            engine
            for engine in self.engines_for_stream(service, stages, software)
            if self.links.limits.seconds_until(engine, now) == 0.0
        )

    def limit_wait(
        self,
        service: str,
        stages: Collection[EngineStage] = ALL_STAGES,
        ahead: int = 0,
        software: str = "",
    ) -> float | None:
        """Return the seconds until a request may be sent after ``ahead`` others, by the limits.

        ``None`` if an available engine has no limit or no engine is available, infinite if this VM
        has no share of any limit.
        """
        engines = self.engines_for_stream(service, stages, software)
        now, limits = asyncio.get_running_loop().time(), self.links.limits
        if not engines or any(limits.limit_of(each.start) is None for each in engines):
            return None
        first = min(limits.seconds_until(each, now) for each in engines)
        rate = sum(limits.requests_per_second(each, now) for each in engines)
        return first + (ahead / rate if ahead and rate > 0 else 0.0)

    def refuse_over_limit(
        self,
        service: str,
        stages: Collection[EngineStage] = ALL_STAGES,
        ahead: int = 0,
        patience: float = 0.0,
        software: str = "",
    ) -> None:
        """Raise ``RefusedError`` if the limits of all engines allow no request within patience.

        Parameters
        ----------
        service, stages
            The engines.
        ahead
            Number of requests that go first.
        patience
            Seconds for which the request can wait.
        software
            Version that began the stream, or empty if none has.
        """
        wait = self.limit_wait(service, stages, ahead, software)
        if wait is None or wait <= patience:
            return
        self.refused_over_limit += 1
        seconds = UNUSED_SHARE_SECONDS
        if wait < math.inf:
            seconds = min(max(wait, MIN_LIMIT_WAIT_SECONDS), MAX_LIMIT_WAIT_SECONDS)
        raise RefusedError(
            ResultCode.ENGINES_LIMITED, "the limits of all engines are used up", seconds
        )

    def pause_seconds(
        self, service: str, stages: Collection[EngineStage] = ALL_STAGES, software: str = ""
    ) -> float | None:
        """Return the seconds until the first of the engines ends its pause, if all have paused.

        ``None`` if one has not requested a pause, or none is listed. Only those count that may run
        a stream which began at the version ``software``, if that is given.
        """
        pauses = [
            self.fleet.pause_seconds(engine)
            for engine in self.fleet.accepting_engines(service)
            if engine.stage in stages and may_run(engine, software)
        ]
        return min(pauses) if pauses and all(pauses) else None


def _key_of(engine: EngineEntry) -> EngineKey:
    return engine.id, engine.incarnation, engine.stage
