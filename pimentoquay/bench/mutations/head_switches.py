"""Mechanisms that bound the cost of a head, and the tests that have to fail without them."""

import re
from typing import Any

from h11 import _abnf

from pimentoquay.bench.mutations.replacements import return_constant
from pimentoquay.bench.mutations.switch import Switch
from pimentoquay.platform.requests import parse_request

__all__ = ["HEAD_SWITCHES"]

_ROUTES = "pimentoquay/policy/tests/test_route_loads.py::"
_CONNECTION = "pimentoquay.http1.server_connection:ServerConnection."
_HEADERS = "pimentoquay/http1/tests/test_many_headers.py::"
_LOADS = "pimentoquay/policy/tests/test_head_loads.py::"
_LINES = "pimentoquay/http1/tests/test_costly_lines.py::"
_DECIDED = "pimentoquay/gateway/tests/test_decided_heads.py::"


def find_for_each_slash(original: Any) -> Any:
    """Look a route up anew for each slash of a path, from the last one on."""

    def find(self: Any, host: str, target: str) -> Any:
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = original(self, host, path[: end + 1])
            if route is not None and route.path_prefix == path[: end + 1]:
                return route
            end = path.rfind("/", 0, end)
        return None

    return find


def decide_each_time(original: Any) -> Any:
    """Decide by the head when it has arrived, and again when the request is handled."""

    def decide(self: Any, request: Any) -> Any:
        caller = parse_request(request.headers)
        return self._decide_anew(request, caller, self._shared.fleet.route_table)

    return decide


def keep_decision(original: Any) -> Any:
    """Reuse what was decided by the head, whatever configuration is in force."""

    def decide(self: Any, request: Any) -> Any:
        known = request.note.value
        return known if known is not None else original(self, request)

    return decide


def use_own_pattern(original: Any) -> Any:
    """Match header lines by the parser's own pattern."""
    return re.compile(_abnf.header_field.encode())


def wait_without_reading(original: Any) -> Any:
    """Let a connection wait for room whether or not it has read more."""

    def update(self: Any, account: Any, held: int, unsent: int, now: float) -> bool:
        account.held, self.used = 0, self.used - account.held
        return bool(original(self, account, held, unsent, now))

    return update


HEAD_SWITCHES = (
    Switch(
        "the route of a path is found in one pass",
        "pimentoquay.policy.route_choice:RouteTable.find",
        find_for_each_slash,
        _ROUTES + "test_a_path_of_thousands_of_segments_takes_no_more_steps_than_the_prefixes_have"
        "[/look/]",
    ),
    Switch(
        "invalid lines of spaces are refused at once",
        "h11._readers:header_field_re",
        use_own_pattern,
        _LINES + "test_an_invalid_line_of_spaces_is_refused_at_once[head of a request]",
    ),
    Switch(
        "what a head leads to is decided once",
        "pimentoquay.gateway.dispatcher:Dispatcher._decide",
        decide_each_time,
        _DECIDED + "test_a_request_takes_one_lookup_and_its_headers_are_decoded_once[/look/a]",
    ),
    Switch(
        "a decision by the head ends with its configuration",
        "pimentoquay.gateway.dispatcher:Dispatcher._decide",
        keep_decision,
        _DECIDED + "test_a_route_that_goes_before_the_body_comes_is_not_found",
    ),
    Switch(
        "headers of a request are bounded in number",
        _CONNECTION + "_refuse_many_headers",
        return_constant(False),
        _HEADERS + "test_a_request_of_too_many_headers_is_answered_431[all that fit]",
    ),
    Switch(
        "heads of many headers are parsed in turns",
        "pimentoquay.http1.raw_head:RawHead.items",
        lambda original: property(lambda self: 1),
        _HEADERS + "test_heads_of_many_headers_that_arrive_together_are_parsed_in_turns",
    ),
    Switch(
        "parsed heads count with what they take",
        "pimentoquay.http1.raw_head:HEADER_BYTES",
        lambda original: 0,
        "pimentoquay/http1/tests/test_raw_head.py::"
        "test_the_size_is_what_the_parsed_head_takes[250-v]",
    ),
    Switch(
        "parsed heads count until their requests are done",
        _CONNECTION + "_settle",
        return_constant(None),
        _HEADERS + "test_a_parsed_head_counts_until_its_request_is_done",
    ),
    Switch(
        "heads of many headers are parsed if there is room",
        _CONNECTION + "_has_room_for_head",
        return_constant(True),
        _HEADERS + "test_a_head_of_many_headers_waits_for_room_and_few_headers_do_not",
    ),
    Switch(
        "connections that read nothing more do not wait for room",
        "pimentoquay.policy.byte_budget:ByteBudget.update",
        wait_without_reading,
        _LOADS + "test_a_caller_that_sends_nothing_more_holds_no_room_by_waiting",
    ),
)
