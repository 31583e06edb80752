"""Compares the desired state of a shard's engines with their reports, without I/O.

Every order contains the complete desired state of an engine, so repeating or reordering the orders
of one holder is harmless.
"""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.orders.desired import DesiredPool

__all__ = [
    "EngineTarget",
    "is_reached",
    "load_candidates",
    "needs_load",
    "sole_engines",
    "target_of",
]

SERVING_SHARE = 0.5
"""Share of a shard's engines of each role that continue to serve while others load."""


@dataclass(frozen=True)
class EngineTarget:
    """Desired state of one engine."""

    version: str
    adapters: tuple[str, ...]
    role: EngineRole


def target_of(status: EngineStatus, pool: DesiredPool, role: EngineRole | None) -> EngineTarget:
    """Return the desired state of an engine; unspecified values stay as reported.

    Parameters
    ----------
    status
        Latest report of the engine.
    pool
        Desired version, which may be empty, and adapters of the engine's pool.
    role
        Desired role, or ``None`` to keep the present one.
    """
    version = pool.version or status.version
    return EngineTarget(version, pool.adapters, status.role if role is None else role)


def needs_load(status: EngineStatus, target: EngineTarget) -> bool:
    """Return whether an engine has to load weights to reach its target."""
    return status.version != target.version or not set(target.adapters) <= set(status.adapters)


def is_reached(status: EngineStatus, target: EngineTarget) -> bool:
    """Return whether an engine reports its target state."""
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
    """Return the engines that may start to load now, the least busy of each role first.

    At most half of the engines of a role load at the same time, but always at least one may. No
    role gets ahead of another by more engines than it loads at the same time, because a KV cache
    can only be transferred between engines of the same version.

    Parameters
    ----------
    statuses
        Latest reports of the shard's engines.
    target_by_engine
        Desired state of each engine.
    loading
        Engines that hold a load permit.
    """
    chosen: list[str] = []
    reached_share = min(_reached_shares(statuses, target_by_engine), default=0.0)
    for role in EngineRole:
        names = [name for name, status in statuses.items() if status.role is role]
        free_count = max(1, int(len(names) * SERVING_SHARE)) - sum(
            name in loading for name in names
        )
        pending = [name for name in names if needs_load(statuses[name], target_by_engine[name])]
        started = len(names) - sum(name not in loading for name in pending)
        if not names or started / len(names) > reached_share:
            continue
        waiting = [name for name in pending if name not in loading]
        waiting.sort(key=lambda name: (len(statuses[name].running), name))
        chosen += waiting[: max(0, free_count)]
    return chosen


def sole_engines(statuses: Mapping[str, EngineStatus]) -> frozenset[str]:
    """Return the engines that are the only ones of their role."""
    count_by_role = Counter(status.role for status in statuses.values())
    return frozenset(name for name, status in statuses.items() if count_by_role[status.role] == 1)


def _reached_shares(
    statuses: Mapping[str, EngineStatus], target_by_engine: Mapping[str, EngineTarget]
) -> list[float]:
    """Return for each role the share of its engines that need no load."""
    shares = []
    for role in EngineRole:
        names = [name for name, status in statuses.items() if status.role is role]
        reached = sum(not needs_load(statuses[name], target_by_engine[name]) for name in names)
        if names:
            shares.append(reached / len(names))
    return shares
