"""Mechanisms by which no engine that leaves is used, and the tests that fail without them."""

from typing import Any

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["LEAVING_SWITCHES"]

_LOST = "pimentoquay/gateway/tests/test_lost_removals.py::"
_WAITS = "pimentoquay/gateway/tests/test_leaving_beside_waits.py::"
_GRACE = "pimentoquay/gateway/tests/test_outage_grace.py::"
_KEYS = "pimentoquay/policy/tests/test_listed_keys.py::"


def count_own_reads_only(original: Any) -> Any:
    """End an outage of the store with the next read of this gateway itself."""

    def record_peer_read(fleet: Any, age: float) -> None:
        fleet._peers_read_at = max(fleet._peers_read_at, fleet._now() - age)

    return record_peer_read


def postpone_all_removals(original: Any) -> Any:
    """Postpone the removals of all engines in the time after an outage."""
    return lambda engines, returned_at, before_position=None: original(engines, returned_at)


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
    Switch(
        "engines are looked at again after a wait",
        "pimentoquay.gateway.fleet:takes_work",
        return_constant(True),
        _WAITS + "test_a_stream_that_waits_for_its_prefill_is_not_sent_to_an_engine_that_leaves"
        "[drain]",
    ),
    Switch(
        "engines are looked at as a request is written",
        "pimentoquay.gateway.engine_link:EngineLink._check_accepting",
        return_constant(None),
        _WAITS + "test_a_call_that_waits_for_a_connection_is_not_sent_to_a_server_that_leaves"
        "[/order/a]",
    ),
    Switch(
        "prompts read for an engine that left are used at another",
        "pimentoquay.gateway.prefills:Prefill.is_kept",
        return_constant(False),
        _WAITS + "test_a_stream_that_waits_for_its_prefill_is_not_sent_to_an_engine_that_leaves"
        "[drain]",
    ),
    Switch(
        "an outage of the store ends with the first read of any gateway",
        "pimentoquay.gateway.fleet:Fleet.record_peer_read",
        count_own_reads_only,
        _GRACE + "test_a_gateway_that_takes_over_reading_long_after_an_outage_postpones_no_removal",
    ),
    Switch(
        "engines heard since an outage are removed at once",
        "pimentoquay.policy.engine_list:EngineList.start_relisting_grace",
        postpone_all_removals,
        "pimentoquay/policy/tests/test_store_outage.py::"
        "test_an_engine_that_has_written_since_the_outage_is_removed_at_once",
    ),
)
"""Mechanisms for engines that leave."""
