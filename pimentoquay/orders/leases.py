"""Leases over the orders to shards' engines, claimed on the log, with fencing numbers.

A lease is counted from just before its record was appended, on this process's monotonic clock,
so it ends here no later than anybody else believes. ``number_for`` reads that clock, so a process
that was paused past the end of its lease learns so before it sends.
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

    One stream serves all shards of a region, so that an engine which moves from one shard to
    another, when its pool grows, sees growing fencing numbers.
    """
    return f"claims-{region}"


@dataclass(frozen=True)
class Lease:
    """A shard held by this process until ``until`` on its monotonic clock.

    Orders to engines that ignore fencing numbers wait until ``unfenced_from``, when an earlier
    holder can no longer have an order under way.
    """

    number: int
    until: float
    unfenced_from: float
    renew_at: float


class Leases:
    """The leases and load permits of this process.

    Parameters
    ----------
    node
        The control process.
    log
        The log service.
    section
        The orders part's settings.
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
        self._others_unknown_until = 0.0

    @property
    def shards(self) -> tuple[str, ...]:
        """The shards for which a lease was taken and not given up or lost."""
        return tuple(self._lease_by_shard)

    def lease_of(self, shard: str) -> Lease | None:
        """Return the last lease of a shard taken here, also when it has ended."""
        return self._lease_by_shard.get(shard)

    def holder_of(self, shard: str) -> ShardHolder | None:
        """Return who last claimed a shard by the log as far as it was read."""
        return self._fold.holder_of(shard)

    def number_for(self, shard: str, checks_fencing: bool) -> int:
        """Return the fencing number to order with right now, or 0 if no order may be sent."""
        lease = self._lease_by_shard.get(shard)
        now = self._node.clock.now()
        if lease is None or now >= lease.until:
            return 0
        if not checks_fencing and now < lease.unfenced_from:
            return 0
        return lease.number

    def note_number(self, number: int) -> None:
        """Note a fencing number that an engine has seen."""
        self._highest_number = max(self._highest_number, number)

    async def keep(self, shard: str) -> None:
        """Take the lease of a shard, or renew it when that is due.

        Raises what the log's client raises; the lease then stays as it was.
        """
        lease = self._lease_by_shard.get(shard)
        now = self._node.clock.now()
        is_explained = self._explains_numbers()
        if lease is not None and now < lease.renew_at and now < lease.until and is_explained:
            return
        if lease is not None and now < lease.until and is_explained:
            await self._renew(shard, lease)
            return
        # A lease that ended unnoticed stays known, so that reading the log shows who took it.
        await self._claim(shard)

    async def give_up(self, shard: str) -> None:
        """Stop ordering a shard at once and tell the next owner that it need not wait."""
        lease = self._lease_by_shard.pop(shard, None)
        if lease is not None and self._node.clock.now() < lease.until:
            await self._append(shard, lease.number, 0.0)

    async def permit_load(self, engine: str, data_centre: str) -> bool:
        """Ask for a place to load weights into an engine; return whether one was had."""
        identity = self._node.identity
        if self._has_permit(engine):
            return True
        if not self._has_room(engine, data_centre):
            await self._stream.catch_up()
            if not self._has_room(engine, data_centre):
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

    async def end_load(self, engine: str, data_centre: str) -> None:
        """Give back the place of an engine, if one is held."""
        identity = self._node.identity
        if self._has_permit(engine):
            self._sequence += 1
            await self._stream.append(
                LoadPermit(
                    engine, data_centre, identity.vm, identity.incarnation, self._sequence, 0.0
                )
            )

    def is_loading_for_another(self, engine: str) -> bool:
        """Tell whether another process holds the place of an engine that loads weights."""
        is_held = self._fold.is_permitted(engine, self._node.clock.now())
        return is_held and not self._has_permit(engine)

    def role_of(self, engine: str) -> int | None:
        """Return the role that an engine shall have by the log; ``None`` if it names none."""
        return self._fold.role_by_engine.get(engine)

    async def record_role(self, shard: str, engine: str, role: int) -> None:
        """Put on the log which role an engine shall have, if the shard's lease holds."""
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

    def _has_room(self, engine: str, data_centre: str) -> bool:
        now = self._node.clock.now()
        return self._fold.is_permitted(engine, now) or self._fold.has_free_place(data_centre, now)

    def _has_permit(self, engine: str) -> bool:
        identity = self._node.identity
        now = self._node.clock.now()
        return self._fold.has_permit(engine, identity.vm, identity.incarnation, now)

    async def _claim(self, shard: str) -> None:
        await self._stream.catch_up()
        earlier = self._fold.holder_of(shard)
        if earlier is not None and not self._may_replace(shard, earlier):
            return
        if not self._explains_numbers():
            self._note_lost_claims()
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
        unfenced_from = max(others_end, self._others_unknown_until)
        self._lease_by_shard[shard] = self._lease_from(before, holder.number, unfenced_from)

    def _may_replace(self, shard: str, earlier: ShardHolder) -> bool:
        """Tell whether to claim a shard from its last holder.

        Whoever lost a shard to a later claim waits for that lease to end, so that two VMs that
        each think they own it do not take it from each other in turn.
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
        above = self._fold.above if self._explains_numbers() else self._highest_number
        await self._stream.append(
            ShardClaim(
                shard, identity.vm, identity.incarnation, self._sequence, renews, lease, above
            )
        )

    def _explains_numbers(self) -> bool:
        """Tell whether the log read so far can have given out every number that was seen.

        It cannot after it has started anew. Numbers then go on above those seen.
        """
        return self._highest_number <= self._fold.above + self._stream.next_offset

    def _note_lost_claims(self) -> None:
        """Reckon with holders whose claims are no longer on the log."""
        section = self._section
        longest = section.lease + section.longest_pause + section.order_timeout
        if self._others_unknown_until <= self._node.clock.now():
            self._others_unknown_until = self._node.clock.now() + longest

    def _holds(self, shard: str, number: int) -> bool:
        holder = self._fold.holder_of(shard)
        return holder is not None and holder.number == number

    def _restart(self) -> None:
        """Forget the claims of a log that has started anew, but not the numbers given out."""
        self.note_number(self._fold.above + self._stream.next_offset)
        self._note_lost_claims()
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
