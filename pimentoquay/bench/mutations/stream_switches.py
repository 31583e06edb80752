"""Mechanisms for the ends of streams and stops, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.switch import Switch

__all__ = ["STREAM_SWITCHES"]

_ERRORS = "pimentoquay/gateway/tests/test_errors_in_streams.py::"

STREAM_SWITCHES = (
    Switch(
        "lines of another response end a run",
        "pimentoquay.gateway.events:StreamEvent.has_foreign_lines",
        lambda original: property(lambda self: False),
        _ERRORS + "test_an_error_inside_a_stream_that_may_not_be_resumed_ends_it_as_broken[text]",
    ),
)
"""Mechanisms of the gateway for streams that break off and for planned stops."""
