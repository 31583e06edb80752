"""Slopes: measured costs of one more message, channel, token, engine or workspace.

Each module registers its slopes as a ``slope`` plug-in. The figures in ``docs/CAPACITY.md`` are
computed from them.
"""

from pimentoquay.bench.slopes.slope import Slope, slope_of, time_per_call

__all__ = ["Slope", "slope_of", "time_per_call"]
