"""HTTP to one address, on connections that are never shared by mistake.

The HTTP library keeps a connection for the next request also when a request was cancelled
before its answer came, and the next request would then read that answer. It also repeats
requests of some methods by itself. Neither may happen here, so the connection and the pool
are of this module: a connection is closed unless its exchange ended well, nothing is repeated,
and a failure tells whether a byte of the request was written.
"""

import asyncio
from collections.abc import AsyncGenerator, Mapping
from contextlib import aclosing
from contextvars import ContextVar
from dataclasses import dataclass
from typing import Any

from aiosonic import HTTPClient, HttpResponse
from aiosonic.connection import Connection
from aiosonic.connectors import TCPConnector
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout
from aiosonic.pools import BasePool, PoolConfig
from aiosonic.timeout import Timeouts

from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.traffic import process_traffic

__all__ = ["HttpAnswer", "HttpError", "HttpPeer"]

CONNECT_SECONDS = 1.0
"""How long opening a connection may take."""

IDLE_MILLISECONDS = 30_000
"""How long an unused connection is kept."""

DEFAULT_CONNECTIONS = 128
"""The most connections to one address; more requests at once fail without being sent."""

STREAM_IDLE_SECONDS = 10.0
"""How long a stream may bring nothing before it counts as lost."""

_TIMEOUTS = Timeouts(CONNECT_SECONDS, None, None, None)
_FAILURES = (AiosonicError, OSError, EOFError, ValueError, TimeoutError)


@dataclass(frozen=True)
class HttpAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass
class _WriteMark:
    written: bool = False


_mark: ContextVar[_WriteMark | None] = ContextVar("write_mark", default=None)


class _Connection(Connection):
    """A connection that is used again only after an exchange that ended well."""

    def reuse(self, urlparsed: Any, verify: bool) -> bool:
        if self.reader is None or self.reader.at_eof():
            return False
        return super().reuse(urlparsed, verify)

    def write(self, data: bytes) -> None:
        mark = _mark.get()
        if mark is not None:
            mark.written = True
        process_traffic.http_bytes_sent += len(data)
        super().write(data)

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)


class _Pool(BasePool):
    """Opens connections on demand up to a limit; nobody waits for one."""

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
    """Requests to one address.

    Parameters
    ----------
    address
        The ``host:port`` to connect to.
    connections
        The most connections at once.
    reuse
        Whether a connection may serve several requests. Without it no request can meet a
        connection that the server has just given up, which matters where a request that may
        have been read must not be sent again.
    """

    def __init__(
        self, address: str, connections: int = DEFAULT_CONNECTIONS, reuse: bool = True
    ) -> None:
        self.address = address
        limit = None if reuse else 0
        config = PoolConfig(connections, limit, IDLE_MILLISECONDS)
        connector = TCPConnector({":default": config}, _TIMEOUTS, _Connection, _Pool)
        self._pool: _Pool = connector.pools[":default"]
        self._client = HTTPClient(connector)

    @property
    def connections_in_use(self) -> int:
        """The connections that carry a request or a stream now."""
        return self._pool.in_use

    async def request(
        self,
        method: str,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Send one request once and return the answer; ``HttpError`` if none came."""
        mark = _WriteMark()
        token = _mark.set(mark)
        cancellations = _cancellations()
        try:
            async with asyncio.timeout(timeout):
                response = await self._send(method, path, body, headers, stream=False)
                return await _whole(response)
        except _FAILURES as error:
            detail = f"{method} {self.address}{path}: {error!r}"
            raise HttpError(detail, mark.written) from None
        finally:
            _mark.reset(token)
            _raise_swallowed(cancellations)

    async def open_stream(
        self,
        path: str,
        timeout: float,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> "HttpStream | HttpAnswer":
        """Post a request; return a stream if its status is 200, else the whole answer."""
        mark = _WriteMark()
        token = _mark.set(mark)
        cancellations = _cancellations()
        try:
            async with asyncio.timeout(timeout):
                response = await self._send("POST", path, body, headers, stream=True)
                if response.status_code != 200:
                    return await _whole(response)
                return HttpStream(response, f"{self.address}{path}")
        except _FAILURES as error:
            raise HttpError(f"POST {self.address}{path}: {error!r}", mark.written) from None
        finally:
            _mark.reset(token)
            _raise_swallowed(cancellations)

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
    """The body of an answer as it arrives.

    Parameters
    ----------
    response
        The library's response, whose body has not been read.
    place
        Address and path, for errors.
    """

    def __init__(self, response: HttpResponse, place: str) -> None:
        self._response = response
        self._place = place
        self._last_read = 0.0
        self._watch: asyncio.TimerHandle | None = None

    async def chunks(self) -> AsyncGenerator[bytes, None]:
        """Yield the body; closing early closes the connection; ``HttpError`` if it breaks."""
        loop = asyncio.get_running_loop()
        self._last_read = loop.time()
        self._watch = loop.call_later(STREAM_IDLE_SECONDS, self._check_idle)
        try:
            async with aclosing(self._response.read_chunks()) as chunks:
                async for chunk in chunks:
                    self._last_read = loop.time()
                    yield chunk
        except _FAILURES as error:
            raise HttpError(f"{self._place}: {error!r}", True) from None
        finally:
            self._watch.cancel()
            await self._response.aclose()

    async def close(self) -> None:
        """Close the connection unless the body was read to its end."""
        await self._response.aclose()

    def _check_idle(self) -> None:
        loop = asyncio.get_running_loop()
        remaining = self._last_read + STREAM_IDLE_SECONDS - loop.time()
        if remaining > 0:
            self._watch = loop.call_later(remaining, self._check_idle)
        elif self._response._connection is not None:
            self._response._connection.close()


def _cancellations() -> int:
    task = asyncio.current_task()
    return task.cancelling() if task is not None else 0


def _raise_swallowed(before: int) -> None:
    """Raise a cancellation that came during a call and that the library did not pass on.

    ``asyncio.wait_for`` of Python 3.11, which the library uses, returns instead of raising when
    what it waits for ends in the same turn of the loop. The task would then run on for ever.
    """
    if _cancellations() > before:
        raise asyncio.CancelledError


async def _whole(response: HttpResponse) -> HttpAnswer:
    try:
        body = await response.content()
    finally:
        await response.aclose()
    headers = {name.lower(): value for name, value in response.raw_headers}
    header_bytes = sum(len(name) + len(value) + 4 for name, value in response.raw_headers)
    process_traffic.http_bytes_received += header_bytes + len(body)
    return HttpAnswer(response.status_code, body, headers)
