"""Compares what is wanted of a shard's engines with what they report; pure.

Every order states the whole wanted state of an engine, so that repeating or reordering orders of
one holder changes nothing.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.orders.wanted import WantedPool

__all__ = [
    "EngineTarget",
    "is_reached",
    "load_candidates",
    "needs_load",
    "sole_engines",
    "target_of",
]

SERVING_SHARE = 0.5
"""The part of a shard's engines of each role that go on serving while others load."""


@dataclass(frozen=True)
class EngineTarget:
    """The wanted state of one engine."""

    version: str
    adapters: tuple[str, ...]
    role: EngineRole


def target_of(status: EngineStatus, pool: WantedPool, role: EngineRole | None) -> EngineTarget:
    """Return the wanted state of an engine; what nobody wants changed stays as reported."""
    version = pool.version or status.version
    return EngineTarget(version, pool.adapters, status.role if role is None else role)


def needs_load(status: EngineStatus, target: EngineTarget) -> bool:
    """Tell whether reaching the target reads weights."""
    return status.version != target.version or not set(target.adapters) <= set(status.adapters)


def is_reached(status: EngineStatus, target: EngineTarget) -> bool:
    """Tell whether an engine reports its target."""
    return (
        status.version == target.version
        and set(status.adapters) == set(target.adapters)
        and status.role == target.role
    )


def load_candidates(
    statuses: Mapping[str, EngineStatus],
    target_by_engine: Mapping[str, EngineTarget],
    loading: frozenset[str],
) -> list[str]:
    """Return the engines that may start to load now, the least busy first.

    Of each role at most half of the engines load at once, but always one may. A role does not get
    ahead of the other by more than it loads at once, because the KV cache goes only between engines
    of one version.
    """
    chosen: list[str] = []
    reached_share = min(_reached_shares(statuses, target_by_engine), default=0.0)
    for role in EngineRole:
        names = [name for name, status in statuses.items() if status.role is role]
        room = max(1, int(len(names) * SERVING_SHARE)) - sum(name in loading for name in names)
        pending = [name for name in names if needs_load(statuses[name], target_by_engine[name])]
        started = len(names) - sum(name not in loading for name in pending)
        if not names or started / len(names) > reached_share:
            continue
        waiting = [name for name in pending if name not in loading]
        waiting.sort(key=lambda name: (len(statuses[name].running), name))
        chosen += waiting[: max(0, room)]
    return chosen


def sole_engines(statuses: Mapping[str, EngineStatus]) -> frozenset[str]:
    """Return the engines that are the only ones of their role."""
    count_by_role = Counter(status.role for status in statuses.values())
    return frozenset(name for name, status in statuses.items() if count_by_role[status.role] == 1)


def _reached_shares(
    statuses: Mapping[str, EngineStatus], target_by_engine: Mapping[str, EngineTarget]
) -> list[float]:
    """Return the part of each role's engines that need no load."""
    shares = []
    for role in EngineRole:
        names = [name for name, status in statuses.items() if status.role is role]
        reached = sum(not needs_load(statuses[name], target_by_engine[name]) for name in names)
        if names:
            shares.append(reached / len(names))
    return shares
