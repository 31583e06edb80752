"""Leases with fencing numbers that give the right to order a shard's engines, claimed on the log.

A lease is counted from just before its record is appended, on the monotonic clock of this process,
so it ends here no later than any other process assumes. ``number_for`` reads that clock before
each order, so a process that was paused past the end of its lease sends no order.
"""

from dataclasses import dataclass
from typing import Any

from pimentoquay.kernel import Node
from pimentoquay.messages.orders import LoadPermit, RoleRecord, ShardClaim
from pimentoquay.orders.claim_fold import ClaimFold, ShardHolder
from pimentoquay.orders.folded_stream import FoldedStream
from pimentoquay.orders.settings import OrdersSection
from pimentoquay.services.base import LogClient

__all__ = ["Lease", "Leases", "claims_stream"]


def claims_stream(region: str) -> str:
    """Return the name of the log stream of a region's claims.

    All shards of a region share one stream, so that an engine that moves to another shard, as when
    its pool grows, still sees increasing fencing numbers.
    """
    return f"claims-{region}"


@dataclass(frozen=True)
class Lease:
    """Lease of a shard held by this process; times are on its monotonic clock.

    Attributes
    ----------
    number
        Fencing number.
    until
        End of the lease.
    unfenced_from
        Time from which engines that ignore fencing numbers may be ordered, since no order of a
        previous holder can still be in flight.
    renew_at
        Time at which the lease is to be renewed.
    """

    number: int
    until: float
    unfenced_from: float
    renew_at: float


