"""A frame on a channel: eight bytes of hybrid clock stamp, then the encoded message."""

from typing import Any

from pimentoquay.kernel import HybridClock, ResultCode, Stamp
from pimentoquay.messages import MAX_FRAME_BYTES, CodecError, decode, encode

__all__ = ["MAX_PACKET_BYTES", "pack", "unpack"]

STAMP_BYTES = 8
COUNT_BITS = 12
MAX_PACKET_BYTES = MAX_FRAME_BYTES + STAMP_BYTES
"""The largest packet that is sent or accepted, in bytes."""

_MAX_STEP_US = 60_000_000
"""How far a peer's stamp may run ahead of this process before it is not followed."""


def pack(message: Any, clock: HybridClock | None) -> bytes:
    """Return the packet of a message, stamped if a clock is given."""
    stamp = clock.tick() if clock is not None else Stamp(0, 0)
    count = min(stamp.count, (1 << COUNT_BITS) - 1)
    return ((stamp.wall_us << COUNT_BITS) | count).to_bytes(STAMP_BYTES, "big") + encode(message)


def unpack(packet: bytes, clock: HybridClock | None) -> Any:
    """Return the message of a packet and move the clock past its stamp.

    Raises ``CodecError`` for a packet that is too short or holds no message.
    """
    if len(packet) <= STAMP_BYTES:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"{len(packet)} bytes")
    message = decode(packet[STAMP_BYTES:])
    if clock is not None:
        number = int.from_bytes(packet[:STAMP_BYTES], "big")
        stamp = Stamp(number >> COUNT_BITS, number & ((1 << COUNT_BITS) - 1))
        if stamp.wall_us <= clock.tick().wall_us + _MAX_STEP_US:
            clock.observe(stamp)
    return message
