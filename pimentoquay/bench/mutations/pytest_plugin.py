"""Pytest plug-in that switches one mechanism off before any test runs.

The name of the mechanism is read from the environment variable ``PIMENTOQUAY_SWITCHED_OFF``. If it
is unset or empty, nothing is switched off.
"""

import os

from pimentoquay.bench.mutations.switches import switch_of

__all__ = ["ENVIRONMENT_VARIABLE"]

ENVIRONMENT_VARIABLE = "PIMENTOQUAY_SWITCHED_OFF"


def pytest_configure(config):
    """Switch the named mechanism off."""
    name = os.environ.get(ENVIRONMENT_VARIABLE)
    if name:
        switch_of(name).turn_off()
