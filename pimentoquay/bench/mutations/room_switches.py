"""Mechanisms that bound what connections hold, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["ROOM_SWITCHES"]

_BUDGET = "pimentoquay.policy.byte_budget:ByteBudget."
_LOADS = "pimentoquay/policy/tests/test_byte_budget.py::"
_ROOM = "pimentoquay/http1/tests/test_room.py::"

ROOM_SWITCHES = (
    Switch(
        "large bodies need room",
        _BUDGET + "_has_room",
        return_constant(True),
        _LOADS + "test_bodies_that_never_end_stay_within_the_budget_and_end_for_each_other[40]",
    ),
    Switch(
        "bodies that stall end for others",
        _BUDGET + "_stalled",
        return_constant(()),
        _ROOM + "test_a_body_that_stalls_ends_for_one_that_waits",
    ),
    Switch(
        "idle connections end for new ones",
        _BUDGET + "_find_idle",
        return_constant(None),
        _ROOM + "test_the_most_idle_connection_is_closed_for_a_new_one",
    ),
    Switch(
        "connections that may be held are limited",
        "pimentoquay.http1.caller_reading:CallerReading._open_account",
        return_constant(None),
        _ROOM + "test_a_new_connection_is_refused_if_all_others_have_requests",
    ),
    Switch(
        "requests are refused by their head",
        "pimentoquay.http1.server_connection:ServerConnection._await_body",
        return_constant(None),
        "pimentoquay/http1/tests/test_refused_heads.py::"
        "test_a_refused_body_without_end_is_not_read",
    ),
)
