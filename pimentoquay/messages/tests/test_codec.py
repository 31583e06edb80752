import contextlib
import math

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.kernel import ResultCode
from pimentoquay.messages import CodecError, decode, encode
from pimentoquay.messages.fleet import EngineLimit, EngineRecord, StageOrdered
from pimentoquay.messages.placement import Grant, GrantRecord, Reannouncement, Refusal, Stage


def test_nested_messages_survive_a_round_trip():
    record = GrantRecord("r", 1, "w", "p", "d", Stage.DECODE, 10, 20)
    item = Reannouncement("s", (record, record))
    assert decode(encode(item)) == item


def test_enum_and_float_fields_keep_their_types():
    refusal = decode(encode(Refusal("r", 1, ResultCode.QUEUE_FULL, 2, "d")))
    assert refusal.code is ResultCode.QUEUE_FULL
    assert refusal.retry_after == 2.0


@pytest.mark.parametrize("frame", [b"", b"\xff", b"\x81\x19\xff\xff", b"\x82\x15\x01", b"\xa0"])
def test_malformed_frames_raise_a_codec_error(frame):
    with pytest.raises(CodecError) as caught:
        decode(frame)
    assert caught.value.code is ResultCode.FRAME_MALFORMED


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_or_raise_a_codec_error(frame):
    with contextlib.suppress(CodecError):
        decode(frame)


@given(st.text(), st.integers(0, 2**31), st.text(), st.text())
def test_grants_survive_a_round_trip(request_id, attempt, prefill, decoder):
    grant = Grant(request_id, attempt, prefill, decoder)
    assert decode(encode(grant)) == grant


@pytest.mark.parametrize(
    "values",
    [
        [120, "e", 10**5000, b""],
        [120, "e", 2**64, b""],
        [125, "e", 10**400, 1],
        [125, "e", math.nan, 1],
        [136, "e", -(10**5000), 1.0, 0.0],
        [10**5000],
        [-(10**5000), 1],
    ],
)
def test_a_number_out_of_range_raises_a_codec_error(values):
    """An integer of any size was taken, and failed where it was written as text or as a float."""
    with pytest.raises(CodecError):
        decode(cbor2.dumps(values))


@pytest.mark.parametrize(
    "item",
    [
        EngineRecord("e", 2**63 - 1, b""),
        EngineRecord("e", -1, b""),
        StageOrdered("e", math.inf, 2**64 - 1),
        EngineLimit("e", 1, -1.0, 0.0),
    ],
)
def test_numbers_in_range_survive_a_round_trip(item):
    assert decode(encode(item)) == item
