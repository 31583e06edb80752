"""What the orders part tells operators: leases, loads that go on, engines that wait for them."""

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
    """Return what is wanted of each engine that does not report it."""
    unmet = {}
    for shard in shards:
        for member in shard.engines:
            status = status_by_engine.get(member.name)
            target = target_by_engine.get(member.name)
            if status is None:
                unmet[member.name] = NO_REPORT
            elif target is not None and not is_reached(status, target):
                unmet[member.name] = _difference(status, target)
    return unmet


def _difference(status: EngineStatus, target: EngineTarget) -> str:
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
    """Return the state of every shard that this VM orders, and of engines not as configured.

    ``unmet_by_engine`` holds what is wanted of each engine that reports something else, and
    ``loading`` the engines that hold a place for loading weights.
    """
    items = []
    for shard in shards:
        items.append(_lease_item(leases, shard, now))
        for member in shard.engines:
            wanted = unmet_by_engine.get(member.name)
            if wanted is None:
                continue
            number = leases.number_for(shard.name, member.checks_fencing)
            if wanted != NO_REPORT:
                wanted = f"{wanted}: {_reason(member.name in loading, number)}"
            items.append(StatusItem(f"{shard.name} {member.name}", "waiting", wanted))
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


def _reason(is_loading: bool, number: int) -> str:
    if number == 0:
        return "no order may be sent yet, an earlier holder's may be under way"
    return (
        "loading"
        if is_loading
        else "waits for a place to load, the end of its work or the order's effect"
    )
