"""Mechanisms of planned stops of gateways, and the tests that have to fail without them."""

from typing import Any

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["STOP_SWITCHES"]

_BUFFERS = "pimentoquay/http1/tests/test_system_buffers.py::"


def ignore_what_was_read(original: Any) -> Any:
    """Announce the end of a connection with each answer."""
    return property(lambda self: False)


def count_own_buffer(original: Any) -> Any:
    """Take for sent what the system has taken."""
    return lambda transport: transport.get_write_buffer_size()


def close_at_once(original: Any) -> Any:
    """Close a connection whatever the system holds."""
    return lambda transport, expires_at: transport.close()


STOP_SWITCHES = (
    Switch(
        "requests that were sent ahead are answered in a planned stop",
        "pimentoquay.http1.server_connection:ServerConnection.has_read_ahead",
        ignore_what_was_read,
        "pimentoquay/gateway/tests/test_sent_ahead.py::"
        "test_a_request_that_was_sent_ahead_is_answered_in_a_planned_stop[/order/a]",
    ),
    Switch(
        "a planned stop waits for what the system has not delivered",
        "pimentoquay.http1.server_connection:unsent_bytes",
        count_own_buffer,
        _BUFFERS + "test_an_answer_in_the_systems_buffers_is_in_progress",
    ),
    Switch(
        "connections are closed when their answers are delivered",
        "pimentoquay.http1.server_connection:close_when_sent",
        close_at_once,
        _BUFFERS + "test_a_connection_is_not_closed_while_the_system_holds_its_answer",
    ),
)
