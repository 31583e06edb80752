"""HTTP client for backend servers, with a pool of persistent connections.

No data is expected on an idle connection; bytes that arrive on it close it, so that they are never
taken for a response to the next request. A response to another request is read and discarded, and
the exchange continues to wait for its own; ``response_marks`` tells which is which.
"""

import asyncio
import contextlib
import errno
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from enum import Enum
from typing import Any

import h11

from pimentoquay.http1.client_connection import (
    ClientConnection,
    ExchangeWatch,
    ReusePolicy,
)
from pimentoquay.http1.headers import HeaderList, find_header
from pimentoquay.http1.response_marks import ResponseMark
from pimentoquay.kernel.errors import (
    ConnectError,
    ConnectFailure,
    ResponseTooLargeError,
)
from pimentoquay.kernel.input_checks import describe
from pimentoquay.kernel.timeouts import attempt_timeout
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.transport.websocket import split_address

__all__ = ["Connect", "ConnectionPool", "Exchange", "ReusePolicy", "ServerState", "connect_tcp"]

Connect = Callable[[Callable[[], Any], str, int], Awaitable[tuple[Any, Any]]]
"""Opens a connection with a protocol from a factory to a host and port.

It fails with ``OSError`` or ``TimeoutError``, also if there can be no such host or port.
"""


async def connect_tcp(factory: Callable[[], Any], host: str, port: int) -> tuple[Any, Any]:
    """Open a TCP connection; raise ``OSError`` if that fails for any reason."""
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_connection(factory, host, port)
    except (ValueError, OverflowError) as error:
        # A host that has no encoding, or a port out of range.
        detail = f"{describe(host)}, port {describe(port)}: {error}"
        raise OSError(errno.EADDRNOTAVAIL, detail) from error


class ServerState(Enum):
    """What an attempt to connect shows about a server.

    A server that is ``REFUSING`` has no process that listens at its address. One that is
    ``UNREACHABLE`` may be running behind a partition.
    """

    ACCEPTING = "accepting"
    REFUSING = "refusing"
    UNREACHABLE = "unreachable"


