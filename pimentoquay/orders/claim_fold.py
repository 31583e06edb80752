"""Claims of a region, computed from its log stream: shard holders, load permits, engine roles.

The last claim of a shard in log order holds it. A renewal applies only to the holder that it names,
so a late renewal of a former holder does not take the shard back. Permits to load weights are given
in log order while any is free.
"""

from dataclasses import dataclass, replace

from pimentoquay.messages.orders import LoadPermit, RoleRecord, ShardClaim

__all__ = ["ClaimFold", "ShardHolder"]


@dataclass(frozen=True)
class ShardHolder:
    """Process that holds a shard.

    ``number`` is its fencing number, and ``until`` the end of its lease in seconds of the clock.
    """

    vm: str
    incarnation: int
    number: int
    until: float


@dataclass(frozen=True)
class _Term:
    """The last lease of a shard that one holder had, and whether that holder gave it up."""

    until: float
    is_given_up: bool


@dataclass(frozen=True)
class _Permit:
    """A permit of one process to load weights into an engine, valid until ``until``."""

    data_centre: str
    vm: str
    incarnation: int
    until: float


class ClaimFold:
    """Holders, permits and roles according to the log records applied so far.

    Times are in seconds of the local clock.

    Parameters
    ----------
    max_loads
        Maximum number of engines of a data centre that may load weights at the same time.

    Attributes
    ----------
    above
        Number that fencing numbers on this log are counted from: 0 on the first log, greater on a
        log that has been reset.
    role_by_engine
        Desired role of each engine, as the value of an ``EngineRole``.
    """

    def __init__(self, max_loads: int) -> None:
        self.above = 0
        self._max_loads = max_loads
        self._holder_by_shard: dict[str, ShardHolder] = {}
        self._terms_by_shard: dict[str, dict[tuple[str, int], _Term]] = {}
        self._permit_by_engine: dict[str, _Permit] = {}
        self.role_by_engine: dict[str, int] = {}

    def holder_of(self, shard: str) -> ShardHolder | None:
        """Return the last holder of a shard, even if its lease has ended, or ``None``."""
        return self._holder_by_shard.get(shard)

    def orders_end(
        self, shard: str, vm: str, incarnation: int, longest_pause: float, order_timeout: float
    ) -> float:
        """Return the time when all orders of other holders have taken effect or timed out.

        A holder may have been paused between the check of its lease and the send, so the longest
        pause is added to its lease unless it gave the lease up itself.

        Parameters
        ----------
        shard
            The shard that the orders are for.
        vm, incarnation
            The holder whose own orders are left out.
        longest_pause
            Longest pause of a process in seconds.
        order_timeout
            Timeout of an order in seconds.
        """
        terms = self._terms_by_shard.get(shard, {})
        return max(
            (
                term.until + order_timeout + (0.0 if term.is_given_up else longest_pause)
                for holder, term in terms.items()
                if holder != (vm, incarnation)
            ),
            default=0.0,
        )

    def has_permit(self, engine: str, vm: str, incarnation: int, now: float) -> bool:
        """Return whether the given process holds a permit to load weights into an engine."""
        permit = self._permit_by_engine.get(engine)
        return (
            permit is not None
            and (permit.vm, permit.incarnation) == (vm, incarnation)
            and permit.until > now
        )

    def is_permitted(self, engine: str, now: float) -> bool:
        """Return whether any process holds a permit to load weights into an engine."""
        permit = self._permit_by_engine.get(engine)
        return permit is not None and permit.until > now

    def has_free_permit(self, data_centre: str, now: float) -> bool:
        """Return whether a permit to load weights is free in a data centre."""
        return self._used_permits(data_centre, now) < self._max_loads

    def apply_claim(self, offset: int, claim: ShardClaim, appended_at: float) -> None:
        """Apply a claim or a renewal; a renewal by any but the holder has no effect."""
        self.above = max(self.above, claim.above)
        holder = self._holder_by_shard.get(claim.shard)
        until = appended_at + claim.lease
        if claim.renews == 0:
            self._holder_by_shard[claim.shard] = ShardHolder(
                claim.vm, claim.incarnation, self.above + offset + 1, until
            )
        elif holder is not None and _renews(claim, holder):
            self._holder_by_shard[claim.shard] = replace(holder, until=until)
        else:
            return
        terms = self._terms_by_shard.setdefault(claim.shard, {})
        terms[claim.vm, claim.incarnation] = _Term(until, claim.lease <= 0)

    def apply_permit(self, permit: LoadPermit, appended_at: float) -> None:
        """Apply a request for a load permit, or the release of one.

        A request has no effect while all permits of the data centre are in use. A permit that a
        previous holder of the shard has for the engine passes to the process that requests it.
        """
        held = self._permit_by_engine.get(permit.engine)
        is_own = held is not None and (held.vm, held.incarnation) == (
            permit.vm,
            permit.incarnation,
        )
        if permit.lifetime <= 0:
            if is_own:
                del self._permit_by_engine[permit.engine]
            return
        is_held = self.is_permitted(permit.engine, appended_at)
        if (
            is_held
            or is_own
            or self._used_permits(permit.data_centre, appended_at) < self._max_loads
        ):
            self._permit_by_engine[permit.engine] = _Permit(
                permit.data_centre,
                permit.vm,
                permit.incarnation,
                appended_at + permit.lifetime,
            )

    def apply_role(self, record: RoleRecord) -> None:
        """Apply the desired role of an engine; a record of a former holder has no effect."""
        holder = self._holder_by_shard.get(record.shard)
        if holder is not None and holder.number == record.number:
            self.role_by_engine[record.engine] = record.role

    def _used_permits(self, data_centre: str, now: float) -> int:
        return sum(
            permit.until > now and permit.data_centre == data_centre
            for permit in self._permit_by_engine.values()
        )


def _renews(claim: ShardClaim, holder: ShardHolder) -> bool:
    return (claim.vm, claim.incarnation, claim.renews) == (
        holder.vm,
        holder.incarnation,
        holder.number,
    )
