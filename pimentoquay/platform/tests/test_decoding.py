import json

import pytest

from pimentoquay.http1 import find_header
from pimentoquay.platform import (
    SendOptions,
    decode_configuration,
    decode_engine_entry,
    engine_headers,
    load_deployment_settings,
    parse_request,
    parse_response,
)
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.responses import parse_notice
from pimentoquay.policy.fleet import EngineStage, RepeatRule

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "city-hall",
    "version": "v1",
    "coldRemainingMs": 0,
    "slotCount": 64,
    "state": "ready",
    "stage": "decode",
    "seq": 4,
    "born": 17,
}

ROUTE = {
    "name": "r",
    "host": "Ficu95.example",
    "pathPrefix": "/lohu930/",
    "kind": "stream",
    "timeoutMs": 14000,
    "targetLatencyMs": 900,
    "trafficSplit": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
    "maxAttempts": 2,
    "resumable": True,
    "gapTargetMs": 300,
}

SETTINGS = {
    "nodeName": "front-1",
    "ipAddr": "10.1.0.35",
    "zone": "city-hall",
    "version": "v1",
    "coldRemainingMs": 0,
    "zones": {"city-hall": "tt-north"},
    "listen": {"frontAddr": "10.1.0.35:8144", "readyAddr": "10.1.0.35:8140"},
    "innerPortRange": [7660, 7675],
    "platform": {"address": "10.200.1.7:8142"},
    "bounds": {"drainMs": 2000, "retryBudgetSlack": 54, "graceS": 8},
    "a field of tomorrow": None,
}


def test_an_engine_entry_is_decoded():
    entry = decode_engine_entry("i-1", json.dumps(ENTRY).encode())
    assert (entry.stage, entry.data_centre) == (EngineStage.DECODE, "city-hall")
    assert (entry.incarnation, entry.sequence, entry.is_draining) == (17, 4, False)


@pytest.mark.parametrize(
    "field, value",
    [
        ("service", None),
        ("address", "10.0.0.1"),
        ("address", 7),
        ("zone", ["a"]),
        ("state", "asleep"),
        ("state", True),
        ("stage", "both"),
        ("slotCount", "64"),
        ("slotCount", True),
        ("born", 1.5),
        ("born", None),
        ("seq", "4"),
        ("seq", None),
        ("coldRemainingMs", "0"),
    ],
)
def test_an_entry_with_an_invalid_field_is_rejected(field, value):
    with pytest.raises(DecodeError):
        decode_engine_entry("i-1", json.dumps(ENTRY | {field: value}).encode())


def test_an_entry_without_a_start_is_that_of_a_deployment_that_states_none():
    entry = {name: value for name, value in ENTRY.items() if name != "born"}
    assert decode_engine_entry("i-1", json.dumps(entry).encode()).incarnation == 0


def test_a_configuration_is_decoded_with_units():
    item = {"version": 7, "routes": [ROUTE], "services": [], "limits": {"idleTimeoutMs": 500}}
    configuration = decode_configuration(json.dumps(item).encode())
    (route,) = configuration.routes
    assert route.repeat is RepeatRule.STREAM and route.may_run_again
    assert (route.host, route.timeout_seconds, route.gap_seconds) == ("ficu95.example", 14.0, 0.3)
    assert [share.weight for share in route.shares] == [90.0, 10.0]
    assert configuration.limits.idle_seconds == 0.5


def test_an_error_names_the_field_and_its_value():
    with pytest.raises(DecodeError, match="kind = 'sometimes'"):
        item = {"version": 7, "routes": [ROUTE | {"kind": "sometimes"}], "services": []}
        decode_configuration(json.dumps(item).encode())


def test_settings_are_read_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(SETTINGS))
    settings = load_deployment_settings(path)
    assert settings.bounds.drain_seconds == 2.0 and settings.bounds.grace_seconds == 8.0
    assert settings.callers_address == "10.1.0.35:8144" and settings.control_address == ""


def test_a_missing_setting_is_named_with_its_file(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps({"nodeName": "front-1"}))
    with pytest.raises(DecodeError, match=r"local\.json.*listen"):
        load_deployment_settings(path)


def test_a_request_is_parsed_and_its_system_headers_are_replaced():
    headers = (
        (b"Host", b"Ficu95.example:80"),
        (b"Pimentoquay-Request-Id", b"9c41"),
        (b"Pimentoquay-Deadline-Ms", b"14000"),
        (b"Pimentoquay-Model", b"m"),
        (b"Pimentoquay-Token-Counts", b"6565,8320"),
        (b"Pimentoquay-Length-Hint", b"7465"),
        (b"Pimentoquay-Pin-Ms", b"9"),
        (b"Last-Event-Id", b"3"),
    )
    request = parse_request(headers)
    assert (request.host, request.timeout_seconds, request.last_event) == (
        "ficu95.example",
        14.0,
        3,
    )
    assert request.model is not None
    assert (request.model.prompt_tokens, request.model.max_output_tokens) == (6565, 8320)
    sent = engine_headers(request, SendOptions("i-1", 1.5, hold="h", after_event=12))
    assert find_header(sent, b"pimentoquay-deadline-ms") == b"1500"
    assert find_header(sent, b"pimentoquay-kv-hold") == b"h"
    assert [value for name, value in sent if name.lower() == b"last-event-id"] == [b"12"]
    assert find_header(sent, b"pimentoquay-pin-ms") is None


@pytest.mark.parametrize(
    "status, headers, not_run",
    [
        (421, (), True),
        (503, ((b"Pimentoquay-Not-Executed", b"1"),), True),
        (503, (), False),
        (500, ((b"Pimentoquay-Server-Stamp", b"s"),), False),
    ],
)
def test_a_request_counts_as_not_run_only_on_proof(status, headers, not_run):
    assert parse_response(status, headers).has_not_run is not_run


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        (b"5C1e07a2:800,91bd3f06:410, e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (b"91bd3f06:410", ()),
        (b"", ()),
        (b"a:1,,b:2,c:3", ("a", "b")),
        (b"a," + b"f" * 70 + b":1,b", ("a",)),
        (b",".join(b"%x:1" % number for number in range(5000)), tuple(f"{n:x}" for n in range(64))),
    ],
)
def test_the_shared_parts_of_a_prompt_are_decoded(value, parts):
    headers = (
        (b"Pimentoquay-Model", b"m"),
        (b"Pimentoquay-Token-Counts", b"100,20"),
        (b"Pimentoquay-Prompt-Prefix", value),
    )
    model = parse_request(headers).model
    assert model is not None and model.shared_parts == parts


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (b"1.8", 1.8),
        (b" 3 ", 3.0),
        (b"0", 0.0),
        (b"-2", None),
        (b"1,8", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"9" * 400, None),
        (b"", None),
    ],
)
def test_the_limit_that_an_engine_names_is_decoded(value, limit):
    notice = parse_notice("i-1", 200, ((b"Server-Limit", value),))
    assert (notice.names_limit, notice.limit) == (True, limit)
    assert not parse_notice("i-1", 200, ()).names_limit
    other = ((b"Server-Limit", b"2"), (b"Pimentoquay-Instance-Id", b"i-2"))
    assert not parse_notice("i-1", 200, other).names_limit


def test_token_counts_are_known_without_a_model():
    """Such requests were counted as calls without token counts against their allowance."""
    counted = parse_request(((b"Pimentoquay-Token-Counts", b"100,20"),))
    assert counted.model is None and counted.total_tokens == 120
    for text in (b"", b"100", b"100,", b"100,20,3", b"a,b"):
        assert parse_request(((b"Pimentoquay-Token-Counts", text),)).total_tokens is None
