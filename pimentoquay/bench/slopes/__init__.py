"""Slopes: what one more message, channel, token, engine or workspace costs.

Groups register themselves as ``slope`` plug-ins; ``docs/CAPACITY.md`` is reckoned from them.
"""

from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call

__all__ = ["Slope", "slope_of", "time_per_call"]
