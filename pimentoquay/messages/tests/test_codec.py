import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.kernel import ResultCode
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.placement import Grant, GrantRecord, Reannouncement, Refusal, Stage


def test_nested_messages_return_as_they_were():
    record = GrantRecord("r", 1, "w", "p", "d", Stage.DECODE, 10, 20)
    item = Reannouncement("s", (record, record))
    assert decode(encode(item)) == item


def test_enum_and_float_fields_return_typed():
    refusal = decode(encode(Refusal("r", 1, ResultCode.QUEUE_FULL, 2, "d")))
    assert refusal.code is ResultCode.QUEUE_FULL
    assert refusal.retry_after == 2.0


@pytest.mark.parametrize("frame", [b"", b"\xff", b"\x81\x19\xff\xff", b"\x82\x15\x01", b"\xa0"])
def test_malformed_frames_are_refused_with_a_code(frame):
    with pytest.raises(CodecError) as caught:
        decode(frame)
    assert caught.value.code is ResultCode.FRAME_MALFORMED


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(frame):
    with contextlib.suppress(CodecError):
        decode(frame)


@given(st.text(), st.integers(0, 2**31), st.text(), st.text())
def test_grants_return_as_they_were(request_id, attempt, prefill, decoder):
    grant = Grant(request_id, attempt, prefill, decoder)
    assert decode(encode(grant)) == grant
