import pytest

from pimentoquay.messages import CodecError
from pimentoquay.tunnels.framing import END, GOING_AWAY, MAX_OPENING_BYTES, FrameReader, frame


@pytest.mark.parametrize("size", [1, 2, 3, 5, 1000])
def test_bytes_and_ends_are_found_however_they_arrive(size):
    sent = frame(b"a" * 10) + frame(b"b") + GOING_AWAY + frame(b"c" * 300) + END
    reader = FrameReader()
    parts = []
    for start in range(0, len(sent), size):
        parts += reader.feed(sent[start : start + size])
    assert b"".join(part for part in parts if part) == b"a" * 10 + b"b" + b"c" * 300
    assert parts[-1] == b""
    assert parts.count(None) == 1
    assert b"".join(part or b"" for part in parts[: parts.index(None)]) == b"a" * 10 + b"b"


def test_a_message_is_read_whole_and_what_follows_is_kept():
    reader = FrameReader()
    data = frame(b"hello") + b"rest"
    assert reader.read_message(data[:6]) is None
    assert reader.read_message(data[6:]) == b"hello"
    assert reader.take_rest() == b"rest"


@pytest.mark.parametrize("length", [0, MAX_OPENING_BYTES + 1, 0xFFFF_FFFF])
def test_a_message_that_is_too_long_or_empty_is_an_error(length):
    with pytest.raises(CodecError):
        FrameReader().read_message(length.to_bytes(4, "big"))
