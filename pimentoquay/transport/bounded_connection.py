"""WebSocket connections that handle the frames of one read in bounded turns.

The library parses all frames that a read holds before anything else runs. A read can hold thousands
of empty messages, pings or fragments, also from a process that has not authenticated itself.
"""

import asyncio
from collections.abc import Generator
from typing import Any

from websockets.asyncio.client import ClientConnection
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import ServerConnection
from websockets.streams import StreamReader

from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue

__all__ = ["BoundedClientConnection", "BoundedServerConnection"]

READ_BYTES = 32 * 1024
"""Maximum size of one read in bytes, which bounds what a connection keeps between two turns."""

LAST_FRAMES = 8 * ITEMS_PER_TURN
"""Maximum number of frames that are still handled when a connection has been lost."""

MAX_UNREAD_PONGS_BYTES = 64 * 1024
"""Maximum size in bytes of the responses to pings that a peer does not read; it sends a ping every
twenty seconds."""


class _BoundedReader(StreamReader):
    """Lets the parser begin no more frames than ``left``."""

    def __init__(self) -> None:
        super().__init__()
        self.left = ITEMS_PER_TURN

    @property
    def has_more(self) -> bool:
        """Whether there are bytes that the parser may not read in this turn."""
        return not self.left and bool(self.buffer)

    def at_eof(self) -> Generator[None, None, bool]:
        """Tell whether all was read; the parser calls it before each frame."""
        while not self.left:
            yield
        self.left -= 1
        return (yield from super().at_eof())


class _BoundedConnection(Connection):
    """Connection that continues in turns with what one read has left over."""

    def __init__(self, turns: TurnQueue, protocol: Any, *args: Any, **options: Any) -> None:
        # The parser keeps the reader that it was started with.
        self._reader = protocol.reader = _BoundedReader()
        protocol.parser = protocol.parse()
        next(protocol.parser)
        self._turns = turns
        self._is_queue_full = False
        self._unread_pong_bytes = 0
        super().__init__(protocol, *args, **options)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read less at a time, and pause for the queue of messages as well as between turns."""
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]
        super().connection_made(transport)
        self.recv_messages.pause = self._pause
        self.recv_messages.resume = self._resume

    def data_received(self, data: bytes) -> None:
        """Handle as many frames as one turn allows."""
        self._handle(data, ITEMS_PER_TURN)
        if self._reader.has_more:
            self.transport.pause_reading()
            if not self._is_queue_full:
                self._turns.add(self, self._continue)

    def eof_received(self) -> None:
        """Handle the end, which comes after all that was read."""
        self._reader.left = LAST_FRAMES
        super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle what was read before, unless this process has closed the connection."""
        self._turns.discard(self)
        if self._reader.has_more:
            if exc is not None:
                self._handle(b"", LAST_FRAMES)
            self._reader.discard()
        self._reader.left = LAST_FRAMES
        super().connection_lost(exc)

    def _handle(self, data: bytes, frames: int) -> None:
        self._reader.left = frames
        before = self.transport.get_write_buffer_size()
        super().data_received(data)
        unsent = self.transport.get_write_buffer_size()
        # Only responses to pings and to a closing handshake are written meanwhile.
        written = unsent - before
        self._unread_pong_bytes = self._unread_pong_bytes + max(0, written) if unsent else 0
        if self._unread_pong_bytes > MAX_UNREAD_PONGS_BYTES and not self.transport.is_closing():
            logger.warning("peer sends pings and does not read; closing the connection")
            self.transport.abort()

    def _continue(self) -> bool:
        """Handle what one turn allows; return whether more is to be handled."""
        if self._is_queue_full or self.transport.is_closing():
            return False
        self._handle(b"", ITEMS_PER_TURN)
        if self._is_queue_full or self.transport.is_closing():
            return False
        if self._reader.has_more:
            return True
        self.transport.resume_reading()
        return False

    def _pause(self) -> None:
        self._is_queue_full = True
        self.transport.pause_reading()

    def _resume(self) -> None:
        self._is_queue_full = False
        if self._reader.has_more:
            self._turns.add(self, self._continue)
        else:
            self.transport.resume_reading()


class BoundedClientConnection(_BoundedConnection, ClientConnection):
    """Outgoing connection; ``turns`` comes before the library's parameters."""


class BoundedServerConnection(_BoundedConnection, ServerConnection):
    """Accepted connection; ``turns`` comes before the library's parameters."""
