"""Invalid entries of engines, straight into the decoder."""

import json

import pytest

from pimentoquay.platform import EngineCalls, decode_engine_entry, parse_prefill
from pimentoquay.platform.fields import DecodeError
from pimentoquay.platform.tests.invalid_entries import HALF, TEXTS, sound_entry

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
