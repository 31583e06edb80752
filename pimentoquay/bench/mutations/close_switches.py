"""Mechanisms by which no request is lost beside a close, and the tests that fail without them."""

from typing import Any

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["CLOSE_SWITCHES"]

_CLOSES = "pimentoquay/http1/tests/test_requests_beside_a_close.py::"
_DROPPED = "pimentoquay/http1/tests/test_requests_dropped_with_connections.py::"


def read_on(original: Any) -> Any:
    """Read what arrives on an idle connection that was closed."""

    def close_idle(connection: Any) -> None:
        original(connection)
        connection._reads_no_more = False
        connection._update_reading()

    return close_idle


def limit_in_force(original: Any) -> Any:
    """Close idle connections by the limit in force alone."""
    return lambda limits, idle_since, now: 2 * limits._seconds


CLOSE_SWITCHES = (
    Switch(
        "a request that has arrived keeps its connection open",
        "pimentoquay.http1.caller_timeouts:unread_bytes",
        return_constant(0),
        _CLOSES + "test_a_request_that_has_arrived_is_answered_though_the_idle_time_is_over",
    ),
    Switch(
        "nothing is read on an idle connection that was closed",
        "pimentoquay.http1.caller_timeouts:CallerTimeouts._close_idle",
        read_on,
        _CLOSES + "test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read[True]",
    ),
    Switch(
        "connections are closed by limits that callers may still know",
        "pimentoquay.policy.idle_limits:IdleLimits.held",
        limit_in_force,
        "pimentoquay/policy/tests/test_idle_limits.py::"
        "test_no_caller_that_goes_by_a_limit_in_force_lately_meets_a_close[0.3-0.0]",
    ),
    Switch(
        "a connection to an engine is used again only if nothing has arrived on it",
        "pimentoquay.http1.client_connection:is_quiet",
        return_constant(True),
        "pimentoquay/http1/tests/test_client.py::"
        "test_no_request_is_sent_on_a_connection_that_its_server_has_ended_or_written_to[end]",
    ),
    Switch(
        "a planned stop reads nothing after its end",
        "pimentoquay.http1.server:HttpServer.stop",
        return_constant(None),
        _CLOSES + "test_a_server_that_stops_refuses_what_it_reads",
    ),
    Switch(
        "a caller that still takes its answer is not idle",
        "pimentoquay.http1.caller_timeouts:CallerTimeouts._count_delivery",
        return_constant(None),
        _DROPPED + "test_a_caller_that_still_reads_its_answer_is_not_idle",
    ),
)
