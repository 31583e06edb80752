"""Cost of a burst of configuration changes in one data centre, simulated under virtual time."""

from pimentoquay.bench.configuration_relay import measure_burst
from pimentoquay.bench.slopes.slope import Slope, slope_of
from pimentoquay.kernel import plugin

__all__ = ["burst_slopes"]

VMS = 29
"""Number of VMs of a data centre in the design size."""

CHANGES = 500
BURST_SECONDS = 60.0
"""Time over which the changes are spread, in seconds."""


@plugin("slope", "burst")
def burst_slopes(repeats: int) -> tuple[Slope, ...]:
    """Measure the traffic that relaying a burst causes at the busiest VMs, and its delay.

    The simulation is deterministic, so each slope has one sample.
    """
    cost = measure_burst(VMS, CHANGES, BURST_SECONDS)
    per = "burst of 500 changes in a minute"
    return (
        slope_of("sent by the VM that sends most", "B/s", per, [cost.highest_sent]),
        slope_of("received by the VM that receives most", "B/s", per, [cost.highest_received]),
        slope_of("longest time until in force", "s", per, [cost.latest]),
    )
