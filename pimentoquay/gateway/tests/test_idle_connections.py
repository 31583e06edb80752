"""Connections of callers that are idle beside changes of the configuration."""

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.tests.rig import configuration
from pimentoquay.gateway.wiring import idle_limits
from pimentoquay.platform.settings import Bounds

BOUNDS = Bounds(2.0, 3.0, 8.0, 3.0, 0.2, 10.0, 5000.0)


def test_a_smaller_limit_counts_when_all_callers_know_the_configuration_that_brought_it():
    now = [100.0]
    fleet = Fleet(lambda: now[0])
    limits = idle_limits(fleet, BOUNDS, lambda: now[0])
    assert fleet.apply_configuration(1, configuration(1))
    now[0] = 200.0
    assert fleet.apply_configuration(2, configuration(2, limits={"idleTimeoutMs": 2000}))
    assert limits.held(200.5, 202.9) == 30.0
    assert limits.held(200.5, 203.1) == 4.0
