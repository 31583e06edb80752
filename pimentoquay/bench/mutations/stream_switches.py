"""Mechanisms for the ends of streams and stops, and the tests that have to fail without them."""

import math
from typing import Any

from pimentoquay.bench.mutations.replacements import do_nothing_async, return_constant
from pimentoquay.bench.mutations.stream_replacements import tell_expired_versions
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.policy.forwarding import Forwarding

__all__ = ["STREAM_SWITCHES"]

_ENDS = "pimentoquay/gateway/tests/test_stream_ends.py::"
_ERRORS = "pimentoquay/gateway/tests/test_errors_in_streams.py::"
_STARTS = "pimentoquay/gateway/tests/test_engine_starts.py::"
_STOP = "pimentoquay/gateway/tests/test_late_in_stop.py::"

_PLAIN = "pimentoquay/gateway/tests/test_plain_streams.py::"


def forward_as_calls(original: Any) -> Any:
    """Forward all requests as calls whose engines reserve no memory."""

    def forwarding(route: Any, service: Any, names_model: bool) -> Forwarding:
        found = original(route, service, names_model)
        return Forwarding.CALL if found is Forwarding.PLAIN_STREAM else found

    return forwarding


STREAM_SWITCHES = (
    Switch(
        "streams of plain services read event by event",
        "pimentoquay.gateway.dispatcher:forwarding_of",
        forward_as_calls,
        _PLAIN + "test_a_plain_stream_that_is_broken_off_inside_an_event_does_not_look_complete"
        "[none]",
    ),
    Switch(
        "streams of plain services go on at their version",
        "pimentoquay.gateway.plain_streams:may_run",
        return_constant(True),
        _PLAIN + "test_a_plain_stream_goes_on_at_another_server_of_its_version",
    ),
    Switch(
        "lines of another response end a run",
        "pimentoquay.gateway.events:StreamEvent.has_foreign_lines",
        lambda original: property(lambda self: False),
        _ERRORS + "test_an_error_inside_a_stream_that_may_not_be_resumed_ends_it_as_broken[text]",
    ),
    Switch(
        "end of a stream confirmed by two engines",
        "pimentoquay.gateway.event_relay:is_end_confirmed",
        return_constant(True),
        _ENDS + "test_a_stream_that_goes_on_is_not_ended_by_an_engine_that_sends_no_event",
    ),
    Switch(
        "late requests refused in a planned stop",
        "pimentoquay.gateway.planned_stop:can_end_in_time",
        return_constant(True),
        _STOP + "test_a_request_that_cannot_end_before_a_planned_stop_is_refused_at_once"
        "[/sheet/a-4.5]",
    ),
    Switch(
        "answers at the end of a planned stop",
        "pimentoquay.gateway.planned_stop:PlannedStop.ends_at",
        lambda original: property(lambda self: math.inf),
        _STOP + "test_a_call_that_runs_at_the_end_of_the_grace_time_gets_an_answer[/order/a]",
    ),
    Switch(
        "as many streams tried as their version has engines",
        "pimentoquay.policy.pool_placement:Counter",
        lambda original: lambda items: original(),
        "pimentoquay/policy/tests/test_pools.py::"
        "test_a_stream_that_goes_on_is_tried_before_a_new_one_that_came_later",
    ),
    Switch(
        "engine asked when it started before a stream goes on",
        "pimentoquay.gateway.engine_link:EngineLink.newer_start",
        do_nothing_async,
        "pimentoquay/gateway/tests/test_software_versions.py::"
        "test_an_engine_that_is_back_at_another_version_gets_no_stream_before_its_entry_is_read",
    ),
    Switch(
        "stream known by the start of an engine whose entry is not read",
        "pimentoquay.gateway.engine_start:unstated_version",
        return_constant("v1"),
        _STARTS + "test_a_new_stream_at_an_engine_that_is_back_at_another_version_goes_on_at_that"
        "_version",
    ),
    Switch(
        "streams at a start whose entry is not read told to peers",
        "pimentoquay.gateway.stream_origins:OriginExchange._is_told",
        lambda original: lambda self, version: version[0] in self._mixed,
        _STARTS + "test_a_stream_at_an_engine_that_is_back_waits_at_another_gateway_for_the_entry",
    ),
    Switch(
        "version that expires while it is written is not told",
        "pimentoquay.gateway.stream_origins:OriginExchange.record_stored",
        tell_expired_versions,
        "pimentoquay/gateway/tests/test_origin_store.py::"
        "test_a_gateway_goes_on_if_a_version_expires_while_the_store_is_slow",
    ),
    Switch(
        "version of a start told by its entry",
        "pimentoquay.policy.unlisted_starts:UnlistedStarts.version_of",
        lambda original: lambda self, software: software,
        _STARTS + "test_a_new_stream_at_an_engine_that_is_back_at_another_version_goes_on_at_that"
        "_version",
    ),
)
"""Mechanisms of the gateway for streams that break off and for planned stops."""
