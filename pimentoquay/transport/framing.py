"""Packet format of channels: an eight-byte hybrid clock timestamp and the encoded message.

A long message is compressed, since the configuration and the list of engines are sent to hundreds
of VMs over slow links. The first byte tells the two apart: encoded messages are CBOR arrays.
"""

import zlib
from typing import Any

from pimentoquay.kernel import HybridClock, ResultCode, Stamp
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.messages import MAX_FRAME_BYTES, CodecError, decode, encode

__all__ = ["MAX_PACKET_BYTES", "pack", "pack_unless_too_large", "refuse_to_send", "unpack"]

STAMP_BYTES = 8
"""Size of the timestamp at the start of a packet, in bytes."""

COUNT_BITS = 12
"""Number of low bits of the timestamp that hold its counter; the others hold wall time in µs."""

MAX_PACKET_BYTES = MAX_FRAME_BYTES + STAMP_BYTES
"""Maximum size of a packet that is sent or accepted, in bytes."""

COMPRESSED_BYTES = 1024
"""Size in bytes from which a message is compressed."""

_ZLIB_HEADER = 0x78
"""First byte of compressed data; no CBOR array begins with it."""

_MAX_CLOCK_LEAD_US = 60_000_000
"""Maximum lead of a peer's timestamp over the local clock, in microseconds.

A timestamp further ahead does not advance the local clock.
"""


def pack(message: Any, clock: HybridClock | None) -> bytes:
    """Encode a message as a packet; without a clock its timestamp is zero."""
    stamp = clock.tick() if clock is not None else Stamp(0, 0)
    count = min(stamp.count, (1 << COUNT_BITS) - 1)
    number = (stamp.wall_us << COUNT_BITS) | count
    return number.to_bytes(STAMP_BYTES, "big") + _newest_frame.encode(message)


def pack_unless_too_large(message: Any, clock: HybridClock | None, peer: str) -> bytes | None:
    """Encode a message as a packet; log and count it and return ``None`` if it is too large."""
    try:
        return pack(message, clock)
    except CodecError as error:
        refuse_to_send(message, peer, error)
        return None


def refuse_to_send(message: Any, peer: str, error: CodecError) -> None:
    """Log and count a message that cannot be sent.

    It is dropped, since the process, and the channel to the peer, serve much else.
    """
    refused_messages["sent"] += 1
    logger.bind(peer=peer, type=type(message).__name__, error=str(error)).error(
        "message cannot be encoded; it is not sent"
    )


def unpack(packet: bytes, clock: HybridClock | None) -> Any:
    """Decode the message of a packet and advance the clock past the packet's timestamp.

    Raise ``CodecError`` for a packet that is too short or contains no valid message.
    """
    if len(packet) <= STAMP_BYTES:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"{len(packet)} bytes")
    message = decode(_decompressed(packet[STAMP_BYTES:]))
    if clock is not None:
        number = int.from_bytes(packet[:STAMP_BYTES], "big")
        stamp = Stamp(number >> COUNT_BITS, number & ((1 << COUNT_BITS) - 1))
        if stamp.wall_us <= clock.tick().wall_us + _MAX_CLOCK_LEAD_US:
            clock.observe(stamp)
    return message


class _NewestFrame:
    """Encoder that keeps the newest frame, as a message is often sent to many channels in turn."""

    def __init__(self) -> None:
        self._message: Any = None
        self._frame = b""

    def encode(self, message: Any) -> bytes:
        if message is not self._message:
            frame = encode(message)
            if len(frame) >= COMPRESSED_BYTES:
                frame = zlib.compress(frame)
            self._message, self._frame = message, frame
        return self._frame


_newest_frame = _NewestFrame()


def _decompressed(frame: bytes) -> bytes:
    if frame[0] != _ZLIB_HEADER:
        return frame
    try:
        decompressor = zlib.decompressobj()
        data = decompressor.decompress(frame, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"not compressed: {error}") from None
    if not decompressor.eof:
        raise CodecError(ResultCode.FRAME_TOO_LARGE, "decompressed frame")
    return data
