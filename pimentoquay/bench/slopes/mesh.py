"""Slope of the mesh between data centres: what one more data centre costs a whole other one.

It is counted on a network in memory under virtual time, between clusters that differ only in their
number of data centres, each of the same number of VMs.
"""

from pimentoquay.bench.membership_cost import measure_membership
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["mesh_slopes"]

VMS = 6
"""VMs of each data centre."""

FEW, MANY = 3, 6
"""Data centres of the two clusters that are compared."""

ENGINES = 100


@plugin("slope", "mesh")
def mesh_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what all VMs of a data centre send for one more data centre; a count."""
    few = measure_membership(VMS * FEW, ENGINES, FEW)
    many = measure_membership(VMS * MANY, ENGINES, MANY)
    sent = (many.steady_bytes - few.steady_bytes) * VMS / (MANY - FEW)
    name = "membership sent by a whole data centre"
    return (slope_of(name, "B/s", "other data centre", [sent]),)
