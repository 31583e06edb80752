"""Comparison of placement policies under virtual time, on the same seeds in one run.

The stand-in engines, the scheduler and the entry are the real code; only the network is in
memory and the clock is virtual. ``naive`` is kept as the baseline that every policy is measured
against.
"""

from pimentoquay.bench.compare.deployment import BRAILLE, PRINT, Deployment
from pimentoquay.bench.compare.measures import Measures
from pimentoquay.bench.compare.scenarios import SCENARIOS, Scenario
from pimentoquay.bench.compare.variants import VARIANTS, Variant
from pimentoquay.bench.compare.world import run_scenario

__all__ = [
    "BRAILLE",
    "PRINT",
    "SCENARIOS",
    "VARIANTS",
    "Deployment",
    "Measures",
    "Scenario",
    "Variant",
    "run_scenario",
]
