"""Mechanisms against entries of other writers, and the tests that have to fail without them."""

import sys
from typing import Any

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["ENTRY_SWITCHES"]

_LOADS = "pimentoquay/policy/tests/test_other_writers_loads.py::"
_ENTRIES = "pimentoquay/gateway/tests/test_entries_of_others.py::"


def name_every_service(original: Any) -> Any:
    """Take each service for one of the configuration."""
    return lambda self, entry: True


def send_no_confirming_record(original: Any) -> Any:
    """Send the peers the newest record only."""
    return lambda self, engine: ()


def never(original: Any) -> Any:
    """Return a number that is not reached."""
    return sys.maxsize


ENTRY_SWITCHES = (
    Switch(
        "entry whose service is not named displaces none",
        "pimentoquay.policy.engine_list:EngineList._is_named",
        name_every_service,
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
        "pimentoquay.gateway.fleet:MAX_CLOCK_SKEW_MS",
        never,
        _ENTRIES + "test_an_entry_that_names_no_engine_to_use_displaces_none[start in the future]",
    ),
    Switch(
        "record by which an engine is known to go on is told to peers",
        "pimentoquay.gateway.fleet:Fleet._confirming",
        send_no_confirming_record,
        _ENTRIES + "test_an_engine_is_used_again_with_its_second_heartbeat_after_an_entry_of_its_"
        "form[later start]",
    ),
)
