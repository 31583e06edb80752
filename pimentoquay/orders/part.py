"""The orders part: brings the engines of the owned shards to the state that is configured."""

import asyncio
from collections.abc import Awaitable
from dataclasses import replace
from typing import TypeVar

from pimentoquay.backends.base import EngineClient, EngineOrder, EngineStatus
from pimentoquay.backends.events import EngineIdle, StageUse
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.kernel import Envelope, Node, PimentoquayError, ResultCode, plugin
from pimentoquay.kernel.logs import logger
from pimentoquay.membership import Shard, shard_owner, shards_of
from pimentoquay.messages.cluster import ClusterView, Member
from pimentoquay.orders.leases import Leases
from pimentoquay.orders.loads import LoadKeeper
from pimentoquay.orders.reconcile import (
    EngineTarget,
    is_reached,
    needs_load,
    target_of,
)
from pimentoquay.orders.roles import RoleKeeper
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.orders.status import orders_status, unmet_engines
from pimentoquay.orders.wanted import WantedPool, wanted_pools
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["OrdersPart"]

Result = TypeVar("Result")

LOOK_SECONDS = 0.1
"""Time between two looks at the inbox; below the grace of a new scheduler."""

STATUS_LIFETIME = 10.0
"""Seconds after which an engine's report is too old to order by."""


