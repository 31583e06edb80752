"""Which engines load weights or may start to, and which of them get no work meanwhile.

An engine is drained before it loads another version, since a request whose prefill ran on the one
must not be decoded on the other. The only engine of its role in a shard loads while it serves, as
nothing could take its place.
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
Guard = Callable[[Awaitable[Any]], Awaitable[Any]]


class LoadKeeper:
    """The places for loading that this process holds, and what it ordered to be loaded.

    Parameters
    ----------
    leases
        Where places are had.
    guard
        Awaits a call of the log and returns ``None`` when the log does not take it in time.
    """

    def __init__(self, leases: Leases, guard: Guard) -> None:
        self._leases = leases
        self._guard = guard
        self._loading: set[str] = set()
        self._sent = SentOrders()
        self._reported_at: Mapping[str, float] = {}

    @property
    def loading(self) -> frozenset[str]:
        """The engines that hold a place for loading."""
        return frozenset(self._loading)

    def take_report_times(self, reported_at: Mapping[str, float]) -> None:
        """Take when each engine's last report came, in seconds of the process's clock."""
        self._reported_at = reported_at

    def forget_engine(self, engine: str) -> None:
        """Forget an engine of a shard that is no longer owned."""
        self._sent.forget(engine)
        self._loading.discard(engine)

    def note_order(self, status: EngineStatus, target: EngineTarget, number: int) -> None:
        """Remember an order that is about to be sent."""
        may_swap = self._is_swapping(status) or self._leases.is_loading_for_another(status.engine)
        self._sent.note(status, may_swap, target, number)

    def note_taken(self, engine: str, at: float) -> None:
        """Note when an engine had taken the last order."""
        self._sent.taken(engine, at)

    def has_taken(self, engine: str, number: int) -> bool:
        """Tell whether an engine took an order of this process under a fencing number."""
        return self._sent.has_taken(engine, number)

    def needs_another_order(self, status: EngineStatus, target: EngineTarget) -> bool:
        """Tell whether the last order may still bring a version that is not wanted any more."""
        return self._sent.needs_another(status, self._reported_at[status.engine], target)

    def swapping(
        self, shard: Shard, statuses: Statuses, target_by_engine: Targets
    ) -> frozenset[str]:
        """Return the engines that may load another version as soon as they are idle."""
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

    async def end(self, shard: Shard, statuses: Statuses, target_by_engine: Targets) -> None:
        """Give back the places of engines that have loaded what is wanted."""
        place_by_engine = _places(shard)
        for name in sorted(self._loading & set(statuses) & set(place_by_engine)):
            if self._is_swapping(statuses[name]):
                continue
            if not needs_load(statuses[name], target_by_engine[name]):
                self._loading.discard(name)
                await self._guard(self._leases.end_load(name, place_by_engine[name]))

    async def permitted(
        self,
        shard: Shard,
        statuses: Statuses,
        target_by_engine: Targets,
        is_idle: Callable[[str], bool],
    ) -> frozenset[str]:
        """Return the engines of a shard whose order to load may go out now."""
        number = self._leases.number_for(shard.name, checks_fencing=True)
        if number == 0:
            return frozenset()
        self._take_over(statuses, number)
        place_by_engine = _places(shard)
        for name in load_candidates(statuses, target_by_engine, frozenset(self._loading)):
            if await self._guard(self._leases.permit_load(name, place_by_engine[name])):
                self._loading.add(name)
        permitted = set()
        for name in sorted(self._loading & set(statuses)):
            if await self._guard(self._leases.permit_load(name, place_by_engine[name])):
                permitted.add(name)
        must_drain = {
            name for name in permitted if statuses[name].version != target_by_engine[name].version
        } - _sole_engines(shard, statuses)
        return frozenset(name for name in permitted if name not in must_drain or is_idle(name))

    def _take_over(self, statuses: Statuses, number: int) -> None:
        """Take the places that an earlier holder had, once the engines heard of this one."""
        self._loading |= {
            name
            for name in statuses
            if self._leases.is_loading_for_another(name) and self._sent.has_taken(name, number)
        }

    def _is_swapping_for_another(
        self, shard: Shard, status: EngineStatus, target: EngineTarget
    ) -> bool:
        """Tell whether an engine may still load what an earlier holder ordered."""
        if not self._leases.is_loading_for_another(status.engine):
            return False
        number = self._leases.number_for(shard.name, checks_fencing=True)
        has_taken = self._sent.has_taken(status.engine, number)
        return not has_taken or status.version != target.version

    def _is_swapping(self, status: EngineStatus) -> bool:
        return self._sent.is_swapping(status, self._reported_at[status.engine])


def _places(shard: Shard) -> dict[str, str]:
    """Return the data centre of each engine."""
    return {member.name: member.data_centre for member in shard.engines}


def _sole_engines(shard: Shard, statuses: Statuses) -> frozenset[str]:
    """Return the only engines of their roles, which is known once every engine has reported."""
    return sole_engines(statuses) if len(statuses) == len(shard.engines) else frozenset()
