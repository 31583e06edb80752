"""What the parts of one gateway share."""

import asyncio
from collections.abc import Collection
from dataclasses import dataclass, field

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.gateway.metrics import GatewayMetrics
from pimentoquay.kernel.logs import logger
from pimentoquay.policy.engine_choice import EngineCallStats
from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.prefill_choice import PrefillSpeed
from pimentoquay.policy.repeat_allowance import RepeatAllowance, RepeatLimits
from pimentoquay.policy.run_ledger import RunLedger
from pimentoquay.policy.stage_plan import StageDemand
from pimentoquay.policy.token_ledger import TokenLedger

__all__ = ["Repeats", "Sharing"]

MISDIRECTED_SECONDS = 2.0
"""How long an engine is avoided that has turned a request away as misdirected. An engine that has
started again writes its entry within a heartbeat of 1.2 s."""

EngineKey = tuple[str, int, EngineStage]
"""What an entry says of an engine's start and stage."""


class Repeats:
    """The repeats that this gateway may still send, by service.

    Parameters
    ----------
    limits
        The deployment's limits.
    """

    def __init__(self, limits: RepeatLimits) -> None:
        self.vms = 1
        self._limits = limits
        self._started_at = asyncio.get_running_loop().time()
        self._allowance_by_service: dict[str, RepeatAllowance] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._of(service).count_request(asyncio.get_running_loop().time())

    def take(self, service: str, sends: int = 1) -> bool:
        """Count a repeat of so many sends; return whether they may be made."""
        return self._of(service).take(asyncio.get_running_loop().time(), self.vms, sends)

    def _of(self, service: str) -> RepeatAllowance:
        allowance = self._allowance_by_service.get(service)
        if allowance is None:
            allowance = RepeatAllowance(self._limits, self._started_at)
            self._allowance_by_service[service] = allowance
        return allowance


@dataclass
class Sharing:
    """What forwarding works with, and what it has learned of the engines.

    ``placer`` tells engines apart that look alike to this gateway.
    ``running`` are the requests of all gateways in the memory of decode engines, ``prefilling``
    their prompts at prefill engines, ``demand`` is what their requests need of both stages, and
    ``speed`` how fast prompts are read.
    """

    placer: Placer
    running: RunLedger
    prefilling: TokenLedger
    demand: StageDemand
    fleet: Fleet
    links: EngineLinks
    metrics: GatewayMetrics
    repeats: Repeats
    speed: PrefillSpeed = field(default_factory=PrefillSpeed)
    experience_by_engine: dict[str, EngineCallStats] = field(default_factory=dict)
    misdirected_until_by_entry: dict[EngineKey, float] = field(default_factory=dict)
    changing_until_by_engine: dict[str, float] = field(default_factory=dict)

    def note_misdirected(self, engine: EngineEntry) -> None:
        """Avoid an engine that is not, or not any more, what its entry says."""
        now = asyncio.get_running_loop().time()
        self.misdirected_until_by_entry[_key_of(engine)] = now + MISDIRECTED_SECONDS
        logger.bind(engine=engine.id, stage=engine.stage.value).info("engine avoided: misdirected")

    def is_misdirected(self, engine: EngineEntry, now: float) -> bool:
        """Return whether an engine is avoided; another entry under its id is not."""
        return self.misdirected_until_by_entry.get(_key_of(engine), 0.0) > now

    def engines_at(self, service: str, stages: Collection[EngineStage]) -> tuple[EngineEntry, ...]:
        """Return the engines of a service that take work of a stage now."""
        now = asyncio.get_running_loop().time()
        return tuple(
            engine
            for engine in self.fleet.engines_of(service)
            if engine.stage in stages
            and self.changing_until_by_engine.get(engine.id, 0.0) <= now
            and not self.links.is_open(engine.id, now)
            and not self.is_misdirected(engine, now)
        )


def _key_of(engine: EngineEntry) -> EngineKey:
    return engine.id, engine.incarnation, engine.stage
