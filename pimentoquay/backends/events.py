"""Events about engines on the bus between the parts of one control process."""

from dataclasses import dataclass

__all__ = ["DrainEngines", "EngineIdle", "StageUse"]


@dataclass(frozen=True)
class DrainEngines:
    """Engines of a shard that receive no new requests until a later event omits them."""

    shard: str
    engines: frozenset[str]


@dataclass(frozen=True)
class EngineIdle:
    """A draining engine that holds no requests and is named by no grant."""

    engine: str


@dataclass(frozen=True)
class StageUse:
    """Utilisation of a shard's prefill and decode engines, from 0 (idle) to 1 (full).

    The scheduler measures it, because the engines' reports do not show the requests that queue at
    the scheduler rather than at the engines.
    """

    shard: str
    prefill: float
    decode: float
