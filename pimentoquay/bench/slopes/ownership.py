"""Cost of computing shards and their owners from the membership list."""

from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call
from pimentoquay.kernel import plugin
from pimentoquay.membership import owner_of, shards_of
from pimentoquay.messages.cluster import Member, MemberKind, MemberState

__all__ = ["ownership_slopes"]

VMS_PER_DATA_CENTRE = 29
ENGINE_COUNTS = (156, 2800)
"""Numbers of engines for which the division into shards is measured."""

MODELS = 11


def make_engine_members(count: int, data_centres: int = 18) -> tuple[Member, ...]:
    """Return ``count`` engines as members, spread evenly over models and data centres."""
    return tuple(
        Member(
            f"engine-{index}",
            MemberKind.ENGINE,
            MemberState.LIVE,
            "region",
            f"dc-{index % data_centres}",
            f"10.0.{index // 250}.{index % 250}:8000",
            f"model-{index % MODELS}",
            True,
        )
        for index in range(count)
    )


@plugin("slope", "ownership")
def ownership_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the look-up of one owner and the division of all engines into shards."""
    vms = tuple(f"vm-{index}" for index in range(VMS_PER_DATA_CENTRE))
    owner = time_per_call(lambda: owner_of("diag-llm@arima-hall#0", vms), 500, repeats)
    slopes = [slope_of(f"owner among {VMS_PER_DATA_CENTRE} VMs", "µs", "shard", owner)]
    for count in ENGINE_COUNTS:
        members = make_engine_members(count)
        values = time_per_call(lambda members=members: shards_of(members), 3, repeats)
        slopes.append(
            slope_of(
                f"division into shards, {count} engines",
                "µs",
                "engine",
                [value / count for value in values],
            )
        )
    return tuple(slopes)
