import zlib

import pytest

from pimentoquay.messages import MAX_FRAME_BYTES, CodecError
from pimentoquay.messages.fleet import FleetCopy, StageOrdered
from pimentoquay.transport import framing
from pimentoquay.transport.framing import STAMP_BYTES, pack, unpack

LONG = FleetCopy(7, b'{"pathPrefix": "/abc/", "service": "desk"}' * 5000, (), 9, ())


def test_a_long_message_is_compressed_and_a_short_one_is_not():
    packet = pack(LONG, None)
    assert len(packet) < len(LONG.configuration) / 20
    assert unpack(packet, None) == LONG
    short = StageOrdered("dec-1", 8.0, 3)
    assert unpack(pack(short, None), None) == short


def test_a_message_to_many_channels_is_encoded_once(monkeypatch):
    encoded = []
    encode = framing.encode
    monkeypatch.setattr(framing, "encode", lambda item: encoded.append(item) or encode(item))
    message = StageOrdered("dec-1", 8.0, 4)
    packets = [pack(message, None) for _ in range(20)]
    assert len(set(packets)) == 1
    assert encoded == [message]


@pytest.mark.parametrize(
    "frame",
    [
        b"\x78nonsense",
        zlib.compress(b"\x00" * (MAX_FRAME_BYTES + 1)),
        zlib.compress(b"x" * 2000)[:-6],
    ],
)
def test_a_frame_that_cannot_be_decompressed_within_the_limit_is_malformed(frame):
    with pytest.raises(CodecError):
        unpack(bytes(STAMP_BYTES) + frame, None)
