"""HTTP client for one address with its own connection pool.

The HTTP library aiosonic keeps a connection open even if a request on it was cancelled before its
response arrived; the next request on this connection would then read that response. aiosonic also
retries requests of some methods by itself. This module therefore replaces its connection and pool
classes: a connection is closed unless its exchange completed, no request is retried, and each
failure records whether any byte of the request was written.
"""

import asyncio
import re
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from aiosonic import HTTPClient, HttpResponse
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout, HttpParsingError
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.traffic import process_traffic

__all__ = ["BufferedResponse", "HttpError", "HttpPeer"]

CONNECT_TIMEOUT_SECONDS = 1.0
"""Timeout for opening a connection, in seconds."""

MAX_IDLE_MILLISECONDS = 30_000
"""Time in milliseconds after which an unused connection is not used again."""

DEFAULT_MAX_CONNECTIONS = 128
"""Maximum number of connections to one address; further requests fail without being sent."""

STREAM_IDLE_TIMEOUT_SECONDS = 10.0
"""Time in seconds without data after which a stream counts as broken."""

_TIMEOUTS = Timeouts(CONNECT_TIMEOUT_SECONDS, None, None, None)
_FINAL_STATUS_LINE = re.compile(rb"HTTP/[0-9](\.[0-9])? [2-5][0-9]{2}[ \r\n]")
"""Beginning of the status line of a final response; aiosonic accepts a status of any digits."""

_FAILURES = (AiosonicError, OSError, EOFError, ValueError, TimeoutError)


