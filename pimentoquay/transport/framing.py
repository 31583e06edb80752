"""Packet format of channels: an eight-byte hybrid clock timestamp and the encoded message."""

from typing import Any

from pimentoquay.kernel import HybridClock, ResultCode, Stamp
from pimentoquay.messages import MAX_FRAME_BYTES, CodecError, decode, encode

__all__ = ["MAX_PACKET_BYTES", "pack", "unpack"]

STAMP_BYTES = 8
"""Size of the timestamp at the start of a packet, in bytes."""

COUNT_BITS = 12
"""Number of low bits of the timestamp that hold its counter; the others hold wall time in µs."""

MAX_PACKET_BYTES = MAX_FRAME_BYTES + STAMP_BYTES
"""Maximum size of a packet that is sent or accepted, in bytes."""

_MAX_CLOCK_LEAD_US = 60_000_000
"""Maximum lead of a peer's timestamp over the local clock, in microseconds.

A timestamp further ahead does not advance the local clock.
"""


def pack(message: Any, clock: HybridClock | None) -> bytes:
    """Encode a message as a packet; without a clock its timestamp is zero."""
    stamp = clock.tick() if clock is not None else Stamp(0, 0)
    count = min(stamp.count, (1 << COUNT_BITS) - 1)
    return ((stamp.wall_us << COUNT_BITS) | count).to_bytes(STAMP_BYTES, "big") + encode(message)


def unpack(packet: bytes, clock: HybridClock | None) -> Any:
    """Decode the message of a packet and advance the clock past the packet's timestamp.

    Raise ``CodecError`` for a packet that is too short or contains no valid message.
    """
    if len(packet) <= STAMP_BYTES:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"{len(packet)} bytes")
    message = decode(packet[STAMP_BYTES:])
    if clock is not None:
        number = int.from_bytes(packet[:STAMP_BYTES], "big")
        stamp = Stamp(number >> COUNT_BITS, number & ((1 << COUNT_BITS) - 1))
        if stamp.wall_us <= clock.tick().wall_us + _MAX_CLOCK_LEAD_US:
            clock.observe(stamp)
    return message
