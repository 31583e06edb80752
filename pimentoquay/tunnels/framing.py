"""Frames of a tunnel.

Messages that open a tunnel, and all bytes from the engine, are sent as a length of four bytes and
that many bytes. An orderly end of the engine's connection is a frame of its own, since the end of
the tunnel's connection also shows that the peer has ended. Bytes to the engine have no frames.
"""

from pimentoquay.kernel import ResultCode
from pimentoquay.kernel.turns import ITEMS_PER_TURN
from pimentoquay.messages import CodecError

__all__ = ["END", "FRAMES_PER_TURN", "GOING_AWAY", "MAX_OPENING_BYTES", "FrameReader", "frame"]

LENGTH_BYTES = 4

FRAMES_PER_TURN = 16 * ITEMS_PER_TURN
"""Number of frames that are handled in one turn; one takes about half a microsecond."""

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
        self._is_retired = False
        self._has_ended = False
        self.has_more = False

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

    def feed(self, data: bytes, max_frames: int | None = None) -> list[bytes | None]:
        """Add received bytes; return their parts, where those of adjacent frames are joined.

        An empty part marks the end, after which nothing is returned, and None a peer that is about
        to stop, which is returned once. At most ``max_frames`` frames are handled, if it is given;
        ``has_more`` then tells whether others are left, for a call without bytes.
        """
        if self._buffer:
            data, self._buffer = self._buffer + data, b""
        parts: list[bytes | None] = []
        joined: list[bytes] = []
        start = frames = 0
        while start < len(data) and not self._has_ended and frames != max_frames:
            if not self._left:
                if len(data) - start < LENGTH_BYTES:
                    break
                length = int.from_bytes(data[start : start + LENGTH_BYTES], "big")
                start += LENGTH_BYTES
                if length not in (0, _GOING_AWAY_LENGTH):
                    self._left = length
                    continue
                if joined:
                    parts.append(b"".join(joined))
                    joined = []
                if not length:
                    self._has_ended = True
                    parts.append(b"")
                elif not self._is_retired:
                    self._is_retired = True
                    parts.append(None)
            else:
                part = data[start : start + self._left]
                start += len(part)
                self._left -= len(part)
                joined.append(part)
            frames += 1
        if joined:
            parts.append(b"".join(joined))
        self._buffer = b"" if self._has_ended else data[start:]
        self.has_more = len(self._buffer) >= (1 if self._left else LENGTH_BYTES)
        return parts