@dataclass(frozen=True)
class BufferedResponse:
    """Response whose body has been read completely; header names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass
class _WriteFlag:
    """Record of whether any byte of the current request was written."""

    written: bool = False


_write_flag: ContextVar[_WriteFlag | None] = ContextVar("write_mark", default=None)


class _Connection(Connection):
    """Connection that is reused only after an exchange that completed without an error."""

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        if self.reader is None or self.reader.at_eof():
            return False
        return super().reuse(urlparsed, verify)

    def write(self, data: bytes) -> None:
        flag = _write_flag.get()
        if flag is not None:
            flag.written = True
        process_traffic.http_bytes_sent += len(data)
        super().write(data)

    async def readuntil(self, separator: bytes = b"\n") -> bytes:
        """Read the status line of a response, for which alone aiosonic calls this method."""
        line: bytes = await super().readuntil(separator)
        if not _FINAL_STATUS_LINE.match(line):
            raise HttpParsingError(f"not a final response: {line[:80]!r}")
        return line

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)


class _Pool(BasePool):
    """Pool that opens connections on demand; at its limit, requests fail instead of waiting."""

    def _init_pool(self, connection_cls: type[Connection]) -> None:
        self._connection_cls = connection_cls
        self._idle: list[Connection] = []
        self.in_use = 0

    async def acquire(self, urlparsed: Any = None) -> Connection:
        if self.in_use >= self.pool_size:
            raise ConnectionPoolAcquireTimeout(f"{self.pool_size} connections are in use")
        self.in_use += 1
        while self._idle:
            connection = self._idle.pop()
            if not self._is_connection_idle(connection):
                return connection
            connection.close()
        return self._new_connection(self._connection_cls)

    def release(self, conn: Connection) -> None:
        self.in_use -= 1
        if self.conf.max_conn_requests == 0:
            conn.close()
        if conn.is_connected:
            self._idle.append(conn)

    def free_conns(self) -> int:
        return self.pool_size - self.in_use

    def is_all_free(self) -> bool:
        return self.in_use == 0

    async def cleanup(self) -> None:
        for connection in list(self._connections):
            connection.close()
        self._idle.clear()


class HttpPeer:
    """HTTP client for one address.

    Parameters
    ----------
    address
        ``host:port`` to connect to.
    connections
        Maximum number of simultaneous connections.
    reuse
        Whether a connection may be used for several requests. If false, a request is never sent
        on a connection that the server is just closing. This matters for requests that must not
        be retried if the server may have read them.
    """

    def __init__(
        self, address: str, connections: int = DEFAULT_MAX_CONNECTIONS, reuse: bool = True
    ) -> None:
        self.address = address
        limit = None if reuse else 0
        config = PoolConfig(connections, limit, MAX_IDLE_MILLISECONDS)
        connector = TCPConnector({":default": config}, _TIMEOUTS, _Connection, _Pool)
        self._pool: _Pool = connector.pools[":default"]
        self._client = HTTPClient(connector)

    @property
    def connections_in_use(self) -> int:
        """Number of connections with a request or stream in progress."""
        return self._pool.in_use

    async def request(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> BufferedResponse:
        """Send a request and return the response; it is never retried.

        Parameters
        ----------
        method, path, body, headers
            Parts of the request.
        timeout
            Maximum time in seconds until the whole response has been read.

        Raises
        ------
        HttpError
            If no complete response is received.
        """
        flag = _WriteFlag()
        token = _write_flag.set(flag)
        count_before = _cancellation_count()
        try:
            async with asyncio.timeout(timeout):
                response = await self._send(method, path, body, headers, stream=False)
                return await _read_response(response)
        except _FAILURES as error:
            detail = f"{method} {self.address}{path}: {error!r}"
            raise HttpError(detail, flag.written) from None
        finally:
            _write_flag.reset(token)
            _reraise_cancellation(count_before)

    async def open_stream(
        self,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> "HttpStream | BufferedResponse":
        """Send a POST request; return a stream if the status is 200, else the complete response.

        Parameters
        ----------
        path, body, headers
            Parts of the request.
        timeout
            Maximum time in seconds until the response headers, and the body of a response with
            another status, have been read.

        Raises
        ------
        HttpError
            If the response is not read to that point in time, or the connection fails.
        """
        flag = _WriteFlag()
        token = _write_flag.set(flag)
        count_before = _cancellation_count()
        try:
            async with asyncio.timeout(timeout):
                response = await self._send("POST", path, body, headers, stream=True)
                if response.status_code != 200:
                    return await _read_response(response)
                return HttpStream(response, f"{self.address}{path}")
        except _FAILURES as error:
            raise HttpError(f"POST {self.address}{path}: {error!r}", flag.written) from None
        finally:
            _write_flag.reset(token)
            _reraise_cancellation(count_before)

    async def close(self) -> None:
        """Close every connection."""
        await self._client.aclose()

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        stream: bool,
    ) -> HttpResponse:
        return await self._client.request(
            f"http://{self.address}{path}",
            method,
            headers=dict(headers or {}),
            data=body or None,
            stream=stream,
        )


class HttpStream:
    """Body of a response, read while it is received.

    Parameters
    ----------
    response
        Response of the HTTP library whose body has not been read.
    target
        Address and path of the request, for error messages.
    """

    def __init__(self, response: HttpResponse, target: str) -> None:
        self._response = response
        self._target = target
        self._last_read = 0.0
        self._idle_timer: asyncio.TimerHandle | None = None

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body in chunks; raise ``HttpError`` if the stream breaks.

        Closing the generator before the end of the body closes the connection.
        """
        loop = asyncio.get_running_loop()
        self._last_read = loop.time()
        self._idle_timer = loop.call_later(STREAM_IDLE_TIMEOUT_SECONDS, self._check_idle)
        try:
            async with aclosing(self._response.read_chunks()) as chunks:
                async for chunk in chunks:
                    self._last_read = loop.time()
                    yield chunk
        except _FAILURES as error:
            raise HttpError(f"{self._target}: {error!r}", True) from None
        finally:
            self._idle_timer.cancel()
            await self._response.aclose()

    async def close(self) -> None:
        """Release the connection; it is closed unless the body was read to its end."""
        await self._response.aclose()

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._last_read + STREAM_IDLE_TIMEOUT_SECONDS - loop.time()
        if remaining > 0:
            self._idle_timer = loop.call_later(remaining, self._check_idle)
        elif self._response._connection is not None:
            self._response._connection.close()


def _cancellation_count() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task is not None else 0


def _reraise_cancellation(count_before: int) -> None:
    """Raise ``CancelledError`` if the library suppressed a cancellation of the task during a call.

    ``asyncio.wait_for`` of Python 3.11, which the library uses, returns instead of raising when
    the awaitable finishes in the same iteration of the event loop as the cancellation. Without
    this check the cancelled task would never end.
    """
    if _cancellation_count() > count_before:
        raise asyncio.CancelledError


async def _read_response(response: HttpResponse) -> BufferedResponse:
    try:
        body = await response.content()
    finally:
        await response.aclose()
    headers = {name.lower(): value for name, value in response.raw_headers}
    header_bytes = sum(len(name) + len(value) + 4 for name, value in response.raw_headers)
    process_traffic.http_bytes_received += header_bytes + len(body)
    return BufferedResponse(response.status_code, body, headers)
