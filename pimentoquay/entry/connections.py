"""HTTP server for callers, with header limits and result codes for malformed input."""

import asyncio
import contextlib
import json
import socket
import sys
from collections.abc import Iterator
from typing import Any

import h11
import uvicorn
from uvicorn.protocols.http.h11_impl import H11Protocol

from pimentoquay.entry.response_bodies import error_body
from pimentoquay.entry.settings import HttpSection
from pimentoquay.http1.linear_patterns import use_linear_patterns
from pimentoquay.kernel import PimentoquayError, RefusedError, ResultCode, info_of
from pimentoquay.transport.websocket import split_address

__all__ = ["EntryServer", "bind", "make_server"]

use_linear_patterns()


class CallerProtocol(H11Protocol):
    """HTTP/1.1 protocol with a timeout for headers and result codes for malformed input.

    ``header_seconds`` is the maximum time in which the headers of a request must arrive.
    """

    header_seconds = 10.0
    _header_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the header timeout of the first request."""
        super().connection_made(transport)
        self._start_header_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the header timeout."""
        self._stop_header_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and start or stop the header timeout."""
        super().data_received(data)
        if self.conn.their_state is not h11.IDLE:
            self._stop_header_timer()
        elif self._header_timer is None and self.conn.trailing_data[0]:
            self._start_header_timer()

    def send_400_response(self, msg: str) -> None:
        """Respond to malformed HTTP with a result code, and close the connection."""
        cause = sys.exc_info()[1]
        self._send_error_and_close(
            RefusedError(ResultCode.BAD_REQUEST, str(cause) if cause else msg)
        )

    def _start_header_timer(self) -> None:
        self._header_timer = self.loop.call_later(self.header_seconds, self._on_header_timeout)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _on_header_timeout(self) -> None:
        self._header_timer = None
        detail = f"the headers took longer than {self.header_seconds} s"
        self._send_error_and_close(RefusedError(ResultCode.BODY_TIMEOUT, detail))

    def _send_error_and_close(self, error: PimentoquayError) -> None:
        with contextlib.suppress(h11.LocalProtocolError):
            body = json.dumps(error_body(error)).encode()
            headers = [
                (b"content-type", b"application/json"),
                (b"content-length", str(len(body)).encode()),
                (b"connection", b"close"),
            ]
            status = info_of(error.code).http_status
            for event in (
                h11.Response(status_code=status, headers=headers),
                h11.Data(data=body),
                h11.EndOfMessage(),
            ):
                self.transport.write(self.conn.send(event) or b"")
        self.transport.close()


class EntryServer(uvicorn.Server):
    """Uvicorn server that installs no signal handlers, since the program has its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield


def bind(address: str) -> socket.socket:
    """Return a listening socket for an address of the form ``IP:PORT``.

    Raises
    ------
    OSError
        If the address is in use or cannot be bound.
    """
    host, port = split_address(address)
    listener = socket.create_server((host, port), backlog=1024)
    # Accepted connections inherit TCP_NODELAY. asyncio sets it only on sockets with an explicit
    # protocol number, which create_server does not give. Without it, each small write waits for
    # the caller's delayed acknowledgement.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def make_server(app: Any, section: HttpSection) -> EntryServer:
    """Return an HTTP server for an ASGI application, not yet started."""
    limits = {"header_seconds": section.header_seconds}
    protocol = type("BoundedCallerProtocol", (CallerProtocol,), limits)
    config = uvicorn.Config(
        app,
        loop="asyncio",
        http=protocol,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        server_header=False,
        proxy_headers=False,
        timeout_keep_alive=int(section.idle_seconds),
        h11_max_incomplete_event_size=section.max_header_bytes,
    )
    return EntryServer(config)
