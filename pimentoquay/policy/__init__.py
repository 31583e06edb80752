"""Decisions on admission, queueing, placement, links, prefixes, retries and circuit breakers.

The code is free of input and output: it neither awaits nor logs, and takes the current time as an
argument instead of reading a clock.
"""

from pimentoquay.policy.admission import (
    AdmissionDecision,
    AdmissionLimits,
    Demand,
    ShardLoad,
    admit,
    estimated_wait,
)
from pimentoquay.policy.circuits import CircuitLimits, Circuits, CircuitState
from pimentoquay.policy.engines import EngineLoad
from pimentoquay.policy.links import (
    KV_LIFETIME_SECONDS,
    LinkLoad,
    TransferDurations,
    is_link_key,
    link_keys,
)
from pimentoquay.policy.placement import (
    Choice,
    PlacementLimits,
    PlacementNeed,
    choose,
)
from pimentoquay.policy.prefix_index import PrefixIndex
from pimentoquay.policy.prefixes import BLOCK_TOKENS, prefix_hashes
from pimentoquay.policy.queue import FairQueue, QueueItem
from pimentoquay.policy.retries import RetryBudget, RetryLimits
from pimentoquay.policy.speeds import Estimate, SpeedBook, StartingSpeeds

__all__ = [
    "BLOCK_TOKENS",
    "KV_LIFETIME_SECONDS",
    "AdmissionDecision",
    "AdmissionLimits",
    "Choice",
    "CircuitLimits",
    "CircuitState",
    "Circuits",
    "Demand",
    "EngineLoad",
    "Estimate",
    "FairQueue",
    "LinkLoad",
    "PlacementLimits",
    "PlacementNeed",
    "PrefixIndex",
    "QueueItem",
    "RetryBudget",
    "RetryLimits",
    "ShardLoad",
    "SpeedBook",
    "StartingSpeeds",
    "TransferDurations",
    "admit",
    "choose",
    "estimated_wait",
    "is_link_key",
    "link_keys",
    "prefix_hashes",
]
