"""Bursts of 2.2 times the capacity of two priorities, and a workspace far over its usual load."""

import pytest

from pimentoquay.policy.service_order import GUARANTEED_SHARE
from pimentoquay.policy.tests.priority_loads import (
    CAPACITY_PER_ENGINE,
    Outcome,
    PoolLoad,
    arrivals,
    burst,
)

ENGINES = 8
CAPACITY = ENGINES * CAPACITY_PER_ENGINE
SECONDS = 20
FAULTS = {"none": (), "killed": (("kill", 12.0),), "suspended": (("suspend", 11.5),)}
"""Failures of the coordinator in the middle of the burst, which lasts from 10 to 15 s."""


def two_priorities(seed, high_share):
    """Return what callers of both priorities send; in bursts 2.2 times the capacity together."""
    low_share = 2.2 - high_share
    high = arrivals(seed, burst(0.4 * high_share * CAPACITY, high_share * CAPACITY), SECONDS, 0)
    low = arrivals(seed, burst(0.4 * low_share * CAPACITY, low_share * CAPACITY), SECONDS, 2)
    return high, low


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("high_share", [0.8, 1.2])
def test_a_higher_priority_is_served_as_if_alone_and_the_lower_one_does_not_starve(
    high_share, fault
):
    """By arrival alone, paid streams waited behind unpaid ones, which have more time."""
    alone, paid, unpaid = Outcome(), Outcome(), Outcome()
    for seed in range(1, 5):
        high, low = two_priorities(seed, high_share)
        alone += PoolLoad(high, ENGINES, FAULTS[fault]).run()[0, ""]
        outcomes = PoolLoad(high + low, ENGINES, FAULTS[fault]).run()
        paid, unpaid = paid + outcomes[0, ""], unpaid + outcomes[2, ""]
    assert paid.served >= 0.95 * alone.served
    if high_share < 1:
        assert paid.in_time >= 0.95 * alone.in_time
    assert unpaid.served >= 0.5 * unpaid.sent
    assert unpaid.refused_at_once >= 0.6 * unpaid.refused
    assert all(0 < each <= 4.0 for each in unpaid.retry_after)


def test_a_lower_priority_is_served_during_a_burst_in_which_the_higher_one_needs_all():
    """A strict order alone left the lower one nothing until the burst was over."""
    high = arrivals(3, lambda now: 1.5 * CAPACITY, SECONDS, 0)
    low = arrivals(3, lambda now: 0.7 * CAPACITY, SECONDS, 2)
    load = PoolLoad(high + low, ENGINES)
    load.run()
    granted = [each for each in load.order if len(each) == 2 and 5.0 < each[0] < SECONDS]
    tokens = {
        priority: sum(each[1].tokens for each in granted if each[1].priority == priority)
        for priority in (0, 2)
    }
    assert tokens[2] / sum(tokens.values()) >= 0.75 * GUARANTEED_SHARE


def sixteen_workspaces(seed, usual, factor):
    """Return the load of 16 workspaces; the first sends ``factor`` times its usual one."""
    requests = []
    for number in range(16):
        rate = usual * CAPACITY / 16 * (factor if number == 0 else 1)
        requests += arrivals(seed, lambda now, rate=rate: rate, SECONDS, 0, f"w{number}")
    return requests


@pytest.mark.parametrize("fault", ["none", "killed"])
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("usual", [0.8, 0.9])
def test_a_workspace_at_seven_times_its_usual_load_takes_nothing_from_the_others(
    usual, seed, fault
):
    quiet = PoolLoad(sixteen_workspaces(seed, usual, 1), ENGINES, FAULTS[fault]).run()
    outcomes = PoolLoad(sixteen_workspaces(seed, usual, 7), ENGINES, FAULTS[fault]).run()
    large = outcomes.pop((0, "w0"))
    del quiet[0, "w0"]
    served, served_quiet = (sum(x.served for x in each.values()) for each in (outcomes, quiet))
    in_time, in_time_quiet = (sum(x.in_time for x in each.values()) for each in (outcomes, quiet))
    assert served >= 0.95 * served_quiet
    if fault == "none":
        assert in_time >= 0.95 * in_time_quiet
    sent = large.sent + sum(each.sent for each in outcomes.values())
    assert large.served / large.sent >= 0.25 * (large.served + served) / sent
    assert large.refused_at_once >= 0.5 * large.refused
