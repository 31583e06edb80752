"""Bursts of two priorities, and a workspace far over its usual load, at 7 gateways in full mesh."""

import pytest

from pimentoquay.policy.tests.mesh_loads import MeshLoad
from pimentoquay.policy.tests.priority_loads import Outcome
from pimentoquay.policy.tests.test_priority_loads import (
    ENGINES,
    sixteen_workspaces,
    two_priorities,
)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_higher_priority_is_served_as_if_alone_in_a_full_mesh(seed):
    """By arrival alone, it got 0.49 and 0.60 of what it gets alone."""
    high, low = two_priorities(seed, 0.8)
    alone = MeshLoad(high, ENGINES).run()[0, ""]
    outcomes = MeshLoad(high + low, ENGINES).run()
    paid, unpaid = outcomes[0, ""], outcomes[2, ""]
    assert paid.served >= 0.95 * alone.served
    assert unpaid.served >= 0.5 * unpaid.sent


def large_and_others(seed, is_told=True):
    outcomes = MeshLoad(sixteen_workspaces(seed, 0.9, 7), ENGINES, is_told=is_told).run()
    large = outcomes.pop((0, "w0"))
    return large, sum(outcomes.values(), Outcome())


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_workspace_takes_less_from_the_others_in_a_full_mesh(seed):
    """Gateways see their own streams only, and gave the large one as much as it asked for."""
    large, others = large_and_others(seed)
    _, before = large_and_others(seed, is_told=False)
    assert others.served >= 1.04 * before.served
    assert large.served / large.sent >= 0.25 * others.served / others.sent


@pytest.mark.parametrize("seed", [1, 2])
def test_a_large_workspace_takes_nothing_from_the_others_in_a_full_mesh(seed):
    quiet = MeshLoad(sixteen_workspaces(seed, 0.9, 1), ENGINES).run()
    del quiet[0, "w0"]
    _, others = large_and_others(seed)
    served_quiet = sum(each.served for each in quiet.values())
    assert others.served >= 0.95 * served_quiet
