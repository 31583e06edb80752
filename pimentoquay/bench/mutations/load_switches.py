"""Mechanisms for hard load that can be switched off, and the tests that have to fail then."""

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["LOAD_SWITCHES"]

_STAGES = "pimentoquay/gateway/tests/test_stage_controller.py::"

LOAD_SWITCHES = (
    Switch(
        "stages kept until requests are observed",
        "pimentoquay.policy.stage_plan:StageDemand.is_observed",
        lambda original: property(lambda self: True),
        _STAGES + "test_no_engine_is_ordered_before_requests_are_observed",
    ),
)
"""Mechanisms that decide what waits, and where work goes."""
