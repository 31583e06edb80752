"""Mechanisms for the ends of streams and stops, and the tests that have to fail without them."""

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch

__all__ = ["STREAM_SWITCHES"]

_ENDS = "pimentoquay/gateway/tests/test_stream_ends.py::"
_ERRORS = "pimentoquay/gateway/tests/test_errors_in_streams.py::"

STREAM_SWITCHES = (
    Switch(
        "lines of another response end a run",
        "pimentoquay.gateway.events:StreamEvent.has_foreign_lines",
        lambda original: property(lambda self: False),
        _ERRORS + "test_an_error_inside_a_stream_that_may_not_be_resumed_ends_it_as_broken[text]",
    ),
    Switch(
        "end of a stream confirmed by two engines",
        "pimentoquay.gateway.streams:is_end_confirmed",
        return_constant(True),
        _ENDS + "test_a_stream_that_goes_on_is_not_ended_by_an_engine_that_sends_no_event",
    ),
)
"""Mechanisms of the gateway for streams that break off and for planned stops."""
