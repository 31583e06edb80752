"""Manages loads of weights: which engines load, may start to load, or are drained for a load.

An engine is drained before it loads another version, because a request must be decoded by the
version that ran its prefill. The only engine of its role in a shard loads while it serves, because
no other engine could take over its work.
"""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from pimentoquay.backends.base import EngineStatus
from pimentoquay.membership import Shard
from pimentoquay.orders.leases import Leases
from pimentoquay.orders.reconcile import EngineTarget, load_candidates, needs_load, sole_engines
from pimentoquay.orders.sent import SentOrders

__all__ = ["LoadKeeper", "Statuses", "Targets"]

Statuses = Mapping[str, EngineStatus]
Targets = Mapping[str, EngineTarget]
LogCall = Callable[[Awaitable[Any]], Awaitable[Any]]


class LoadKeeper:
    """Load permits of this process, and the orders that it sent to engines.

    Parameters
    ----------
    leases
        The leases and load permits of this process.
    call_log
        Awaits a call to the log service and returns ``None`` if it fails or times out.
    """

    def __init__(self, leases: Leases, call_log: LogCall) -> None:
        self._leases = leases
        self._call_log = call_log
        self._loading: set[str] = set()
        self._sent = SentOrders()
        self._reported_at: Mapping[str, float] = {}

    @property
    def loading(self) -> frozenset[str]:
        """Engines for which this process holds a load permit."""
        return frozenset(self._loading)

    def set_report_times(self, reported_at: Mapping[str, float]) -> None:
        """Set the mapping of each engine to the time of its last report, in seconds of the clock.

        The caller keeps updating the mapping.
        """
        self._reported_at = reported_at

    def forget_engine(self, engine: str) -> None:
        """Remove an engine of a shard that is no longer owned."""
        self._sent.forget(engine)
        self._loading.discard(engine)

    def record_order(self, status: EngineStatus, target: EngineTarget, number: int) -> None:
        """Record an order that is about to be sent."""
        may_swap = self._is_swapping(status) or self._leases.is_loading_for_another(status.engine)
        self._sent.record(status, may_swap, target, number)

    def mark_acknowledged(self, engine: str, at: float) -> None:
        """Record that an engine has acknowledged its last order, at the time ``at``."""
        self._sent.mark_acknowledged(engine, at)

    def has_acknowledged(self, engine: str, number: int) -> bool:
        """Return whether an engine's last order had this fencing number and was acknowledged."""
        return self._sent.has_acknowledged(engine, number)

    def needs_new_order(self, status: EngineStatus, target: EngineTarget) -> bool:
        """Return whether an engine needs a new order because of the last one, whatever it reports.

        A new order is needed if the engine may still swap versions because of the last order, and
        that order names another version than the target or was not acknowledged.
        """
        return self._sent.needs_new_order(status, self._reported_at[status.engine], target)

    def swapping(
        self, shard: Shard, statuses: Statuses, target_by_engine: Targets
    ) -> frozenset[str]:
        """Return the engines that must get no work because they may swap versions."""
        unseen = frozenset(
            member.name
            for member in shard.engines
            if member.name not in statuses and self._leases.is_loading_for_another(member.name)
        )
        swapping = frozenset(
            name
            for name, status in statuses.items()
            if self._is_swapping(status)
            or self._is_swapping_for_another(shard, status, target_by_engine[name])
            or (name in self._loading and status.version != target_by_engine[name].version)
        )
        return unseen | (swapping - _sole_engines(shard, statuses))

    async def release_finished(
        self, shard: Shard, statuses: Statuses, target_by_engine: Targets
    ) -> None:
        """Release the load permits of engines that have loaded their target."""
        data_centre_by_engine = _data_centres(shard)
        for name in sorted(self._loading & set(statuses) & set(data_centre_by_engine)):
            if self._is_swapping(statuses[name]):
                continue
            if not needs_load(statuses[name], target_by_engine[name]):
                self._loading.discard(name)
                await self._call_log(
                    self._leases.release_load_permit(name, data_centre_by_engine[name])
                )

    async def allowed_to_load(
        self,
        shard: Shard,
        statuses: Statuses,
        target_by_engine: Targets,
        is_idle: Callable[[str], bool],
    ) -> frozenset[str]:
        """Request load permits and return the engines of a shard that may be ordered to load now.

        ``is_idle`` returns whether a draining engine has no work left.
        """
        number = self._leases.number_for(shard.name, checks_fencing=True)
        if number == 0:
            return frozenset()
        self._adopt_permits(statuses, number)
        data_centre_by_engine = _data_centres(shard)
        for name in load_candidates(statuses, target_by_engine, frozenset(self._loading)):
            if await self._call_log(
                self._leases.acquire_load_permit(name, data_centre_by_engine[name])
            ):
                self._loading.add(name)
        permitted = set()
        for name in sorted(self._loading & set(statuses)):
            if await self._call_log(
                self._leases.acquire_load_permit(name, data_centre_by_engine[name])
            ):
                permitted.add(name)
        must_drain = {
            name for name in permitted if statuses[name].version != target_by_engine[name].version
        } - _sole_engines(shard, statuses)
        return frozenset(name for name in permitted if name not in must_drain or is_idle(name))

    def _adopt_permits(self, statuses: Statuses, number: int) -> None:
        """Adopt a previous holder's permits for engines that acknowledged this process's order."""
        self._loading |= {
            name
            for name in statuses
            if self._leases.is_loading_for_another(name)
            and self._sent.has_acknowledged(name, number)
        }

    def _is_swapping_for_another(
        self, shard: Shard, status: EngineStatus, target: EngineTarget
    ) -> bool:
        """Return whether an engine may still load what a previous holder ordered."""
        if not self._leases.is_loading_for_another(status.engine):
            return False
        number = self._leases.number_for(shard.name, checks_fencing=True)
        has_acknowledged = self._sent.has_acknowledged(status.engine, number)
        return not has_acknowledged or status.version != target.version

    def _is_swapping(self, status: EngineStatus) -> bool:
        return self._sent.is_swapping(status, self._reported_at[status.engine])


def _data_centres(shard: Shard) -> dict[str, str]:
    """Return the data centre of each engine."""
    return {member.name: member.data_centre for member in shard.engines}


def _sole_engines(shard: Shard, statuses: Statuses) -> frozenset[str]:
    """Return the engines that are the only one of their role; none until all have reported."""
    return sole_engines(statuses) if len(statuses) == len(shard.engines) else frozenset()
