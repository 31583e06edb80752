"""Invalid entries of engines, straight into the decoder."""

import json
import math

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from pimentoquay.gateway.tests.rig import configuration
from pimentoquay.platform import (
    EngineCalls,
    decode_configuration,
    decode_engine_entry,
    parse_prefill,
    parse_request,
)
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.tests.invalid_entries import (
    ADDRESSES,
    ENTRY,
    HALF,
    NESTED,
    NUMBERS,
    TEXTS,
    sound_entry,
)

MAX_ERROR_CHARACTERS = 500


def check_rejected(engine_id, data):
    with pytest.raises(DecodeError) as caught:
        decode_engine_entry(engine_id, data)
    text = str(caught.value)
    assert text.encode() and len(text) < MAX_ERROR_CHARACTERS


@pytest.mark.parametrize("name", TEXTS)
def test_an_entry_with_a_text_that_has_no_encoding_is_rejected(name):
    check_rejected("i-1", TEXTS[name])


@pytest.mark.parametrize("engine_id", ["", "i \ud83d", "i\r\nX: y", "i\x00", " i", "i "])
def test_an_id_that_cannot_be_sent_in_a_header_names_no_engine(engine_id):
    check_rejected(engine_id, sound_entry())


def test_an_engine_s_answer_with_a_text_that_has_no_encoding_is_rejected():
    with pytest.raises(DecodeError):
        parse_prefill(json.dumps({"kvHandle": HALF, "tokens": 1}).encode())
    with pytest.raises(DecodeError):
        EngineCalls.parse_hold(json.dumps({"hold": HALF}).encode())


@pytest.mark.parametrize("name", NUMBERS)
def test_an_entry_with_a_number_out_of_range_is_rejected(name):
    check_rejected("i-1", NUMBERS[name])


@pytest.mark.parametrize("name", NESTED)
def test_a_deeply_nested_entry_is_rejected(name):
    check_rejected("i-1", NESTED[name])


@pytest.mark.parametrize(
    "place, name, literal",
    [
        (None, "version", "1" + "0" * 4000),
        ("routes", "timeoutMs", "9e999"),
        ("routes", "targetLatencyMs", "NaN"),
        ("services", "maxConns", "1" + "0" * 5000),
        ("limits", "idleTimeoutMs", "1" + "0" * 400),
        ("engineId", "stride", "0"),
        ("engineId", "kvTokens", "0"),
        ("engineId", "slotCount", "-1"),
    ],
)
def test_a_configuration_with_a_number_out_of_range_is_rejected(place, name, literal):
    item = json.loads(configuration())
    parts = {
        None: item,
        "routes": item["routes"][0],
        "services": item["services"][0],
        "limits": item["limits"],
        "engineId": item["services"][1]["engineId"],
    }
    parts[place][name] = "@"
    with pytest.raises(DecodeError):
        decode_configuration(json.dumps(item).replace('"@"', literal).encode())


@pytest.mark.parametrize("digits", ["1" + "0" * 5000, "9" * 16, "-1", "٣", "nan"])
def test_a_number_of_a_request_that_is_out_of_range_counts_as_missing(digits):
    text = digits.encode()
    headers = (
        (b"Last-Event-Id", text),
        (b"Pimentoquay-Model", b"m"),
        (b"Pimentoquay-Token-Counts", text + b",8"),
    )
    request = parse_request(headers)
    assert request.last_event is None and request.model is None


@pytest.mark.parametrize("text", [b"nan", b"inf", b"-inf", b"1e400", b"1e30"])
def test_a_time_that_is_out_of_range_counts_as_missing(text):
    assert parse_request(((b"Pimentoquay-Deadline-Ms", text),)).timeout_seconds is None


@pytest.mark.parametrize("name", ADDRESSES)
def test_an_entry_with_an_address_that_cannot_be_connected_is_rejected(name):
    check_rejected("i-1", ADDRESSES[name])


@pytest.mark.parametrize(
    "address", ["10.0.0.1:1", "10.0.0.1:65535", "::1:80", "a-b.example:80", "bücher.example:80"]
)
def test_an_address_that_can_be_connected_is_accepted(address):
    assert decode_engine_entry("i-1", sound_entry(address=address)).address == address


texts = st.text(st.characters(), max_size=20) | st.text("0123456789.:-+ \ud83d", max_size=20)
numbers = st.integers() | st.integers(-(10**400), 10**400) | st.floats()
values = st.none() | st.booleans() | numbers | texts | st.lists(texts, max_size=3)
addresses = st.builds("{}:{}".format, texts, texts | st.integers(-10, 10**6))


@seed(1)
@settings(deadline=None, max_examples=500)
@given(
    texts,
    st.dictionaries(st.sampled_from(sorted(ENTRY)), values, max_size=3),
    st.none() | addresses,
)
def test_an_entry_that_is_accepted_can_be_used(engine_id, changed, address):
    item = ENTRY | changed | ({"address": address} if address is not None else {})
    try:
        entry = decode_engine_entry(engine_id, json.dumps(item).encode())
    except DecodeError as error:
        assert str(error).encode()
        return
    for text in (entry.id, entry.service, entry.address, entry.data_centre, entry.software):
        assert isinstance(text, str) and text.encode().decode() == text
    host, _, port = entry.address.rpartition(":")
    assert host.encode("idna") and 0 < int(port) < 65536
    for number in (entry.slots, entry.incarnation, entry.sequence):
        assert 0 <= number < 2**63 and math.isfinite(float(number))
