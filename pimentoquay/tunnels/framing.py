"""Frames of a tunnel.

Messages that open a tunnel, and all bytes from the engine, are sent as a length of four bytes and
that many bytes. An orderly end of the engine's connection is a frame of its own, since the end of
the tunnel's connection also shows that the peer has ended. Bytes to the engine have no frames.
"""

from pimentoquay.kernel import ResultCode
from pimentoquay.messages import CodecError

__all__ = ["END", "GOING_AWAY", "MAX_OPENING_BYTES", "FrameReader", "frame"]

LENGTH_BYTES = 4

MAX_OPENING_BYTES = 4096
"""Maximum size of a message that opens a tunnel, in bytes; they have some hundred."""

END = (0).to_bytes(LENGTH_BYTES, "big")
"""The engine has ended its connection in order."""

_GOING_AWAY_LENGTH = 0xFFFF_FFFF

GOING_AWAY = _GOING_AWAY_LENGTH.to_bytes(LENGTH_BYTES, "big")
"""The peer is about to stop; no other request is to be sent on the tunnel."""


def frame(data: bytes) -> bytes:
    """Return data as a frame; it must not be empty."""
    return len(data).to_bytes(LENGTH_BYTES, "big") + data


class FrameReader:
    """Splits received bytes into frames.

    Frames of the engine's bytes are returned in parts, as they arrive; others whole.

    Example
    -------
    >>> reader = FrameReader()
    >>> reader.feed(frame(b"abc") + END)
    [b'abc', b'']
    """

    def __init__(self) -> None:
        self._buffer = b""
        self._left = 0

    def read_message(self, data: bytes) -> bytes | None:
        """Add received bytes; return the next whole frame if there is one.

        Raises
        ------
        CodecError
            If the frame is longer than a message that opens a tunnel may be.
        """
        self._buffer += data
        if len(self._buffer) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._buffer[:LENGTH_BYTES], "big")
        if not 0 < length <= MAX_OPENING_BYTES:
            raise CodecError(ResultCode.FRAME_TOO_LARGE, f"{length} bytes")
        end = LENGTH_BYTES + length
        if len(self._buffer) < end:
            return None
        message, self._buffer = self._buffer[LENGTH_BYTES:end], self._buffer[end:]
        return message

    def take_rest(self) -> bytes:
        """Return the bytes received after the last message."""
        rest, self._buffer = self._buffer, b""
        return rest

    def feed(self, data: bytes) -> list[bytes | None]:
        """Add received bytes; return their parts.

        An empty part marks the end, and None a peer that is about to stop.
        """
        if self._buffer:
            data, self._buffer = self._buffer + data, b""
        parts: list[bytes | None] = []
        start = 0
        while start < len(data):
            if not self._left:
                if len(data) - start < LENGTH_BYTES:
                    self._buffer = data[start:]
                    break
                length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
                start += LENGTH_BYTES
                if length in (0, _GOING_AWAY_LENGTH):
                    parts.append(None if length else b"")
                else:
                    self._left = length
                continue
            part = data[start : start + self._left]
            start += len(part)
            self._left -= len(part)
            parts.append(part)
        return parts
