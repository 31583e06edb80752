"""Operator-facing state of the orders part: leases, and engines not yet in their desired state."""

from collections.abc import Iterable, Mapping

from pimentoquay.backends.base import EngineStatus
from pimentoquay.kernel.status import PartStatus, StatusItem
from pimentoquay.membership import Shard
from pimentoquay.orders.leases import Leases
from pimentoquay.orders.reconcile import EngineTarget, is_reached

__all__ = ["orders_status", "unmet_engines"]

NO_REPORT = "no fresh report of its state"


def unmet_engines(
    shards: Iterable[Shard],
    status_by_engine: Mapping[str, EngineStatus],
    target_by_engine: Mapping[str, EngineTarget],
) -> dict[str, str]:
    """Return a description of what each engine lacks to reach its target.

    Engines that report their target are left out.
    """
    unmet = {}
    for shard in shards:
        for member in shard.engines:
            status = status_by_engine.get(member.name)
            target = target_by_engine.get(member.name)
            if status is None:
                unmet[member.name] = NO_REPORT
            elif target is not None and not is_reached(status, target):
                unmet[member.name] = _missing_changes(status, target)
    return unmet


def _missing_changes(status: EngineStatus, target: EngineTarget) -> str:
    parts = []
    if status.version != target.version:
        parts.append(f"version {target.version} instead of {status.version}")
    if set(status.adapters) != set(target.adapters):
        parts.append(f"adapters {', '.join(target.adapters) or 'none'}")
    if status.role != target.role:
        parts.append(f"role {target.role.name.lower()}")
    return f"wants {', '.join(parts)}"


def orders_status(
    leases: Leases,
    shards: Iterable[Shard],
    unmet_by_engine: Mapping[str, str],
    loading: frozenset[str],
    now: float,
) -> PartStatus:
    """Return the lease of each shard, and the engines that are not in their desired state.

    Parameters
    ----------
    leases
        The leases of this process.
    shards
        The shards that this VM owns.
    unmet_by_engine
        What engines lack to reach their target, from ``unmet_engines``.
    loading
        Engines that hold a permit to load weights.
    now
        Present time in seconds of the clock that the leases use.
    """
    items = []
    for shard in shards:
        items.append(_lease_item(leases, shard, now))
        for member in shard.engines:
            missing = unmet_by_engine.get(member.name)
            if missing is None:
                continue
            number = leases.number_for(shard.name, member.checks_fencing)
            if missing != NO_REPORT:
                missing = f"{missing}: {_blocking_reason(member.name in loading, number)}"
            items.append(StatusItem(f"{shard.name} {member.name}", "waiting", missing))
    return PartStatus("orders", tuple(items))


def _lease_item(leases: Leases, shard: Shard, now: float) -> StatusItem:
    subject = f"{shard.name} lease"
    lease = leases.lease_of(shard.name)
    if lease is not None and lease.until > now:
        detail = f"held here for {lease.until - now:.0f} s, fencing number {lease.number}"
        return StatusItem(subject, "ok", detail)
    holder = leases.holder_of(shard.name)
    if holder is not None and holder.until > now:
        detail = f"{holder.vm} holds it for {holder.until - now:.0f} s at most; no orders from here"
        return StatusItem(subject, "waiting", detail)
    return StatusItem(subject, "waiting", "not claimed yet; no orders while the log takes no claim")


def _blocking_reason(is_loading: bool, number: int) -> str:
    if number == 0:
        return "no order may be sent yet, an earlier holder's may be under way"
    return (
        "loading"
        if is_loading
        else "waits for a place to load, the end of its work or the order's effect"
    )
