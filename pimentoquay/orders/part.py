"""Control-process part that brings the engines of owned shards to their configured state."""

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
from pimentoquay.orders.desired import DesiredPool, desired_pools
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
from pimentoquay.services.ports import Ports
from pimentoquay.transport.peers import PeerSet

__all__ = ["OrdersPart"]

Result = TypeVar("Result")

INBOX_POLL_SECONDS = 0.1
"""Interval between two reads of the inbox; less than the rebuild grace of a new scheduler."""

STATUS_LIFETIME_SECONDS = 10.0
"""Maximum age of an engine's report that orders may be based on."""


@plugin("control-part", "orders")
class OrdersPart:
    """Holds the leases of owned shards and sends orders to their engines.

    Parameters
    ----------
    node
        The control process.
    peers
        Its channels to other processes.
    ports
        Its clients of engines and platform services.
    section
        The ``[orders]`` settings.
    """

    def __init__(self, node: Node, peers: PeerSet, ports: Ports, section: OrdersSection) -> None:
        self._node = node
        self._ports = ports
        self._section = section
        self._leases = Leases(node, ports.log, section)
        self._roles = RoleKeeper(node, section, self._leases.role_of)
        self._shard_by_name: dict[str, Shard] = {}
        self._pool_by_model: dict[str, DesiredPool] = {}
        self._status_by_engine: dict[str, EngineStatus] = {}
        self._reported_at: dict[str, float] = {}
        self._client_by_engine: dict[str, tuple[str, EngineClient]] = {}
        self._loads = LoadKeeper(self._leases, self._call_log)
        self._loads.set_report_times(self._reported_at)
        self._target_by_engine: dict[str, EngineTarget] = {}
        self.inbox: asyncio.Queue[Envelope] = node.bus.subscribe(
            ClusterView, ConfigurationInForce, EngineStatus, EngineIdle, StageUse
        )

    async def run(self) -> None:
        """Reconcile all owned shards once per period until cancelled."""
        while True:
            await self._wait_for_next_round()
            for shard in tuple(self._leases.shards):
                if shard not in self._shard_by_name:
                    await self._call_log(self._leases.give_up(shard))
            shards = tuple(self._shard_by_name.values())
            await asyncio.gather(*(self._reconcile(shard) for shard in shards))
            self._publish_status(shards)

    async def _wait_for_next_round(self) -> None:
        """Wait for the next period, or until this VM becomes the owner of another shard.

        A new owner must know which engines load weights before its scheduler gives them work.
        """
        due = self._node.timers.now() + self._section.reconcile_period
        owned = set(self._shard_by_name)
        while self._node.timers.now() < due and set(self._shard_by_name) <= owned:
            await self._node.timers.sleep(INBOX_POLL_SECONDS)
            self._process_inbox()

    def _publish_status(self, shards: tuple[Shard, ...]) -> None:
        configured_shards = [shard for shard in shards if shard.pool in self._pool_by_model]
        statuses = {
            name: status
            for shard in configured_shards
            for name, status in self._fresh_statuses(shard).items()
        }
        unmet_by_engine = unmet_engines(configured_shards, statuses, self._target_by_engine)
        loading, now = self._loads.loading, self._node.clock.now()
        status = orders_status(self._leases, configured_shards, unmet_by_engine, loading, now)
        self._node.bus.publish(status)

    def _process_inbox(self) -> None:
        in_force: ConfigurationInForce | None = None
        while not self.inbox.empty():
            message = self.inbox.get_nowait().message
            if isinstance(message, ClusterView):
                self._update_owned_shards(message)
            elif isinstance(message, ConfigurationInForce):
                in_force = message
            elif isinstance(message, StageUse):
                self._roles.record_use(message)
            elif isinstance(message, EngineIdle):
                self._roles.record_idle(message.engine)
            else:
                self._leases.record_number(message.fencing_number)
                self._status_by_engine[message.engine] = message
                self._reported_at[message.engine] = self._node.timers.now()
        if in_force is not None:
            # This iterates over all workspaces, so it runs only for the newest of several events.
            self._pool_by_model = desired_pools(in_force.workspace_by_name.values())

    def _update_owned_shards(self, view: ClusterView) -> None:
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
        await self._call_log(self._leases.claim_or_renew(shard.name))
        statuses = self._fresh_statuses(shard)
        await self._decide_roles(shard, statuses, pool)
        target_by_engine = self._targets(statuses, pool)
        self._target_by_engine.update(
            (name, target_of(status, pool, self._roles.role_of(status)))
            for name, status in statuses.items()
        )
        await self._loads.release_finished(shard, statuses, target_by_engine)
        may_load = await self._loads.allowed_to_load(
            shard, statuses, target_by_engine, self._roles.is_idle
        )
        orders = []
        for member in shard.engines:
            status = statuses.get(member.name)
            if status is None:
                continue
            target = target_by_engine[member.name]
            is_load_stale = self._loads.needs_new_order(status, target)
            if needs_load(status, target) and member.name not in may_load:
                target = replace(target, version=status.version, adapters=status.adapters)
            if is_load_stale or not self._is_reached(shard, member, status, target):
                orders.append(self._order(shard, member, status, target))
        await asyncio.gather(*orders)

    def _fresh_statuses(self, shard: Shard) -> dict[str, EngineStatus]:
        oldest = self._node.timers.now() - STATUS_LIFETIME_SECONDS
        return {
            member.name: self._status_by_engine[member.name]
            for member in shard.engines
            if self._reported_at.get(member.name, -STATUS_LIFETIME_SECONDS) > oldest
        }

    async def _decide_roles(
        self, shard: Shard, statuses: dict[str, EngineStatus], pool: DesiredPool
    ) -> None:
        if self._leases.number_for(shard.name, checks_fencing=True) == 0:
            self._roles.cancel_drains(shard.name, statuses)
            return
        is_complete = len(statuses) == len(shard.engines)
        change = self._roles.decide(
            shard.name,
            statuses,
            is_complete,
            self._loads.swapping(shard, statuses, self._targets(statuses, pool)),
        )
        if change is not None:
            await self._call_log(
                self._leases.record_role(shard.name, change.engine, int(change.role))
            )

    def _targets(
        self, statuses: dict[str, EngineStatus], pool: DesiredPool
    ) -> dict[str, EngineTarget]:
        """Return the state to order next for each engine; its role changes only once it is idle."""
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
        """Return whether an engine needs no order.

        Each new holder sends every engine at least one order. An engine that checks fencing
        numbers would otherwise still accept an order of a previous holder, and any engine may
        still be loading what a previous holder ordered.
        """
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if number and not self._loads.has_acknowledged(member.name, number):
            return False
        return is_reached(status, target)

    async def _order(
        self, shard: Shard, member: Member, status: EngineStatus, target: EngineTarget
    ) -> None:
        """Send one order, if the lease is held at the time of sending."""
        client = self._client(member)
        number = self._leases.number_for(shard.name, member.checks_fencing)
        if number == 0:
            return
        self._loads.record_order(status, target, number)
        order = EngineOrder(number, target.version, target.adapters, target.role)
        try:
            async with asyncio.timeout(self._section.order_timeout):
                await client.order(order)
            self._loads.mark_acknowledged(member.name, self._node.timers.now())
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

    async def _call_log(self, call: Awaitable[Result]) -> Result | None:
        """Await a call to the log service; return ``None`` if it fails or times out."""
        try:
            async with asyncio.timeout(self._section.log_timeout):
                return await call
        except (OSError, TimeoutError, PimentoquayError) as error:
            logger.warning("claims log: {}", error)
            return None
