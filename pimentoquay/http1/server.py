"""The callers' side: one connection, one request at a time, one task for each request.

The handler's task is cancelled as soon as its caller goes, so everything that it holds has to be
released in ``finally`` blocks.
"""

import asyncio
import http
import re
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import h11

from pimentoquay.http1.headers import HeaderList, find_headers
from pimentoquay.kernel.logs import logger

__all__ = ["HttpRequest", "HttpServer", "Reply", "ServerLimits"]

LINGER_SECONDS = 2.0
"""How long a closing connection is read on, so that the caller receives the last answer."""

MAX_UNREAD_BYTES = 256 * 1024
"""Bytes of further requests that a connection may bring before its answer has been sent."""

LISTEN_BACKLOG = 512
"""Connections that may wait to be accepted; a full queue drops the opening packet."""


@dataclass(frozen=True)
class ServerLimits:
    """What a caller may send: sizes in bytes, times in seconds."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True)
class HttpRequest:
    """One whole request; ``received_at`` is the loop's time at its first byte, in seconds."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float


Handler = Callable[[HttpRequest, "Reply"], Awaitable[None]]


class HttpServer:
    """Serves one address.

    Parameters
    ----------
    handler
        Awaited in a task of its own for each request; it answers through the ``Reply``.
    limits
        Returns the limits in force now.
    """

    def __init__(self, handler: Handler, limits: Callable[[], ServerLimits]) -> None:
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.connections: set[_ServerConnection] = set()
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The TCP port that is listened on."""
        if self._server is None:
            raise RuntimeError("the server does not listen")
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def requests_in_progress(self) -> int:
        """Requests read whose answer has not been sent in full."""
        return sum(1 for connection in self.connections if connection.is_busy)

    async def listen(self, host: str, port: int) -> None:
        """Accept connections; ``OSError`` if the address is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _ServerConnection(self), host, port, backlog=LISTEN_BACKLOG
        )

    def drain(self) -> None:
        """Announce the end of each connection with its next answer; go on serving."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    async def close(self) -> None:
        """Stop accepting and close the connections that carry no request."""
        if self._server is not None:
            self._server.close()
        self.close_idle()


class Reply:
    """The answer to one request; nothing is sent twice, and nothing after the caller has gone."""

    def __init__(self, connection: "_ServerConnection") -> None:
        self._connection = connection
        self.started = False
        self.ended = False

    def send(self, status: int, headers: HeaderList, body: bytes) -> None:
        """Send a whole answer."""
        self.start(status, (*headers, (b"Content-Length", str(len(body)).encode())))
        self.write(body)
        self.end()

    def start(self, status: int, headers: HeaderList) -> None:
        """Send status and headers; without a length the body travels in chunks."""
        self.started = True
        if self._connection.server.draining:
            headers = (*headers, (b"Connection", b"close"))
        reason = http.HTTPStatus(status).phrase if status in _STATUSES else ""
        self._connection.emit(
            h11.Response(status_code=status, headers=list(headers), reason=reason.encode())
        )

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._connection.emit(h11.Data(data=data))

    async def drain(self) -> None:
        """Wait until the caller has taken most of what was written."""
        await self._connection.writable.wait()

    def end(self) -> None:
        """Mark the body as complete."""
        self.ended = True
        self._connection.emit(h11.EndOfMessage())

    def abort(self) -> None:
        """Close the connection so that the answer cannot look complete."""
        self.ended = True
        self._connection.abort()


_LENGTHS = re.compile(rb"^(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.I | re.M)
"""The lines of a head that say where a body ends; the parser merges equal ones."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""The socket option by which closing resets the connection."""

_STATUSES = frozenset(int(status) for status in http.HTTPStatus)


