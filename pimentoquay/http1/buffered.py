"""Base of protocols that read into one buffer, which all connections of a process use in turn."""

import asyncio
from abc import ABC, abstractmethod

__all__ = ["SharedBufferProtocol"]

_buffer = memoryview(bytearray(16 * 1024))
"""It bounds what one read may return, which is kept until the reader of the bytes takes it."""


class SharedBufferProtocol(asyncio.BufferedProtocol, ABC):
    """Protocol whose ``data_received`` is called with at most 16 KB at a time."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read."""
        return _buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read into the buffer."""
        self.data_received(bytes(_buffer[:nbytes]))

    @abstractmethod
    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
