"""Body of a request while it arrives."""

import io

__all__ = ["RequestBody"]

LARGE_BYTES = 64 * 1024
"""Announced size above which a body is large; one without an announced size counts as large."""


class RequestBody:
    """Body that is held once, while it grows and when it is complete.

    ``size`` is the number of bytes so far, ``wire_bytes`` that of the bytes that carried them, and
    ``announced`` the length that the head states, or None.
    """

    def __init__(self) -> None:
        self.size = 0
        self.wire_bytes = 0
        self.announced: int | None = None
        self._buffer: io.BytesIO | None = None

    @property
    def is_large(self) -> bool:
        """Whether the body is long, or may be."""
        return self.announced is None or self.announced > LARGE_BYTES

    def append(self, data: bytes | bytearray) -> None:
        """Add the next part."""
        self.size += len(data)
        if self._buffer is None:
            self._buffer = io.BytesIO()
        self._buffer.write(data)

    def join(self) -> bytes:
        """Return the whole body; ``BytesIO`` gives it without a copy."""
        return self._buffer.getvalue() if self._buffer is not None else b""
