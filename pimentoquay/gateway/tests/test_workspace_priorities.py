"""Priorities that only workspaces have, as engines and coordinators are told them."""

from types import SimpleNamespace
from typing import Any

from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.policy.fleet import RepeatRule, Route
from pimentoquay.policy.workspaces import Workspace


def test_priorities_of_workspaces_are_told_to_engines_and_hold_lower_ones():
    """Where all routes had one priority, engines were told no urgency of any workspace."""
    routes = (Route("r", "h", "/", RepeatRule.STREAM, 14.0, 1.0, (), rank=2),)
    table = SimpleNamespace(workspace_by_name={"paid": Workspace("paid", 0)})
    fleet: Any = SimpleNamespace(configuration=SimpleNamespace(routes=routes, workspaces=table))
    unused: Any = None
    shared = SharedState(
        unused, unused, unused, unused, fleet, unused, unused, unused, unused, unused
    )
    assert shared.stream_priorities == (0, 2)
    assert (shared.urgency_of(0, False), shared.urgency_of(2, False)) == (5, 6)
    fleet.configuration = SimpleNamespace(routes=routes, workspaces=None)
    assert shared.stream_priorities == (2,)
