"""Mechanisms by which no engine that leaves is used, and the tests that fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["LEAVING_SWITCHES"]

_LOST = "pimentoquay/gateway/tests/test_lost_removals.py::"
_KEYS = "pimentoquay/policy/tests/test_listed_keys.py::"

LEAVING_SWITCHES = (
    Switch(
        "peers are told of engines that a complete list lacks",
        "pimentoquay.gateway.fleet:Fleet.removals_since",
        return_constant(()),
        _LOST + "test_a_gateway_that_was_cut_off_is_told_what_has_left_meanwhile",
    ),
    Switch(
        "records older than a complete list are not taken over",
        "pimentoquay.policy.listed_keys:ListedKeys.is_removed_since",
        return_constant(False),
        _KEYS + "test_no_engine_that_has_left_stays_listed_while_readers_start_again[2]",
    ),
)
"""Mechanisms for engines that leave."""
