"""Write a request in pieces, no faster than its server reads."""

from typing import Any

import h11

from pimentoquay.http1.headers import HeaderList
from pimentoquay.http1.system_state import unsent_bytes

__all__ = ["RequestWriter", "is_sendable", "without_body"]

PIECE_BYTES = 64 * 1024
"""Size of the pieces of a body; shorter ones are written with the head."""


class RequestWriter:
    """Writes requests to a transport, which holds no second copy of a large body.

    ``transport`` is set once the connection is open. ``is_cut`` is whether the server ended the
    connection before its system had taken the whole request.
    """

    __slots__ = ("_is_paused", "_rest", "is_cut", "transport")

    def __init__(self) -> None:
        self.transport: Any = None
        self._rest = memoryview(b"")
        self._is_paused = False
        self.is_cut = False

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the system has not taken yet."""
        return len(self._rest) + int(self.transport.get_write_buffer_size())

    def send(self, head: bytes, body: bytes) -> None:
        """Write a request, the rest of a large body as far as the server reads it."""
        if len(body) <= PIECE_BYTES:
            self.transport.write(head + body)
            return
        self.transport.write(head)
        self._rest = memoryview(body)
        self._write_more()

    def pause(self) -> None:
        """Keep the rest of the request until the server has read more."""
        self._is_paused = True

    def resume(self) -> None:
        """Go on with the rest of the request."""
        self._is_paused = False
        self._write_more()

    def record_end(self) -> None:
        """Record that the server has ended the connection, before anything else is sent on it."""
        self.is_cut = bool(self._rest) or unsent_bytes(self.transport) > 0

    def drop(self) -> None:
        """Drop the rest of a request, whose connection has ended."""
        self._rest = memoryview(b"")

    def _write_more(self) -> None:
        while self._rest and not self._is_paused and not self.transport.is_closing():
            piece, rest = self._rest[:PIECE_BYTES], self._rest[PIECE_BYTES:]
            # An empty view would keep the whole body.
            self._rest = rest if rest else memoryview(b"")
            self.transport.write(piece)


def is_sendable(method: bytes, target: bytes, headers: HeaderList) -> bool:
    """Return whether a request with this head can be written in HTTP/1.1."""
    try:
        h11.Request(method=method, target=target, headers=list(headers))
    except h11.LocalProtocolError:
        return False
    return True


def without_body(request: h11.Request) -> h11.Request:
    """Return a request with the same head but no body."""
    headers = [(name, value) for name, value in request.headers if name != b"content-length"]
    return h11.Request(method=request.method, target=request.target, headers=headers)
