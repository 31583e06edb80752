"""Mechanisms against entries of other writers, and the tests that have to fail without them."""

import sys
from typing import Any

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["ENTRY_SWITCHES"]

_LOADS = "pimentoquay/policy/tests/test_other_writers_loads.py::"
_ENTRIES = "pimentoquay/gateway/tests/test_entries_of_others.py::"


def never(original: Any) -> Any:
    """Return a number that is not reached."""
    return sys.maxsize


ENTRY_SWITCHES = (
    Switch(
        "entry whose service is not named displaces none",
        "pimentoquay.policy.engine_list:EngineList._is_named",
        return_constant(True),
        _LOADS + "test_an_entry_with_a_service_that_is_not_named_does_not_displace_an_engine",
    ),
    Switch(
        "engine that goes on after an entry of a later start",
        "pimentoquay.policy.heartbeat_runs:CONFIRMING_HEARTBEATS",
        never,
        _LOADS + "test_engines_are_listed_after_two_heartbeats_whatever_others_wrote[0]",
    ),
    Switch(
        "late heartbeats are within runs that are known",
        "pimentoquay.policy.heartbeat_runs:HeartbeatRuns._run_of",
        lambda original: lambda self, entry: None,
        _LOADS + "test_engines_are_listed_after_two_heartbeats_whatever_others_wrote[0]",
    ),
    Switch(
        "start in the future",
        "pimentoquay.policy.engine_list:MAX_CLOCK_SKEW_MS",
        never,
        _ENTRIES + "test_an_entry_that_names_no_engine_to_use_displaces_none[start in the future]",
    ),
    Switch(
        "record by which an engine is known to go on is told to peers",
        "pimentoquay.gateway.fleet:Fleet._confirming",
        return_constant(()),
        _ENTRIES + "test_an_engine_is_used_again_with_its_second_heartbeat_after_an_entry_of_its_"
        "form[later start]",
    ),
)
