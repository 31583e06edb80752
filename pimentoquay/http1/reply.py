"""Replies to the requests of callers."""

import http
import math
from typing import TYPE_CHECKING

import h11

from pimentoquay.http1.headers import HeaderList

if TYPE_CHECKING:
    from pimentoquay.http1.server_connection import ServerConnection

__all__ = ["Reply"]

_STATUSES = frozenset(int(status) for status in http.HTTPStatus)


class Reply:
    """Response to one request; sent at most once, and not after the caller has disconnected.

    ``default_headers`` are added to the headers of the response. ``expires_at`` is the event loop
    time until which the caller waits for it, in seconds.
    """

    def __init__(self, connection: "ServerConnection") -> None:
        self._connection = connection
        self.default_headers: HeaderList = ()
        self.expires_at = math.inf
        self.started = False
        self.ended = False

    def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a complete response."""
        self.start(status, (*headers, (b"Content-Length", str(len(body)).encode())))
        self.write(body)
        self.end()

    def start(self, status: int, headers: HeaderList) -> None:
        """Send the status and headers; without ``Content-Length`` the body is sent chunked."""
        self.started = True
        headers = (*headers, *self.default_headers)
        if self._connection.server.draining and not self._connection.has_read_ahead:
            headers = (*headers, (b"Connection", b"close"))
        reason = http.HTTPStatus(status).phrase if status in _STATUSES else ""
        self._connection.emit(
            h11.Response(status_code=status, headers=list(headers), reason=reason.encode())
        )

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._connection.emit(h11.Data(data=data))

    @property
    def is_connection_lost(self) -> bool:
        """Whether the connection has been closed, mostly by the caller."""
        return self._connection.is_lost

    async def drain(self) -> None:
        """Wait until the send buffer has room, that is, until the caller has read enough."""
        await self._connection.writable.wait()

    def end(self) -> None:
        """End the response, whose body is complete."""
        self.ended = True
        self._connection.emit(h11.EndOfMessage())

    def abort(self) -> None:
        """Close the connection in such a way that the response is not taken for complete."""
        self.ended = True
        self._connection.abort()
