"""Body of a request while it arrives."""

__all__ = ["RequestBody"]

PART_BYTES = 16 * 1024
"""Size up to which small parts are joined as they arrive."""


class RequestBody:
    """Parts of a body, of which the small ones take no more memory than their bytes.

    ``size`` is the number of bytes so far, ``wire_bytes`` that of the bytes that carried them.
    """

    def __init__(self) -> None:
        self.size = 0
        self.wire_bytes = 0
        self._parts: list[bytearray] = []

    def append(self, data: bytes | bytearray) -> None:
        """Add the next part."""
        self.size += len(data)
        if self._parts and len(self._parts[-1]) < PART_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join(self._parts)
