"""Which role each engine of the owned shards shall have, and when it may be ordered.

An engine takes another role only after it was drained: the scheduler of this process gives it no
new work, what runs on it ends, and the scheduler says that it is idle. A change is put on the log
before the engine is drained for it, so that every later holder wants the same roles and an earlier
holder's order that arrives late is ordered away.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.backends.events import DrainEngines, StageUse
from pimentoquay.kernel import Node
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.policy.roles import IDLE_USE, RoleBalance, RoleLimits, RoleUse

__all__ = ["RoleChange", "RoleKeeper"]


@dataclass(frozen=True)
class RoleChange:
    """A role to be put on the log as the one that an engine shall have."""

    engine: str
    role: EngineRole


class RoleKeeper:
    """Wanted roles and drains of the engines of one process's shards.

    Parameters
    ----------
    node
        The control process.
    section
        The orders part's settings.
    recorded_role
        Returns the role that an engine shall have by the log, or ``None``.
    """

    def __init__(
        self, node: Node, section: OrdersSection, recorded_role: Callable[[str], int | None]
    ) -> None:
        self._node = node
        self._section = section
        self._limits = RoleLimits(
            section.role_high,
            section.role_low,
            section.role_hold,
            section.role_dwell,
            section.prefill_backlog,
        )
        self._recorded_role = recorded_role
        self._balance_by_shard: dict[str, RoleBalance] = {}
        self._use_by_shard: dict[str, RoleUse] = {}
        self._drained_since: dict[str, float] = {}
        self._idle: set[str] = set()

    def take_use(self, use: StageUse) -> None:
        """Take the scheduler's view of a shard."""
        self._use_by_shard[use.shard] = RoleUse(use.prefill, use.decode)

    def take_idle(self, engine: str) -> None:
        """Note that an engine which drains holds nothing."""
        if engine in self._drained_since:
            self._idle.add(engine)

    def forget_engine(self, engine: str) -> None:
        """Forget an engine of a shard that is no longer owned."""
        self._drained_since.pop(engine, None)
        self._idle.discard(engine)

    def forget_shard(self, shard: str) -> None:
        """Forget a shard that is no longer owned."""
        self._balance_by_shard.pop(shard, None)
        self._use_by_shard.pop(shard, None)

    def role_of(self, status: EngineStatus) -> EngineRole:
        """Return the role that an engine shall have."""
        recorded = self._recorded_role(status.engine)
        if recorded is None or not self._section.role_changes:
            return status.role
        return EngineRole(recorded)

    def is_idle(self, engine: str) -> bool:
        """Tell whether an engine that drains holds nothing."""
        return engine in self._idle

    def may_order(self, status: EngineStatus) -> bool:
        """Tell whether an order would cut nothing: the role stays, or the engine is idle."""
        return self.role_of(status) is status.role or status.engine in self._idle

    def decide(
        self,
        shard: str,
        statuses: Mapping[str, EngineStatus],
        is_complete: bool,
        swapping: frozenset[str] = frozenset(),
    ) -> RoleChange | None:
        """Drain what shall change, for a shard whose lease is held; return a further change.

        ``is_complete`` tells that every engine of the shard has reported, ``swapping`` names the
        engines that are about to load another version.
        """
        changing = {
            name for name, status in statuses.items() if self.role_of(status) is not status.role
        }
        draining = changing | swapping
        now = self._node.timers.now()
        for name in statuses:
            if name in draining:
                self._drained_since.setdefault(name, now)
            else:
                self._drained_since.pop(name, None)
                self._idle.discard(name)
        self._node.bus.publish(DrainEngines(shard, frozenset(draining)))
        if changing:
            return self._given_up(statuses, changing)
        if is_complete and not swapping and self._section.role_changes:
            return self._balance(shard, tuple(statuses.values()))
        return None

    def suspend(self, shard: str, engines: Mapping[str, object]) -> None:
        """Let every engine of a shard work while no order may be sent."""
        if any(name in self._drained_since for name in engines):
            for name in engines:
                self._drained_since.pop(name, None)
                self._idle.discard(name)
            self._node.bus.publish(DrainEngines(shard, frozenset()))

    def _balance(self, shard: str, statuses: tuple[EngineStatus, ...]) -> RoleChange | None:
        balance = self._balance_by_shard.setdefault(shard, RoleBalance(self._limits))
        use = self._use_by_shard.get(shard, IDLE_USE)
        changed = balance.decide(statuses, self._node.timers.now(), use)
        if changed is None:
            return None
        is_prefill = changed.role is EngineRole.PREFILL
        role = EngineRole.DECODE if is_prefill else EngineRole.PREFILL
        self._node.timeline.record("role-change", detail=f"{changed.engine} to {role.name}")
        return RoleChange(changed.engine, role)

    def _given_up(
        self, statuses: Mapping[str, EngineStatus], changing: set[str]
    ) -> RoleChange | None:
        """Return the present role of an engine whose work does not end."""
        latest = self._node.timers.now() - self._section.drain_timeout
        for name in changing - self._idle:
            if self._drained_since[name] < latest:
                self._node.timeline.record("role-kept", detail=f"{name} is still at work")
                return RoleChange(name, statuses[name].role)
        return None
