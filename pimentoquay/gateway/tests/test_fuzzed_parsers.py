"""Inputs from outside that were cut, doubled, nested or changed, straight into the parsers.

What is not refused with the error that the parser names holds for all later uses.
"""

import asyncio
import base64
import contextlib
import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.gateway.events import EventSplitter
from pimentoquay.gateway.feed import _parse_vm_address
from pimentoquay.gateway.origin_store import _parse_batch, _parse_version
from pimentoquay.gateway.request_guard import _parse_record as parse_quarantine
from pimentoquay.gateway.tests.fuzzed_inputs import (
    EVENTS,
    ORIGINS,
    QUARANTINE,
    VERSION,
    VM_ADDRESS,
    changed_bytes,
    changed_json,
    check_usable,
    examples,
    header_lists,
    messages,
)
from pimentoquay.gateway.tests.rig import configuration
from pimentoquay.gateway.tests.workspace_rig import document as workspace_document
from pimentoquay.kernel.errors import ResponseTooLargeError
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.messages import CodecError, codec, decode, encode
from pimentoquay.platform import (
    EngineCalls,
    SendOptions,
    decode_configuration,
    decode_engine_entry,
    engine_headers,
    parse_prefill,
    parse_request,
    parse_response,
)
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.responses import parse_notice
from pimentoquay.platform.store import (
    KeyedRecord,
    StoreError,
    _encode_record,
    _parse_latest_page,
    _parse_record_page,
)
from pimentoquay.platform.tests.invalid_entries import ENTRY

COUNT = 150

JSON_KINDS = {
    "entry of an engine": (lambda data: decode_engine_entry("i-1", data), ENTRY),
    "configuration": (decode_configuration, json.loads(configuration())),
    "workspaces": (decode_configuration, json.loads(workspace_document())),
    "answer to a prefill": (parse_prefill, {"kvHandle": "h", "tokens": 5000}),
    "answer to a reservation": (EngineCalls.parse_hold, {"hold": "h"}),
    "report": (EngineCalls.parse_start, {"born": 1764840000000, "seq": 3}),
    "newest records": (
        lambda data: asyncio.run(_parse_latest_page(data, 1, TurnQueue())),
        {
            "items": [{"key": "i-1", "value": base64.b64encode(b"{}").decode(), "offset": 7}],
            "endOffset": 8,
            "hasMore": False,
        },
    ),
}

REQUEST_HEADERS = (
    b"Pimentoquay-Request-Id",
    b"Host",
    b"Pimentoquay-Deadline-Ms",
    b"Pimentoquay-Model",
    b"Pimentoquay-Token-Counts",
    b"Pimentoquay-Length-Hint",
    b"Pimentoquay-Prompt-Prefix",
    b"Resumes",
    b"Last-Event-Id",
    b"Connection",
    b"X-Other",
)

SOUND_HEADERS = (b"14000", b"5000,8320", b"5c1e07a2:200,91bd3f06:4800", b"r1", b"close, x-other")

RESPONSE_HEADERS = (
    b"Retry-After",
    b"Server-Limit",
    b"Server-Leaving",
    b"Pimentoquay-Instance-Id",
    b"Pimentoquay-Not-Executed",
    b"Pimentoquay-Server-Stamp",
    b"Content-Encoding",
)

RECORDS = {
    "address of a VM": (_parse_vm_address, VM_ADDRESS),
    "version": (lambda record: _parse_version(record.key, record.value or b""), VERSION),
    "quarantine": (parse_quarantine, QUARANTINE),
}


@pytest.mark.parametrize("kind", JSON_KINDS)
@given(st.data())
@examples(COUNT)
def test_a_changed_document_is_refused_or_holds(kind, data):
    parse, sample = JSON_KINDS[kind]
    document = data.draw(changed_json(sample))
    try:
        found = parse(document)
    except DecodeError as error:
        assert str(error).encode()
        return
    except ValueError:
        # The client of the store takes it as a failed call.
        assert kind == "newest records"
        return
    check_usable(found)


@pytest.mark.parametrize("kind", RECORDS)
@given(st.data())
@examples(COUNT)
def test_a_changed_record_is_passed_over_or_holds(kind, data):
    parse, sample = RECORDS[kind]
    check_usable(parse(KeyedRecord("key", data.draw(changed_json(sample)), 3)))


@given(changed_bytes(st.just(ORIGINS)))
@examples(COUNT)
def test_a_changed_record_of_streams_is_passed_over_or_holds(data):
    check_usable(_parse_batch("vm-1 3", data))


PAGE = (9).to_bytes(8, "big") + _encode_record("i-1", b"{}") + _encode_record("i-2", b"")


@given(changed_bytes(st.just(PAGE)))
@examples(COUNT)
def test_a_changed_page_of_records_is_refused_or_holds(data):
    with contextlib.suppress(StoreError):
        page = asyncio.run(_parse_record_page(data, 7, TurnQueue()))
        check_usable(page)
        assert page.next_position >= 7


@given(header_lists(REQUEST_HEADERS, SOUND_HEADERS))
@examples(COUNT)
def test_a_request_with_changed_headers_can_be_sent_on(headers):
    request = parse_request(headers)
    check_usable(request)
    sent = engine_headers(request, SendOptions("i-1", request.timeout_seconds or 1.0))
    assert [pair for pair in sent if pair[0].lower() == b"pimentoquay-expect-instance"]


@given(st.integers(100, 599), header_lists(RESPONSE_HEADERS, (b"1", b"0.5", b"i-1", b"1e3")))
@examples(COUNT)
def test_an_answer_with_changed_headers_holds(status, headers):
    check_usable(parse_response(status, headers))
    notice = parse_notice("i-1", status, headers)
    check_usable(notice)
    assert notice.limit is None or notice.limit >= 0
    assert notice.pause_seconds is None or notice.pause_seconds >= 0


FRAMES = st.sampled_from(
    sorted(codec._class_by_number.values(), key=lambda each: each.__qualname__)
).flatmap(messages)


@given(FRAMES)
@examples(COUNT)
def test_a_message_of_any_values_survives_its_frame(message):
    assert decode(encode(message)) == message


@given(changed_bytes(FRAMES.map(encode)))
@examples(COUNT)
def test_a_changed_frame_is_refused_or_holds(frame):
    try:
        found = decode(frame)
    except CodecError as error:
        assert str(error).encode()
        return
    check_usable(found, codec.INTEGER_LIMIT)
    encode(found)


@given(changed_bytes(st.just(EVENTS) | st.just(EVENTS * 1_000)), st.integers(1, 60_000))
@examples(COUNT)
def test_changed_events_are_the_same_in_pieces_of_any_size(data, size):
    def split(size):
        splitter, events = EventSplitter(), []
        with contextlib.suppress(ResponseTooLargeError):
            for start in range(0, len(data), size):
                events += splitter.feed(data[start : start + size])
        for each in events:
            assert isinstance(each.is_piece, bool) and isinstance(each.has_foreign_lines, bool)
        return events, splitter.remainder

    events, rest = split(len(data) or 1)
    assert b"".join(each.data for each in events) + rest == data
    if len(data) <= 100_000:
        assert [each.id for each in split(size)[0]] == [each.id for each in events]
