"""Compression of configuration entries sent between control processes."""

import zlib

from pimentoquay.kernel import ResultCode
from pimentoquay.messages import MAX_FRAME_BYTES, CodecError, decode, encode
from pimentoquay.messages.cluster import ConfigurationEntries
from pimentoquay.messages.configuration import PackedEntries

__all__ = ["pack", "unpack"]


def pack(entries: ConfigurationEntries) -> PackedEntries:
    """Return the compressed form of a message."""
    return PackedEntries(zlib.compress(encode(entries)))


def unpack(message: PackedEntries) -> ConfigurationEntries:
    """Return the decompressed message; raise ``CodecError`` if it is invalid or too large."""
    inflater = zlib.decompressobj()
    try:
        frame = inflater.decompress(message.body, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise CodecError(ResultCode.FRAME_MALFORMED, f"packed entries: {error}") from None
    if not inflater.eof:
        detail = f"packed entries are cut off or over {MAX_FRAME_BYTES} bytes"
        raise CodecError(ResultCode.FRAME_MALFORMED, detail)
    entries = decode(frame)
    if not isinstance(entries, ConfigurationEntries):
        detail = f"packed entries hold a {type(entries).__name__}"
        raise CodecError(ResultCode.FRAME_MALFORMED, detail)
    return entries
