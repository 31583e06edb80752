"""A pytest plug-in that switches one mechanism off before any test runs.

The mechanism's name is in the environment variable ``PIMENTOQUAY_SWITCHED_OFF``; without it
nothing is changed.
"""

import os

from pimentoquay.bench.mutations.switches import switch_of

__all__ = ["VARIABLE"]

VARIABLE = "PIMENTOQUAY_SWITCHED_OFF"


def pytest_configure(config):
    """Switch the named mechanism off."""
    name = os.environ.get(VARIABLE)
    if name:
        switch_of(name).turn_off()
