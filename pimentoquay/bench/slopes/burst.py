"""Slopes of a burst of changes in one data centre of the size designed for, by virtual time."""

from pimentoquay.bench.configuration_relay import measure_burst
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["burst_slopes"]

VMS = 29
CHANGES = 500
SECONDS = 60.0


@plugin("slope", "burst")
def burst_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure what the relay of a burst costs each VM; counts, so without spread."""
    cost = measure_burst(VMS, CHANGES, SECONDS)
    per = "burst of 500 changes in a minute"
    return (
        slope_of("sent by the VM that sends most", "B/s", per, [cost.highest_sent]),
        slope_of("received by the VM that receives most", "B/s", per, [cost.highest_received]),
        slope_of("longest time until in force", "s", per, [cost.latest]),
    )