@plugin("control-part", "orders")
class OrdersPart:
    """Keeps leases of the owned shards and orders their engines.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels.
    ports
        The clients of engines and platform.
    section
        The part's settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: OrdersSection) -> None:
        self._node = node
        self._ports = ports
        self._section = section
        self._leases = Leases(node, ports.log, section)
        self._roles = RoleKeeper(node, section, self._leases.role_of)
        self._shard_by_name: dict[str, Shard] = {}
        self._pool_by_model: dict[str, WantedPool] = {}
        self._status_by_engine: dict[str, EngineStatus] = {}
        self._reported_at: dict[str, float] = {}
        self._client_by_engine: dict[str, tuple[str, EngineClient]] = {}
        self._loads = LoadKeeper(self._leases, self._guard)
        self._loads.take_report_times(self._reported_at)
        self._target_by_engine: dict[str, EngineTarget] = {}
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            ClusterView, ConfigurationInForce, EngineStatus, EngineIdle, StageUse
        )

    async def run(self) -> None:
        """Compare and order at each period until cancelled."""
        while True:
            await self._until_due()
            for shard in tuple(self._leases.shards):
                if shard not in self._shard_by_name:
                    await self._guard(self._leases.give_up(shard))
            shards = tuple(self._shard_by_name.values())
            await asyncio.gather(*(self._reconcile(shard) for shard in shards))
            self._publish_status(shards)

    async def _until_due(self) -> None:
        """Wait for the next period, or until this VM has become the owner of a shard.

        A new owner has to know which engines load before its scheduler gives them work.
        """
        due = self._node.timers.now() + self._section.reconcile_period
        owned = set(self._shard_by_name)
        while self._node.timers.now() < due and set(self._shard_by_name) <= owned:
            await self._node.timers.sleep(LOOK_SECONDS)
            self._take_messages()

    def _publish_status(self, shards: tuple[Shard, ...]) -> None:
        wanted = [shard for shard in shards if shard.pool in self._pool_by_model]
        statuses = {
            name: status for shard in wanted for name, status in self._fresh_statuses(shard).items()
        }
        unmet_by_engine = unmet_engines(wanted, statuses, self._target_by_engine)
        loading, now = self._loads.loading, self._node.clock.now()
        status = orders_status(self._leases, wanted, unmet_by_engine, loading, now)
        self._node.bus.publish(status)

    def _take_messages(self) -> None:
        in_force: ConfigurationInForce | None = None
        while not self.inbox.empty():
            message = self.inbox.get_nowait().message
            if isinstance(message, ClusterView):
                self._take_view(message)
            elif isinstance(message, ConfigurationInForce):
                in_force = message
            elif isinstance(message, StageUse):
                self._roles.take_use(message)
            elif isinstance(message, EngineIdle):
                self._roles.take_idle(message.engine)
            else:
                self._leases.note_number(message.fencing_number)
                self._status_by_engine[message.engine] = message
                self._reported_at[message.engine] = self._node.timers.now()
        if in_force is not None:
            # Every workspace is gone through, so only for the newest of a burst.
            self._pool_by_model = wanted_pools(in_force.workspace_by_name.values())

    def _take_view(self, view: ClusterView) -> None:
        own = self._node.identity
        earlier = set(self._shard_by_name)
        self._shard_by_name = {
            name: shard
            for name, shard in shards_of(view.members).items()
            if shard.is_near(own) and shard_owner(shard, view.members, view.live_vms) == own.vm
        }
        owned = {engine.name for shard in self._shard_by_name.values() for engine in shard.engines}
        for name in [name for name in self._status_by_engine if name not in owned]:
            del self._status_by_engine[name]
            del self._reported_at[name]
            self._target_by_engine.pop(name, None)
            self._roles.forget_engine(name)
            self._loads.forget_engine(name)
        for name in sorted(earlier - set(self._shard_by_name)):
            self._roles.forget_shard(name)

    async def _reconcile(self, shard: Shard) -> None:
        pool = self._pool_by_model.get(shard.pool)
        if pool is None:
            return
        await self._guard(self._leases.keep(shard.name))
        statuses = self._fresh_statuses(shard)
        await self._decide_roles(shard, statuses, pool)
        target_by_engine = self._targets(statuses, pool)
        self._target_by_engine.update(
            (name, target_of(status, pool, self._roles.role_of(status)))
            for name, status in statuses.items()
        )
        await self._loads.end(shard, statuses, target_by_engine)
        may_load = await self._loads.permitted(
            shard, statuses, target_by_engine, self._roles.is_idle
        )
        orders = []
        for member in shard.engines:
            status = statuses.get(member.name)
            if status is None:
                continue
            target = target_by_engine[member.name]
            is_load_stale = self._loads.needs_another_order(status, target)
            if needs_load(status, target) and member.name not in may_load:
                target = replace(target, version=status.version, adapters=status.adapters)
            if is_load_stale or not self._is_reached(shard, member, status, target):
                orders.append(self._order(shard, member, status, target))
        await asyncio.gather(*orders)

    def _fresh_statuses(self, shard: Shard) -> dict[str, EngineStatus]:
        oldest = self._node.timers.now() - STATUS_LIFETIME
        return {
            member.name: self._status_by_engine[member.name]
            for member in shard.engines
            if self._reported_at.get(member.name, -STATUS_LIFETIME) > oldest
        }

    async def _decide_roles(
        self, shard: Shard, statuses: dict[str, EngineStatus], pool: WantedPool
    ) -> None:
        if self._leases.number_for(shard.name, checks_fencing=True) == 0:
            self._roles.suspend(shard.name, statuses)
            return
        is_complete = len(statuses) == len(shard.engines)
        change = self._roles.decide(
            shard.name,
            statuses,
            is_complete,
            self._loads.swapping(shard, statuses, self._targets(statuses, pool)),
        )
        if change is not None:
            await self._guard(self._leases.record_role(shard.name, change.engine, int(change.role)))

    def _targets(
        self, statuses: dict[str, EngineStatus], pool: WantedPool
    ) -> dict[str, EngineTarget]:
        """Return what engines shall be next; the role of each changes only once it is idle."""
        return {
            name: target_of(
                status,
                pool,
                self._roles.role_of(status) if self._roles.may_order(status) else status.role,
            )
            for name, status in statuses.items()
        }

    def _is_reached(
        self, shard: Shard, member: Member, status: EngineStatus, target: EngineTarget
    ) -> bool:
        """Tell whether an engine needs no order.

        Each takes one order from each holder: one that checks fencing numbers would otherwise
        still take an earlier holder's order, and any may be loading what that one ordered.
        """
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if number and not self._loads.has_taken(member.name, number):
            return False
        return is_reached(status, target)

    async def _order(
        self, shard: Shard, member: Member, status: EngineStatus, target: EngineTarget
    ) -> None:
        """Send one order, if the lease holds at this very moment."""
        client = self._client(member)
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if number == 0:
            return
        self._loads.note_order(status, target, number)
        order = EngineOrder(number, target.version, target.adapters, target.role)
        try:
            async with asyncio.timeout(self._section.order_timeout):
                await client.order(order)
            self._loads.note_taken(member.name, self._node.timers.now())
        except PimentoquayError as error:
            if error.code is ResultCode.FENCED:
                self._node.timeline.record("order-fenced", detail=f"{member.name} {error.detail}")
            logger.warning("order to {} failed: {}", member.name, error)
        except (OSError, TimeoutError) as error:
            logger.warning("order to {} failed: {}", member.name, error)

    def _client(self, member: Member) -> EngineClient:
        known = self._client_by_engine.get(member.name)
        if known is None or known[0] != member.address:
            known = self._client_by_engine[member.name] = (
                member.address,
                self._ports.engine(member),
            )
        return known[1]

    async def _guard(self, call: Awaitable[Result]) -> Result | None:
        """Await a call of the log; return ``None`` when the log does not take it in time."""
        try:
            async with asyncio.timeout(self._section.log_timeout):
                return await call
        except (OSError, TimeoutError, PimentoquayError) as error:
            logger.warning("claims log: {}", error)
            return None
