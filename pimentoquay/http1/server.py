"""HTTP server for callers, with one request at a time per connection and one task per request.

The task of a request is cancelled as soon as its caller disconnects, so handlers must release
resources in ``finally`` blocks.
"""

import asyncio
import math
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pimentoquay.http1.headers import HeaderList
from pimentoquay.http1.reply import Reply
from pimentoquay.http1.request import HeadRefusal, HttpRequest
from pimentoquay.http1.room import RoomBudget, RoomKeeper
from pimentoquay.http1.server_connection import ServerConnection
from pimentoquay.http1.unanswered import UnansweredRequests
from pimentoquay.kernel.turns import TurnQueue

__all__ = ["HttpServer", "Reply", "ServerLimits"]

LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; a full queue drops SYN packets."""

ACCEPTED_AT_ONCE = 32
"""Most connections that are accepted in one pass of the event loop, before any can be refused; the
process needs as many spare descriptors."""

MAX_HEADER_LINES = 256
"""Most header lines of a request, if no other limit is set; clients send fewer than 50."""


@dataclass(frozen=True)
class ServerLimits:
    """Limits of requests: sizes in bytes, timeouts of reading and idle time in seconds.

    ``header_lines`` is the number of header lines above which a request is answered with 431.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    header_lines: int = MAX_HEADER_LINES


Handler = Callable[[HttpRequest, Reply], Awaitable[None]]


class HttpServer:
    """HTTP server for one address.

    Parameters
    ----------
    handler
        Awaited in a separate task for each request; it responds through the ``Reply``.
    limits
        Returns the limits currently in force.
    turns
        Continues what connections have sent beyond what is handled at once; by default a queue of
        this server's own.
    patience
        Returns the time that a caller waits for its answer, in seconds, by the headers of its
        request. A body that has not arrived by then is refused with 408.
    room
        Decides what the connections may hold together; without one, nothing but the limits binds.
    refuse_head
        Called with each request as soon as its head is complete, with an empty body. If it returns
        a refusal, the handler is not called, and the body is discarded. A body that is chunked or
        longer than 64 KiB, and has not arrived, is not read: the connection closes.
    idle_limit
        Returns the time in seconds for which a connection may be idle, by the times at which it
        became idle and at which it is asked; by default the limit in force.
    """

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], ServerLimits],
        turns: TurnQueue | None = None,
        patience: Callable[[HeaderList], float] = lambda headers: math.inf,
        room: RoomBudget | None = None,
        refuse_head: Callable[[HttpRequest], HeadRefusal | None] = lambda request: None,
        idle_limit: Callable[[float, float], float] | None = None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.turns = turns if turns is not None else TurnQueue()
        self.patience = patience
        self.room = RoomKeeper(room) if room is not None else None
        self.refuse_head = refuse_head
        self.idle_limit = idle_limit or (lambda idle_since, now: limits().idle_seconds)
        self.draining = False
        self.is_stopped = False
        self.connections: set[ServerConnection] = set()
        self.unanswered = UnansweredRequests()
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
        # asyncio sets TCP_NODELAY only on sockets that state their protocol.
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
        except OSError:
            sock.close()
            raise
        self._server = await loop.create_server(
            lambda: ServerConnection(self), sock=sock, backlog=ACCEPTED_AT_ONCE
        )
        sock.listen(LISTEN_BACKLOG)

    def drain(self) -> None:
        """Send ``Connection: close`` with the last response to what was read, and go on serving."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in tuple(self.connections):
            connection.close_if_idle()

    def stop(self) -> None:
        """Refuse what is being read, and read nothing more; requests in progress go on."""
        self.is_stopped = True
        for connection in tuple(self.connections):
            connection.stop()

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
