"""Desired roles of the engines of owned shards, and the drains that precede a change of role.

An engine changes its role only after a drain: the scheduler of this process gives it no new work,
its running requests end, and the scheduler reports it as idle. A change is appended to the log
before the drain begins. So every later holder of the shard uses the same roles, and corrects an
engine that a late order of a previous holder has changed.
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
    """New desired role of an engine, to be appended to the log."""

    engine: str
    role: EngineRole


class RoleKeeper:
    """Desired roles and drains of the engines of the shards that one process owns.

    Parameters
    ----------
    node
        The control process.
    section
        The ``[orders]`` settings.
    recorded_role
        Returns the desired role of an engine on the log, or ``None``.
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

    def record_use(self, use: StageUse) -> None:
        """Record the utilisation of a shard that its scheduler reports."""
        self._use_by_shard[use.shard] = RoleUse(use.prefill, use.decode)

    def record_idle(self, engine: str) -> None:
        """Record that a draining engine has no work left."""
        if engine in self._drained_since:
            self._idle.add(engine)

    def forget_engine(self, engine: str) -> None:
        """Remove an engine of a shard that is no longer owned."""
        self._drained_since.pop(engine, None)
        self._idle.discard(engine)

    def forget_shard(self, shard: str) -> None:
        """Remove a shard that is no longer owned."""
        self._balance_by_shard.pop(shard, None)
        self._use_by_shard.pop(shard, None)

    def role_of(self, status: EngineStatus) -> EngineRole:
        """Return the desired role of an engine; without a recorded one, its present role."""
        recorded = self._recorded_role(status.engine)
        if recorded is None or not self._section.role_changes:
            return status.role
        return EngineRole(recorded)

    def is_idle(self, engine: str) -> bool:
        """Return whether an engine is draining and has no work left."""
        return engine in self._idle

    def may_order(self, status: EngineStatus) -> bool:
        """Return whether an order would interrupt no request.

        An order interrupts no request if the role stays the same or the engine is idle.
        """
        return self.role_of(status) is status.role or status.engine in self._idle

    def decide(
        self,
        shard: str,
        statuses: Mapping[str, EngineStatus],
        is_complete: bool,
        swapping: frozenset[str] = frozenset(),
    ) -> RoleChange | None:
        """Drain the engines of a held shard that must change; return a change to record, if any.

        Parameters
        ----------
        shard
            The shard, whose lease this process holds.
        statuses
            Latest reports of the shard's engines.
        is_complete
            Whether every engine of the shard has reported.
        swapping
            Engines that are about to load another version.
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
            return self._find_stalled_change(statuses, changing)
        if is_complete and not swapping and self._section.role_changes:
            return self._choose_change(shard, tuple(statuses.values()))
        return None

    def cancel_drains(self, shard: str, engines: Mapping[str, object]) -> None:
        """End all drains of a shard while no order may be sent, so that its engines get work."""
        if any(name in self._drained_since for name in engines):
            for name in engines:
                self._drained_since.pop(name, None)
                self._idle.discard(name)
            self._node.bus.publish(DrainEngines(shard, frozenset()))

    def _choose_change(self, shard: str, statuses: tuple[EngineStatus, ...]) -> RoleChange | None:
        balance = self._balance_by_shard.setdefault(shard, RoleBalance(self._limits))
        use = self._use_by_shard.get(shard, IDLE_USE)
        changed = balance.decide(statuses, self._node.timers.now(), use)
        if changed is None:
            return None
        is_prefill = changed.role is EngineRole.PREFILL
        role = EngineRole.DECODE if is_prefill else EngineRole.PREFILL
        self._node.timeline.record("role-change", detail=f"{changed.engine} to {role.name}")
        return RoleChange(changed.engine, role)

    def _find_stalled_change(
        self, statuses: Mapping[str, EngineStatus], changing: set[str]
    ) -> RoleChange | None:
        """Return a change back to the present role of an engine whose drain takes too long."""
        latest = self._node.timers.now() - self._section.drain_timeout
        for name in changing - self._idle:
            if self._drained_since[name] < latest:
                self._node.timeline.record("role-kept", detail=f"{name} is still at work")
                return RoleChange(name, statuses[name].role)
        return None
