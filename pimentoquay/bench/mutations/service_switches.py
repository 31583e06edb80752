"""Mechanisms for the order of waiting streams, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["SERVICE_SWITCHES"]

_ORDER = "pimentoquay/policy/tests/test_service_order.py::"
_LOADS = "pimentoquay/policy/tests/test_priority_loads.py::"
_GATEWAY = "pimentoquay/gateway/tests/test_stream_priorities.py::"

SERVICE_SWITCHES = (
    Switch(
        "streams by priority",
        "pimentoquay.policy.service_order:ServiceOrder.is_mixed",
        return_constant(False),
        _ORDER + "test_streams_are_served_by_priority_and_then_by_time_and_arrival",
    ),
    Switch(
        "streams that have begun before all priorities",
        "pimentoquay.policy.service_order:_BEGUN",
        lambda original: 100,
        _ORDER + "test_a_stream_that_has_begun_comes_before_a_higher_priority",
    ),
    Switch(
        "guaranteed share of lower priorities",
        "pimentoquay.policy.service_order:ServiceOrder.promoted",
        return_constant(None),
        _ORDER + "test_a_lower_priority_gets_its_share_while_higher_ones_could_use_all",
    ),
    Switch(
        "fair shares of workspaces",
        "pimentoquay.policy.service_order:ServiceOrder._excess",
        return_constant(0.0),
        _LOADS + "test_a_workspace_at_seven_times_its_usual_load_takes_nothing_from_the_others"
        "[0.9-2-none]",
    ),
    Switch(
        "streams that others have displaced are refused",
        "pimentoquay.policy.pool_placement:PoolPlacement.displace",
        return_constant([]),
        _ORDER + "test_the_lowest_priority_is_refused_first_and_told_when_to_come_back",
    ),
    Switch(
        "lower priorities held at a new coordinator",
        "pimentoquay.policy.pool_placement:PoolPlacement.hold_lower",
        return_constant(None),
        _ORDER + "test_a_new_coordinator_places_lower_priorities_once_the_others_are_known",
    ),
    Switch(
        "priority of a stream told to its coordinator",
        "pimentoquay.gateway.pool_client:class_message",
        return_constant(None),
        _GATEWAY + "test_a_coordinator_is_told_the_priority_of_a_stream[routes0]",
    ),
    Switch(
        "urgency of a stream told to engines",
        "pimentoquay.gateway.shared_state:urgency_of",
        return_constant(None),
        _GATEWAY + "test_engines_are_told_priorities_and_which_streams_have_begun",
    ),
)
"""Mechanisms for the order of waiting streams."""