class ConnectionPool:
    """Pool of connections to one backend server.

    ``active`` holds the connections with an exchange in progress, and ``heard_at`` is the time at
    which something was last received on one that is no longer active. ``epoch`` grows whenever a
    connection is opened while none is: only then may the server have started anew meanwhile.

    Parameters
    ----------
    address
        The server's ``host:port``.
    connect_seconds
        Timeout of opening a connection, in seconds.
    reuse
        Limits of the idle time of reused connections.
    on_open
        Called before each attempt to open a connection, for metrics.
    connect
        Opens a connection.
    turns
        Continues the work that reads left over; all connections of a process share one. Without
        one, each connection has its own.
    """

    def __init__(
        self,
        address: str,
        connect_seconds: float,
        reuse: ReusePolicy,
        on_open: Callable[[], None] = lambda: None,
        connect: Connect = connect_tcp,
        turns: TurnQueue | None = None,
    ) -> None:
        self.address = address
        self.open_connections = 0
        self.active: set[ClientConnection] = set()
        self.heard_at = 0.0
        self._host, self._port = split_address(address)
        self._connect_seconds = connect_seconds
        self._reuse = reuse
        self._on_open = on_open
        self._connect = connect
        self._turns = turns
        self._idle: deque[ClientConnection] = deque()
        self._closed = False
        self.epoch = 0

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderList | Callable[[], HeaderList],
        body: bytes = b"",
        *,
        mark: ResponseMark | None = None,
        max_idle_seconds: float | None = None,
        head_seconds: float | None = None,
        watch: ExchangeWatch | None = None,
        on_sent: Callable[[], None] = lambda: None,
    ) -> AsyncIterator["Exchange"]:
        """Send a request once and yield the exchange when its response headers have arrived.

        Leaving the block before the end of the response closes the connection, which makes the
        backend server abort the request. Raise ``HttpError`` on failure.

        Parameters
        ----------
        method, target, headers, body
            The request; ``Content-Length`` is added if it has a body. A function that returns the
            headers is called when there is a connection, and nothing is sent if it raises.
        mark
            How the response to this request is known; others are discarded.
        max_idle_seconds
            Maximum idle time in seconds of a reused connection, in addition to the reuse policy.
        head_seconds
            Timeout of waiting for the response headers, in seconds.
        watch
            How long the server may be silent.
        on_sent
            Called when the request has been written.
        """
        connection = await self._acquire_connection(max_idle_seconds, mark)
        connection.watch = watch
        self.active.add(connection)
        try:
            sent_headers = headers() if callable(headers) else headers
            connection.send(method, target, sent_headers, body, mark)
            on_sent()
            exchange = Exchange(connection)
            await exchange.read_head(head_seconds)
            yield exchange
        finally:
            self._release_connection(connection)

    async def check_server(self) -> ServerState:
        """Open a connection and close it again, to learn whether the server still runs."""
        try:
            connection = await self._open_connection()
        except ConnectError as error:
            is_refusal = error.failure is ConnectFailure.REFUSED
            return ServerState.REFUSING if is_refusal else ServerState.UNREACHABLE
        connection.abort()
        return ServerState.ACCEPTING

    def close(self) -> None:
        """Close idle connections; running exchanges close theirs when they end."""
        self._closed = True
        while self._idle:
            self._idle.pop().abort()

    def retire(self, through_peers: bool) -> None:
        """Send no other request on the open connections through peers, or on all direct ones."""
        for connection in (*self._idle, *self.active):
            if bool(connection.via) is through_peers:
                connection.retire()

    async def _acquire_connection(
        self, max_idle_seconds: float | None, mark: ResponseMark | None
    ) -> "ClientConnection":
        now = asyncio.get_running_loop().time()
        passed_over = []
        try:
            while self._idle:
                connection = self._idle.pop()
                if not (connection.is_reusable(now, None) and connection.is_quiet):
                    connection.abort()
                    continue
                if not connection.is_reusable(now, max_idle_seconds):
                    passed_over.append(connection)
                    break
                if connection.marks.may_carry(mark):
                    return connection
                passed_over.append(connection)
        finally:
            self._idle.extend(reversed(passed_over))
        connection = await self._open_connection()
        if connection.is_closing:
            detail = f"the connection to {self.address} was lost as it was opened"
            raise ConnectError(detail, ConnectFailure.BROKEN)
        return connection

    async def _open_connection(self) -> "ClientConnection":
        self._on_open()
        now = asyncio.get_running_loop().time
        try:
            async with attempt_timeout(self._connect_seconds):
                _, connection = await self._connect(
                    lambda: ClientConnection(self._reuse, now, self._turns), self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            detail = f"no connection to {self.address}: {error!r}"
            raise ConnectError(detail, _failure_of(error)) from error
        if not connection.is_lost:
            self.epoch += not self.open_connections
            self.open_connections += 1
            connection.on_lost = self._remove_connection
        return connection

    def _remove_connection(self, connection: "ClientConnection") -> None:
        self.open_connections -= 1
        with contextlib.suppress(ValueError):
            self._idle.remove(connection)

    def _release_connection(self, connection: "ClientConnection") -> None:
        self.active.discard(connection)
        self.heard_at = max(self.heard_at, connection.heard_at)
        if connection.finish() and not self._closed:
            self._idle.append(connection)
        else:
            connection.abort()


def _failure_of(error: Exception) -> ConnectFailure:
    if isinstance(error, TimeoutError):
        return ConnectFailure.TIMED_OUT
    if isinstance(error, ConnectionRefusedError):
        return ConnectFailure.REFUSED
    return ConnectFailure.BROKEN


class Exchange:
    """A request that has been sent, and its response while it arrives."""

    def __init__(self, connection: "ClientConnection") -> None:
        self._connection = connection
        self._turn_key = object()
        self.status = 0
        self.headers: HeaderList = ()

    @property
    def via(self) -> str:
        """Peer through which the connection was opened, or empty."""
        return self._connection.via

    @property
    def is_unframed(self) -> bool:
        """Whether the response has neither a length nor chunks, so that its connection ends it."""
        framing = (b"content-length", b"transfer-encoding")
        return all(find_header(self.headers, name) is None for name in framing)

    def claim(self, name: str) -> bool:
        """Return whether the response is the first on its connection that has the given name."""
        return self._connection.marks.claim(name)

    def require_marks(self) -> None:
        """Use the connection for an exchange with a mark next."""
        self._connection.marks.require_marks()

    def keep_if_path_is_lost(self) -> None:
        """Let the exchange go on though its path counts as cut, as it cannot be sent again."""
        watch = self._connection.watch
        if watch is not None:
            self._connection.watch = replace(watch, abandon_seconds=None)

    def close_afterwards(self) -> None:
        """Use the connection for no other exchange."""
        self._connection.retire()

    async def wait_for_turn(self) -> None:
        """Wait for the next turn of a reader that has work left of what it has read."""
        await self._connection.turns.wait(self._turn_key)

    async def read_head(self, seconds: float | None = None) -> None:
        """Wait for the status and headers; ``HttpError`` if they do not arrive."""
        event = await self._next_event(seconds)
        if not isinstance(event, h11.Response):
            raise self._connection.error(f"expected a head, got {type(event).__name__}")
        self.status = event.status_code
        self.headers = tuple(event.headers.raw_items())

    async def read_chunk(self, seconds: float | None = None) -> bytes | None:
        """Return the next part of the body, or ``None`` at the end of a complete body."""
        event = await self._next_event(seconds)
        return bytes(event.data) if isinstance(event, h11.Data) else None

    async def read_body(self, max_bytes: int, seconds: float | None = None) -> bytes:
        """Return the rest of the body once it is complete.

        Raises
        ------
        ResponseTooLargeError
            If the body is longer than ``max_bytes``.
        HttpError
            If it is not complete after ``seconds``, or the connection fails.
        """
        parts, size = [], 0
        try:
            async with asyncio.timeout(seconds):
                while (part := await self.read_chunk()) is not None:
                    parts.append(part)
                    size += len(part)
                    if size > max_bytes:
                        raise ResponseTooLargeError(f"body is longer than {max_bytes} bytes", True)
        except TimeoutError:
            raise self._connection.error(f"the body was not whole in {seconds} s") from None
        return b"".join(parts)

    async def _next_event(self, seconds: float | None) -> Any:
        try:
            async with asyncio.timeout(seconds):
                return await self._connection.next_event()
        except TimeoutError:
            raise self._connection.error(f"nothing came for {seconds} s") from None
