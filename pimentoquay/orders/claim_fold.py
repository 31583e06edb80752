"""The fold of a region's claims: who may order a shard, who may load weights, wanted roles.

The last claim of a shard in the order of the log holds it. A renewal counts only for the holder
that it names, so that a deposed holder's renewal, late or unaware, takes nothing back. Places for
loading weights go to the first who ask while any is free.
"""

from dataclasses import dataclass, replace

from pimentoquay.messages.orders import LoadPermit, RoleRecord, ShardClaim

__all__ = ["ClaimFold", "ShardHolder"]


@dataclass(frozen=True)
class ShardHolder:
    """The holder of a shard; ``number`` is its fencing number, ``until`` when its lease ends."""

    vm: str
    incarnation: int
    number: int
    until: float


@dataclass(frozen=True)
class _Term:
    until: float
    is_given_up: bool


@dataclass(frozen=True)
class _Permit:
    data_centre: str
    vm: str
    incarnation: int
    until: float


class ClaimFold:
    """Holders and permits by the records folded so far.

    ``above`` is the number that fencing numbers on this log are counted from.

    Parameters
    ----------
    places
        Engines of a data centre that may load weights at once.
    """

    def __init__(self, places: int) -> None:
        self.above = 0
        self._places = places
        self._holder_by_shard: dict[str, ShardHolder] = {}
        self._terms_by_shard: dict[str, dict[tuple[str, int], _Term]] = {}
        self._permit_by_engine: dict[str, _Permit] = {}
        self.role_by_engine: dict[str, int] = {}

    def holder_of(self, shard: str) -> ShardHolder | None:
        """Return the last holder of a shard, also when its lease has ended."""
        return self._holder_by_shard.get(shard)

    def orders_end(
        self, shard: str, vm: str, incarnation: int, longest_pause: float, order_timeout: float
    ) -> float:
        """Return when the last order of any holder but the given one must have taken effect.

        A holder may have been paused between looking at its lease and sending, unless it gave
        the lease up itself.
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
        """Tell whether a VM holds a place for loading weights into an engine."""
        permit = self._permit_by_engine.get(engine)
        return (
            permit is not None
            and (permit.vm, permit.incarnation) == (vm, incarnation)
            and permit.until > now
        )

    def has_free_place(self, data_centre: str, now: float) -> bool:
        """Tell whether a place for loading weights is free in a data centre."""
        return self._taken(data_centre, now) < self._places

    def apply_claim(self, offset: int, claim: ShardClaim, appended_at: float) -> None:
        """Fold a claim or a renewal."""
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
        """Fold a request for a place, or its return; beyond the places it is without effect."""
        held = self._permit_by_engine.get(permit.engine)
        is_own = held is not None and (held.vm, held.incarnation) == (
            permit.vm,
            permit.incarnation,
        )
        if permit.lifetime <= 0:
            if is_own:
                del self._permit_by_engine[permit.engine]
            return
        is_taken = held is not None and held.until > appended_at and not is_own
        if not is_taken and (is_own or self._taken(permit.data_centre, appended_at) < self._places):
            self._permit_by_engine[permit.engine] = _Permit(
                permit.data_centre,
                permit.vm,
                permit.incarnation,
                appended_at + permit.lifetime,
            )

    def apply_role(self, record: RoleRecord) -> None:
        """Fold the wanted role of an engine; a deposed holder's is without effect."""
        holder = self._holder_by_shard.get(record.shard)
        if holder is not None and holder.number == record.number:
            self.role_by_engine[record.engine] = record.role

    def _taken(self, data_centre: str, now: float) -> int:
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
