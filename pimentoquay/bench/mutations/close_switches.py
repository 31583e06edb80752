"""Mechanisms by which no request is lost beside a close, and the tests that fail without them."""

from typing import Any

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["CLOSE_SWITCHES"]

_CLOSES = "pimentoquay/http1/tests/test_requests_beside_a_close.py::"


def look_at_what_was_read(original: Any) -> Any:
    """Take what has arrived, but was not read, for nothing."""
    return lambda transport: 0


def read_on(original: Any) -> Any:
    """Read what arrives on an idle connection that was closed."""

    def close_idle(connection: Any) -> None:
        original(connection)
        connection._reads_no_more = False
        connection._update_reading()

    return close_idle


CLOSE_SWITCHES = (
    Switch(
        "a request that has arrived keeps its connection open",
        "pimentoquay.http1.caller_timeouts:unread_bytes",
        look_at_what_was_read,
        _CLOSES + "test_a_request_that_has_arrived_is_answered_though_the_idle_time_is_over",
    ),
    Switch(
        "nothing is read on an idle connection that was closed",
        "pimentoquay.http1.caller_timeouts:CallerTimeouts._close_idle",
        read_on,
        _CLOSES + "test_a_request_that_crosses_the_close_of_an_idle_connection_is_not_read[True]",
    ),
)
