"""Mechanisms for hard load that can be switched off, and the tests that have to fail then."""

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["LOAD_SWITCHES"]

_STAGES = "pimentoquay/policy/tests/test_stage_plan.py::"


LOAD_SWITCHES = (
    Switch(
        "prefill engines kept until requests are observed",
        "pimentoquay.policy.stage_plan:StageDemand.is_observed",
        lambda original: property(lambda self: True),
        _STAGES + "test_large_pools_keep_their_division_before_requests_are_observed"
        "[63985-9-15]",
    ),
)
"""Mechanisms that decide what waits, and where work goes."""
