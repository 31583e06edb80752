"""HTTP server for callers, with one request at a time per connection and one task per request.

The task of a request is cancelled as soon as its caller disconnects, so handlers must release
resources in ``finally`` blocks.
"""

import asyncio
import contextlib
import http
import math
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import h11

from pimentoquay.http1.headers import HeaderList, find_headers
from pimentoquay.http1.request import HttpRequest
from pimentoquay.http1.unsent import close_when_sent, unsent_bytes
from pimentoquay.kernel.logs import logger

__all__ = ["HttpServer", "Reply", "ServerLimits"]

LINGER_SECONDS = 2.0
"""Time for which a closing connection is still read, so that the last response is not lost."""

MAX_UNREAD_BYTES = 256 * 1024
"""Number of buffered bytes of further requests above which reading pauses during a request."""

LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; a full queue drops SYN packets."""


@dataclass(frozen=True)
class ServerLimits:
    """Limits of requests: sizes in bytes, timeouts of reading and idle time in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


Handler = Callable[[HttpRequest, "Reply"], Awaitable[None]]


class HttpServer:
    """HTTP server for one address.

    Parameters
    ----------
    handler
        Awaited in a separate task for each request; it responds through the ``Reply``.
    limits
        Returns the limits currently in force.
    """

    def __init__(self, handler: Handler, limits: Callable[[], ServerLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """TCP port of the listening socket."""
        if self._server is None:
            raise RuntimeError("the server does not listen")
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def requests_in_progress(self) -> int:
        """Number of requests whose response has not been sent completely or is still awaited."""
        return sum(1 for connection in self.connections if connection.is_busy)

    async def listen(self, host: str, port: int) -> None:
        """Start accepting connections; ``OSError`` if the address is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def drain(self) -> None:
        """Send ``Connection: close`` with the last response to what was read, and go on serving."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop accepting connections and close the idle ones."""
        if self._server is not None:
            self._server.close()
        self.close_idle()

    def abort(self) -> None:
        """Stop accepting connections and reset all of them, whatever they carry."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.abort()


class Reply:
    """Response to one request; sent at most once, and not after the caller has disconnected.

    ``default_headers`` are added to the headers of the response. ``expires_at`` is the event loop
    time until which the caller waits for it, in seconds.
    """

    def __init__(self, connection: "_ServerConnection") -> None:
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
        return bool(self._connection._transport.is_closing())

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


_BODY_LENGTH_LINES = re.compile(
    rb"^(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.I | re.M
)
"""Header lines that state the length of a body.

They are counted in the raw headers because the parser merges equal ones.
"""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` with which closing the socket resets the connection."""

_STATUSES = frozenset(int(status) for status in http.HTTPStatus)


class _ServerConnection(asyncio.Protocol):
    """One connection of a caller, which serves one request at a time."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.writable = asyncio.Event()
        self.writable.set()
        self._limits = server.limits()
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes)
        self._transport: Any = None
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None
        self._request: h11.Request | None = None
        self._head = b""
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._first_byte_at: float | None = None
        self._last_activity_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._expires_at = math.inf
        self._closing = False

    @property
    def is_busy(self) -> bool:
        is_awaited = self._loop.time() < self._expires_at
        return self._task is not None or (is_awaited and unsent_bytes(self._transport) > 0)

    @property
    def has_read_ahead(self) -> bool:
        return bool(self._http.trailing_data[0])

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.server.connections.add(self)
        self._schedule_timeout_check()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.connections.discard(self)
        self._closing = True
        if self._timer is not None:
            self._timer.cancel()
        self.writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        if self._task is not None:
            self._task.cancel()
        return False

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def data_received(self, data: bytes) -> None:
        self._last_activity_at = self._loop.time()
        if self._closing:
            return
        if self._first_byte_at is None and self._task is None:
            self._first_byte_at = self._last_activity_at
        if self._request is None and self._task is None:
            self._head += data
        try:
            self._http.receive_data(data)
            if self._task is None:
                self._process_events()
            elif len(self._http.trailing_data[0]) > MAX_UNREAD_BYTES:
                self._transport.pause_reading()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def emit(self, event: Any) -> None:
        """Send one event of the response, or nothing if the connection is closing."""
        if self._transport.is_closing():
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def abort(self) -> None:
        self._closing = True
        if self._http.their_http_version == b"1.0":
            # The end of a connection marks the end of an HTTP/1.0 response, so only a reset shows
            # that the response is incomplete.
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def close_if_idle(self) -> None:
        if self._task is None and self._request is None and self._first_byte_at is None:
            self._close_gracefully()

    def _process_events(self) -> None:
        while self._task is None and not self._closing:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    self.emit(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._start_request(event)
            elif isinstance(event, h11.Data):
                self._append_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._start_handler()
            else:
                self._transport.close()
                return

    def _start_request(self, request: h11.Request) -> None:
        head, self._head = self._head.partition(b"\r\n\r\n")[0], b""
        length_lines = _BODY_LENGTH_LINES.findall(head)
        if len(length_lines) > 1 or any(b"," in value for value in length_lines):
            self._reject(400, "more than one length of a body")
            return
        lengths = find_headers(tuple(request.headers.raw_items()), b"content-length")
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            self._reject(413, f"a body of {lengths[0].decode()} bytes")
            return
        self._request = request

    def _append_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._reject(413, f"a body over {self._limits.body_bytes} bytes")
            return
        self._body.append(data)

    def _start_handler(self) -> None:
        assert self._request is not None
        received_at = self._first_byte_at
        request = HttpRequest(
            bytes(self._request.method),
            bytes(self._request.target),
            tuple(self._request.headers.raw_items()),
            b"".join(self._body),
            self._last_activity_at if received_at is None else received_at,
        )
        self._request, self._body, self._body_bytes = None, [], 0
        self._task = self._loop.create_task(self._run_handler(request))

    async def _run_handler(self, request: HttpRequest) -> None:
        reply = Reply(self)
        try:
            await self.server.handler(request, reply)
        except asyncio.CancelledError:
            reply.ended = False
        except Exception as error:
            logger.opt(exception=error).error("request handler failed")
            if not reply.started:
                reply.send(500, (), b"")
        finally:
            self._task = None
            self._expires_at = reply.expires_at
            self._first_byte_at = None
            self._last_activity_at = self._loop.time()
        if not reply.ended:
            self.abort()
        else:
            self._prepare_next_request()

    def _prepare_next_request(self) -> None:
        if self._closing or self._transport.is_closing():
            return
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            self._limits = self.server.limits()
            self._transport.resume_reading()
            self._head = bytes(self._http.trailing_data[0])
            if self._head:
                self._first_byte_at = self._loop.time()
            try:
                self._process_events()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
        else:
            self._close_gracefully()

    def _reject(self, status: int, detail: str) -> None:
        logger.bind(status=status, detail=detail).info("invalid request rejected")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self.emit(h11.Response(status_code=status, headers=headers))
            self.emit(h11.EndOfMessage())
        self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close for writing, but keep reading for a while so that the last response is not lost."""
        if self._closing:
            return
        self._closing = True
        if self._transport.can_write_eof() and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # A reset that has not been read yet.
                self._transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, close_when_sent, self._transport, self._expires_at)

    def _schedule_timeout_check(self) -> None:
        self._timer = self._loop.call_later(1.0, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self._schedule_timeout_check()
        if self._task is not None or self._closing:
            return
        now = self._loop.time()
        limits = self.server.limits()
        idle_seconds = max(self._limits.idle_seconds, limits.idle_seconds)
        has_partial_request = self._first_byte_at is not None
        if has_partial_request and self._request is None:
            if now - (self._first_byte_at or now) > limits.header_seconds:
                self._reject(408, "the headers did not arrive in time")
        elif now - self._last_activity_at > idle_seconds:
            if has_partial_request:
                self._reject(408, "the body did not arrive in time")
            else:
                self._close_gracefully()
