"""Membership traffic that one more data centre adds to each of the others.

The traffic is counted on an in-memory network under virtual time. Two clusters are compared that
differ in their number of data centres only; each data centre has the same number of VMs.
"""

from pimentoquay.bench.membership_cost import measure_membership
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["mesh_slopes"]

VMS_PER_DATA_CENTRE = 6
"""Number of VMs in each data centre."""

FEW_DATA_CENTRES, MANY_DATA_CENTRES = 3, 6
"""Numbers of data centres of the two clusters that are compared."""

ENGINES = 100


@plugin("slope", "mesh")
def mesh_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what all VMs of a data centre together send for one more data centre.

    The bytes are counted in a deterministic simulation, so there is one sample.
    """
    cost_of_few = measure_membership(
        VMS_PER_DATA_CENTRE * FEW_DATA_CENTRES, ENGINES, FEW_DATA_CENTRES
    )
    cost_of_many = measure_membership(
        VMS_PER_DATA_CENTRE * MANY_DATA_CENTRES, ENGINES, MANY_DATA_CENTRES
    )
    sent = (
        (cost_of_many.steady_bytes - cost_of_few.steady_bytes)
        * VMS_PER_DATA_CENTRE
        / (MANY_DATA_CENTRES - FEW_DATA_CENTRES)
    )
    name = "membership sent by a whole data centre"
    return (slope_of(name, "B/s", "other data centre", [sent]),)
