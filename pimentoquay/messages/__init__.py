"""Immutable typed messages between processes and their CBOR codec.

Message numbers are never reused: 1 to 19 connection, 20 to 39 placement, 40 to 69 cluster,
workspaces, configuration and membership, 70 to 89 idempotency keys and shard claims, 90 to 109
operators, 120 to 139 gateways.
"""

from pimentoquay.messages.codec import (
    MAX_FRAME_BYTES,
    CodecError,
    decode,
    encode,
    encoded_size,
    message,
)

__all__ = ["MAX_FRAME_BYTES", "CodecError", "decode", "encode", "encoded_size", "message"]
