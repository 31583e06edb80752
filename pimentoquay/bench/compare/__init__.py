"""Comparison of placement policies on the same seeded loads, under virtual time.

Entries and schedulers run their real code against stand-in engines; the network is in memory and
the clock is virtual. The ``naive`` policy is the baseline of every comparison.
"""

from pimentoquay.bench.compare.deployment import BRAILLE, PRINT, Deployment
from pimentoquay.bench.compare.measures import Measures
from pimentoquay.bench.compare.scenarios import SCENARIOS, Scenario
from pimentoquay.bench.compare.simulation import run_scenario
from pimentoquay.bench.compare.variants import VARIANTS, Variant

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
