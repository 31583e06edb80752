"""Frozen typed messages between processes and their CBOR codec.

Numbers are never reused: 1 to 19 connection, 20 to 39 placement, 40 to 69 cluster and
configuration, 70 to 89 orders and idempotency keys, 90 to 109 operators.
"""

from pimentoquay.messages.codec import MAX_FRAME_BYTES, CodecError, decode, encode, message

__all__ = ["MAX_FRAME_BYTES", "CodecError", "decode", "encode", "message"]
