"""Local events about engines, between the parts of one control process."""

from dataclasses import dataclass

__all__ = ["DrainEngines", "EngineIdle", "StageUse"]


@dataclass(frozen=True)
class DrainEngines:
    """The engines of a shard that get no new work until a later event leaves them out."""

    shard: str
    engines: frozenset[str]


@dataclass(frozen=True)
class EngineIdle:
    """A draining engine holds nothing, and no grant names it."""

    engine: str


@dataclass(frozen=True)
class StageUse:
    """The use of a shard's prefill and decode engines, 0 for idle to 1 for full.

    It is the scheduler's own view. Engines' reports do not show it, because requests queue at the
    scheduler and not at the engines.
    """

    shard: str
    prefill: float
    decode: float