class _ServerConnection(asyncio.Protocol):
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
        self._active_at = self._loop.time()
        self._timer: asyncio.TimerHandle | None = None
        self._closing = False

    @property
    def is_busy(self) -> bool:
        return self._task is not None

    def connection_made(self, transport: Any) -> None:
        self._transport = transport
        self.server.connections.add(self)
        self._arm()

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
        self._active_at = self._loop.time()
        if self._closing:
            return
        if self._first_byte_at is None and self._task is None:
            self._first_byte_at = self._active_at
        if self._request is None and self._task is None:
            self._head += data
        try:
            self._http.receive_data(data)
            if self._task is None:
                self._advance()
            elif len(self._http.trailing_data[0]) > MAX_UNREAD_BYTES:
                self._transport.pause_reading()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint, str(error))

    def emit(self, event: Any) -> None:
        """Send one event of the answer; after the end the connection serves the next request."""
        if self._transport.is_closing():
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)

    def abort(self) -> None:
        self._closing = True
        if self._http.their_http_version == b"1.0":
            # Such an answer ends with its connection, so only a reset shows that it is not whole.
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._transport.abort()

    def close_if_idle(self) -> None:
        if self._task is None and self._request is None and self._first_byte_at is None:
            self._linger()

    def _advance(self) -> None:
        while self._task is None and not self._closing:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    self.emit(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if event is h11.PAUSED:
                return
            if isinstance(event, h11.Request):
                self._begin(event)
            elif isinstance(event, h11.Data):
                self._take_body(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
            else:
                self._transport.close()
                return

    def _begin(self, request: h11.Request) -> None:
        head, self._head = self._head.partition(b"\r\n\r\n")[0], b""
        stated = _LENGTHS.findall(head)
        if len(stated) > 1 or any(b"," in value for value in stated):
            self._reject(400, "more than one length of a body")
            return
        lengths = find_headers(tuple(request.headers.raw_items()), b"content-length")
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            self._reject(413, f"a body of {lengths[0].decode()} bytes")
            return
        self._request = request

    def _take_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._reject(413, f"a body over {self._limits.body_bytes} bytes")
            return
        self._body.append(data)

    def _dispatch(self) -> None:
        assert self._request is not None
        received_at = self._first_byte_at
        request = HttpRequest(
            bytes(self._request.method),
            bytes(self._request.target),
            tuple(self._request.headers.raw_items()),
            b"".join(self._body),
            self._active_at if received_at is None else received_at,
        )
        self._request, self._body, self._body_bytes = None, [], 0
        self._task = self._loop.create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        reply = Reply(self)
        try:
            await self.server.handler(request, reply)
        except asyncio.CancelledError:
            reply.ended = False
        except Exception as error:
            logger.opt(exception=error).error("a request's handler failed")
            if not reply.started:
                reply.send(500, (), b"")
        finally:
            self._task = None
            self._first_byte_at = None
            self._active_at = self._loop.time()
        if not reply.ended:
            self.abort()
        else:
            self._next()

    def _next(self) -> None:
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
                self._advance()
            except h11.RemoteProtocolError as error:
                self._reject(error.error_status_hint, str(error))
        else:
            self._linger()

    def _reject(self, status: int, detail: str) -> None:
        logger.bind(status=status, detail=detail).info("a malformed request was refused")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [("Content-Length", "0"), ("Connection", "close")]
            self.emit(h11.Response(status_code=status, headers=headers))
            self.emit(h11.EndOfMessage())
        self._linger()

    def _linger(self) -> None:
        """Close for writing, and read on for a while so that the last answer is not lost."""
        if self._closing:
            return
        self._closing = True
        if self._transport.can_write_eof() and not self._transport.is_closing():
            self._transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, self._transport.close)

    def _arm(self) -> None:
        self._timer = self._loop.call_later(1.0, self._check_times)

    def _check_times(self) -> None:
        self._arm()
        if self._task is not None or self._closing:
            return
        now = self._loop.time()
        limits = self.server.limits()
        idle_seconds = max(self._limits.idle_seconds, limits.idle_seconds)
        reading = self._first_byte_at is not None
        if reading and self._request is None:
            if now - (self._first_byte_at or now) > limits.header_seconds:
                self._reject(408, "the headers did not arrive in time")
        elif now - self._active_at > idle_seconds:
            if reading:
                self._reject(408, "the body did not arrive in time")
            else:
                self._linger()
