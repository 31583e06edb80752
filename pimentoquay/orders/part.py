"""The orders part: brings the engines of the owned shards to the state that is configured."""

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

from pimentoquay.backends.base import EngineClient, EngineOrder, EngineStatus
from pimentoquay.backends.events import EngineIdle, StageUse
from pimentoquay.configuration.events import ConfigurationInForce
from pimentoquay.kernel import Envelope, Node, PimentoquayError, ResultCode, plugin
from pimentoquay.kernel.logs import logger
from pimentoquay.membership import Shard, shard_owner, shards_of
from pimentoquay.messages.cluster import ClusterView, Member
from pimentoquay.orders.leases import Leases
from pimentoquay.orders.reconcile import (
    EngineTarget,
    is_reached,
    load_candidates,
    needs_load,
    target_of,
)
from pimentoquay.orders.roles import RoleKeeper
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.orders.status import orders_status, unmet_engines
from pimentoquay.orders.wanted import WantedPool, wanted_pools
from pimentoquay.platform.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["OrdersPart"]

Result = TypeVar("Result")

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
        self._loading: set[str] = set()
        self._target_by_engine: dict[str, EngineTarget] = {}
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            ClusterView, ConfigurationInForce, EngineStatus, EngineIdle, StageUse
        )

    async def run(self) -> None:
        """Compare and order at each period until cancelled."""
        while True:
            await self._node.timers.sleep(self._section.reconcile_period)
            self._take_messages()
            for shard in tuple(self._leases.shards):
                if shard not in self._shard_by_name:
                    await self._guard(self._leases.give_up(shard))
            shards = tuple(self._shard_by_name.values())
            await asyncio.gather(*(self._reconcile(shard) for shard in shards))
            self._publish_status(shards)

    def _publish_status(self, shards: tuple[Shard, ...]) -> None:
        wanted = [shard for shard in shards if shard.pool in self._pool_by_model]
        statuses = {
            name: status for shard in wanted for name, status in self._fresh_statuses(shard).items()
        }
        unmet_by_engine = unmet_engines(wanted, statuses, self._target_by_engine)
        loading, now = frozenset(self._loading), self._node.clock.now()
        status = orders_status(self._leases, wanted, unmet_by_engine, loading, now)
        self._node.bus.publish(status)

    def _take_messages(self) -> None:
        while not self.inbox.empty():
            message = self.inbox.get_nowait().message
            if isinstance(message, ClusterView):
                self._take_view(message)
            elif isinstance(message, ConfigurationInForce):
                self._pool_by_model = wanted_pools(message.workspace_by_name.values())
            elif isinstance(message, StageUse):
                self._roles.take_use(message)
            elif isinstance(message, EngineIdle):
                self._roles.take_idle(message.engine)
            else:
                self._leases.note_number(message.fencing_number)
                self._status_by_engine[message.engine] = message
                self._reported_at[message.engine] = self._node.timers.now()

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
        for name in earlier - set(self._shard_by_name):
            self._roles.forget_shard(name)

    async def _reconcile(self, shard: Shard) -> None:
        pool = self._pool_by_model.get(shard.pool)
        if pool is None:
            return
        await self._guard(self._leases.keep(shard.name))
        statuses = self._fresh_statuses(shard)
        await self._decide_roles(shard, statuses)
        target_by_engine = {name: self._target(status, pool) for name, status in statuses.items()}
        self._target_by_engine.update(
            (name, target_of(status, pool, self._roles.role_of(status)))
            for name, status in statuses.items()
        )
        await self._end_loads(shard, statuses, target_by_engine)
        may_load = await self._permitted_loads(shard, statuses, target_by_engine)
        orders = []
        for member in shard.engines:
            status = statuses.get(member.name)
            if status is None:
                continue
            target = target_by_engine[member.name]
            if self._is_reached(shard, member, status, target):
                continue
            if not needs_load(status, target) or member.name in may_load:
                orders.append(self._order(shard, member, target))
        await asyncio.gather(*orders)

    def _fresh_statuses(self, shard: Shard) -> dict[str, EngineStatus]:
        oldest = self._node.timers.now() - STATUS_LIFETIME
        return {
            member.name: self._status_by_engine[member.name]
            for member in shard.engines
            if self._reported_at.get(member.name, -STATUS_LIFETIME) > oldest
        }

    async def _decide_roles(self, shard: Shard, statuses: dict[str, EngineStatus]) -> None:
        if self._leases.number_for(shard.name, checks_fencing=True) == 0:
            self._roles.suspend(shard.name, statuses)
            return
        is_complete = len(statuses) == len(shard.engines)
        change = self._roles.decide(shard.name, statuses, is_complete)
        if change is not None:
            await self._guard(self._leases.record_role(shard.name, change.engine, int(change.role)))

    def _target(self, status: EngineStatus, pool: WantedPool) -> EngineTarget:
        """Return what an engine shall be next; its role changes only once it is idle."""
        role = self._roles.role_of(status) if self._roles.may_order(status) else status.role
        return target_of(status, pool, role)

    def _is_reached(
        self, shard: Shard, member: Member, status: EngineStatus, target: EngineTarget
    ) -> bool:
        """Tell whether an engine needs no order.

        One that checks fencing numbers needs to hear the present holder's, or it would still
        take an earlier holder's order.
        """
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if member.checks_fencing and status.fencing_number < number:
            return False
        return is_reached(status, target)

    async def _end_loads(
        self,
        shard: Shard,
        statuses: dict[str, EngineStatus],
        target_by_engine: dict[str, EngineTarget],
    ) -> None:
        place_by_engine = {member.name: member.data_centre for member in shard.engines}
        for name in self._loading & set(place_by_engine):
            status = statuses.get(name)
            if status is not None and not needs_load(status, target_by_engine[name]):
                self._loading.discard(name)
                await self._guard(self._leases.end_load(name, place_by_engine[name]))

    async def _permitted_loads(
        self,
        shard: Shard,
        statuses: dict[str, EngineStatus],
        target_by_engine: dict[str, EngineTarget],
    ) -> frozenset[str]:
        """Return the engines of a shard that load now or may start to."""
        place_by_engine = {member.name: member.data_centre for member in shard.engines}
        self._loading &= set(self._status_by_engine)
        started = load_candidates(statuses, target_by_engine, frozenset(self._loading))
        for name in started:
            if await self._guard(self._leases.permit_load(name, place_by_engine[name])):
                self._loading.add(name)
        permitted = set()
        for name in self._loading & set(statuses):
            if await self._guard(self._leases.permit_load(name, place_by_engine[name])):
                permitted.add(name)
        return frozenset(permitted)

    async def _order(self, shard: Shard, member: Member, target: EngineTarget) -> None:
        """Send one order, if the lease holds at this very moment."""
        client = self._client(member)
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if number == 0:
            return
        order = EngineOrder(number, target.version, target.adapters, target.role)
        try:
            async with asyncio.timeout(self._section.order_timeout):
                await client.order(order)
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