class Leases:
    """Leases and load permits of this process.

    Parameters
    ----------
    node
        The control process.
    log
        Client of the log service.
    section
        The ``[orders]`` settings.
    """

    def __init__(self, node: Node, log: LogClient, section: OrdersSection) -> None:
        self._node = node
        self._section = section
        self._fold = ClaimFold(section.loads_at_once)
        self._stream = FoldedStream(
            log, claims_stream(node.identity.region), self._apply, self._restart
        )
        self._lease_by_shard: dict[str, Lease] = {}
        self._superseded_by: dict[str, int] = {}
        self._sequence = 0
        self._highest_number = 0
        self._unknown_holders_until = 0.0

    @property
    def shards(self) -> tuple[str, ...]:
        """Shards whose lease this process took and has neither given up nor lost."""
        return tuple(self._lease_by_shard)

    def lease_of(self, shard: str) -> Lease | None:
        """Return the last lease of a shard in this process, even if it has ended, or ``None``."""
        return self._lease_by_shard.get(shard)

    def holder_of(self, shard: str) -> ShardHolder | None:
        """Return the last holder of a shard according to the log records read so far."""
        return self._fold.holder_of(shard)

    def number_for(self, shard: str, checks_fencing: bool) -> int:
        """Return the fencing number for an order sent now, or 0 if no order may be sent.

        Parameters
        ----------
        shard
            The shard.
        checks_fencing
            Whether the engine to be ordered checks fencing numbers.
        """
        lease = self._lease_by_shard.get(shard)
        now = self._node.clock.now()
        if lease is None or now >= lease.until:
            return 0
        if not checks_fencing and now < lease.unfenced_from:
            return 0
        return lease.number

    def record_number(self, number: int) -> None:
        """Record a fencing number that an engine has seen."""
        self._highest_number = max(self._highest_number, number)

    async def claim_or_renew(self, shard: str) -> None:
        """Claim the lease of a shard, or renew it if the renewal is due.

        An error of the log client is passed on, and the lease then stays as it was.
        """
        lease = self._lease_by_shard.get(shard)
        now = self._node.clock.now()
        covers_numbers = self._covers_seen_numbers()
        if lease is not None and now < lease.renew_at and now < lease.until and covers_numbers:
            return
        if lease is not None and now < lease.until and covers_numbers:
            await self._renew(shard, lease)
            return
        # An ended lease is kept, so that reading the log detects whether another holder followed.
        await self._claim(shard)

    async def give_up(self, shard: str) -> None:
        """End the lease of a shard now and record that, so that the next owner need not wait."""
        lease = self._lease_by_shard.pop(shard, None)
        if lease is not None and self._node.clock.now() < lease.until:
            await self._append(shard, lease.number, 0.0)

    async def acquire_load_permit(self, engine: str, data_centre: str) -> bool:
        """Request a permit to load weights into an engine; return whether it is held."""
        identity = self._node.identity
        if self._has_permit(engine):
            return True
        if not self._may_get_permit(engine, data_centre):
            await self._stream.catch_up()
            if not self._may_get_permit(engine, data_centre):
                return False
        self._sequence += 1
        await self._stream.append(
            LoadPermit(
                engine,
                data_centre,
                identity.vm,
                identity.incarnation,
                self._sequence,
                self._section.load_timeout,
            )
        )
        return self._has_permit(engine)

    async def release_load_permit(self, engine: str, data_centre: str) -> None:
        """Release the load permit for an engine, if this process holds it."""
        identity = self._node.identity
        if self._has_permit(engine):
            self._sequence += 1
            await self._stream.append(
                LoadPermit(
                    engine, data_centre, identity.vm, identity.incarnation, self._sequence, 0.0
                )
            )

    def is_loading_for_another(self, engine: str) -> bool:
        """Return whether another process holds the load permit for an engine."""
        is_held = self._fold.is_permitted(engine, self._node.clock.now())
        return is_held and not self._has_permit(engine)

    def role_of(self, engine: str) -> int | None:
        """Return the desired role of an engine on the log, or ``None`` if there is none."""
        return self._fold.role_by_engine.get(engine)

    async def record_role(self, shard: str, engine: str, role: int) -> None:
        """Append the desired role of an engine to the log, if the shard's lease is held."""
        number = self.number_for(shard, checks_fencing=True)
        if number == 0:
            return
        identity = self._node.identity
        self._sequence += 1
        await self._stream.append(
            RoleRecord(
                shard, engine, role, number, identity.vm, identity.incarnation, self._sequence
            )
        )

    def _may_get_permit(self, engine: str, data_centre: str) -> bool:
        now = self._node.clock.now()
        return self._fold.is_permitted(engine, now) or self._fold.has_free_permit(data_centre, now)

    def _has_permit(self, engine: str) -> bool:
        identity = self._node.identity
        now = self._node.clock.now()
        return self._fold.has_permit(engine, identity.vm, identity.incarnation, now)

    async def _claim(self, shard: str) -> None:
        await self._stream.catch_up()
        earlier = self._fold.holder_of(shard)
        if earlier is not None and not self._may_replace(shard, earlier):
            return
        if not self._covers_seen_numbers():
            self._wait_for_unknown_holders()
        before = self._node.clock.now()
        await self._append(shard, 0, self._section.lease)
        identity = self._node.identity
        holder = self._fold.holder_of(shard)
        own = (identity.vm, identity.incarnation)
        if holder is None or (holder.vm, holder.incarnation) != own:
            return
        others_end = self._fold.orders_end(
            shard,
            identity.vm,
            identity.incarnation,
            self._section.longest_pause,
            self._section.order_timeout,
        )
        unfenced_from = max(others_end, self._unknown_holders_until)
        self._lease_by_shard[shard] = self._lease_from(before, holder.number, unfenced_from)

    def _may_replace(self, shard: str, earlier: ShardHolder) -> bool:
        """Return whether this process may claim a shard that has a holder.

        A process that lost the shard to a later claim waits for that lease to end. Otherwise two
        VMs that both consider themselves owner would take the shard from each other in turn.
        """
        is_superseder = self._superseded_by.get(shard) == earlier.number
        return not is_superseder or earlier.until <= self._node.clock.now()

    async def _renew(self, shard: str, lease: Lease) -> None:
        before = self._node.clock.now()
        await self._append(shard, lease.number, self._section.lease)
        if not self._holds(shard, lease.number):
            return
        self._lease_by_shard[shard] = self._lease_from(before, lease.number, lease.unfenced_from)

    def _lease_from(self, before: float, number: int, unfenced_from: float) -> Lease:
        lease = self._section.lease
        renew_at = before + lease * self._section.renew_share
        return Lease(number, before + lease, unfenced_from, renew_at)

    async def _append(self, shard: str, renews: int, lease: float) -> None:
        identity = self._node.identity
        self._sequence += 1
        above = self._fold.above if self._covers_seen_numbers() else self._highest_number
        await self._stream.append(
            ShardClaim(
                shard, identity.vm, identity.incarnation, self._sequence, renews, lease, above
            )
        )

    def _covers_seen_numbers(self) -> bool:
        """Return whether the log read so far can contain all fencing numbers seen.

        It cannot after the log has been reset. New numbers then continue above those seen.
        """
        return self._highest_number <= self._fold.above + self._stream.next_offset

    def _wait_for_unknown_holders(self) -> None:
        """Delay orders to engines that ignore fencing numbers after the log has been reset.

        Former holders, whose claims were lost with the old log, may still send orders.
        The delay is the sum of a lease, the longest pause of a process and the order timeout.
        """
        section = self._section
        longest = section.lease + section.longest_pause + section.order_timeout
        if self._unknown_holders_until <= self._node.clock.now():
            self._unknown_holders_until = self._node.clock.now() + longest

    def _holds(self, shard: str, number: int) -> bool:
        holder = self._fold.holder_of(shard)
        return holder is not None and holder.number == number

    def _restart(self) -> None:
        """Drop the claims of a log that has been reset, but keep the highest number given out."""
        self.record_number(self._fold.above + self._stream.next_offset)
        self._wait_for_unknown_holders()
        self._fold = ClaimFold(self._section.loads_at_once)
        self._lease_by_shard.clear()

    def _apply(self, offset: int, message: Any, age: float) -> None:
        appended_at = self._node.clock.now() - age
        if isinstance(message, ShardClaim):
            self._fold.apply_claim(offset, message, appended_at)
            self._drop_if_superseded(message.shard)
        elif isinstance(message, LoadPermit):
            self._fold.apply_permit(message, appended_at)
        elif isinstance(message, RoleRecord):
            self._fold.apply_role(message)

    def _drop_if_superseded(self, shard: str) -> None:
        lease = self._lease_by_shard.get(shard)
        holder = self._fold.holder_of(shard)
        if lease is not None and holder is not None and holder.number != lease.number:
            del self._lease_by_shard[shard]
            self._superseded_by[shard] = holder.number
            self._node.timeline.record("lease-lost", detail=f"{shard} to {holder.vm}")
