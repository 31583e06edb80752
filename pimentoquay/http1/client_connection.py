"""One connection to a backend server, its parser and what may be kept of its responses.

Nothing that a server sends without end fills the memory: headers, responses to other requests and
data that nobody has read yet are bounded, and what cannot be a response closes the connection. A
read may hold thousands of small chunks or other items, so as many of them are handled at once as
one turn allows, and the rest in turns between passes of the event loop, while reading is paused.
"""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import Any

import h11

from pimentoquay.http1.buffered import SharedBufferProtocol
from pimentoquay.http1.exchange_times import ExchangeWatch, ReusePolicy
from pimentoquay.http1.headers import HeaderList
from pimentoquay.http1.request_writer import RequestWriter, without_body
from pimentoquay.http1.response_items import items_of, length_of
from pimentoquay.http1.response_marks import ResponseMark, ResponseMarks
from pimentoquay.http1.system_state import is_quiet
from pimentoquay.kernel.errors import HttpError, PathLostError, UnsendableError
from pimentoquay.kernel.turns import ITEMS_PER_TURN, TurnQueue

__all__ = ["ClientConnection", "ExchangeWatch", "ReusePolicy"]

MAX_RESPONSE_HEADER_BYTES = 48 * 1024
"""Maximum size of the status line and headers of a response, in bytes; requests may have 16 KB.

With 64 KB, twenty connections to engines that send without end took more than the 2 MB allowed.
"""

USER_TIMEOUT_MILLISECONDS = 2000
"""Time in ms after which the system resets a connection with unacknowledged written bytes."""

READ_AHEAD_BYTES = 32 * 1024
"""Number of buffered body bytes above which reading from the connection is paused."""

SYSTEM_READ_BYTES = 64 * 1024
"""Size that the system's receive buffer is asked to have; the system takes twice as much.

Without it, the buffer grows to 6 MB for a server that sends ahead of a slow reader.
"""

MAX_DISCARDED_BYTES = 64 * 1024
"""Maximum size of responses to other requests that are discarded before the own one, in bytes."""

MAX_DISCARDED_RESPONSES = 16
"""Maximum number of responses to other requests that are discarded before the own one."""

MAX_INFORMATIONAL_RESPONSES = 16
"""Maximum number of responses with a status of 1xx before the final one."""

MAX_STATUS = 599
"""Maximum valid status of a response (RFC 9110, section 15); the parser allows up to 999."""


class ClientConnection(SharedBufferProtocol):
    """One connection of a pool, which carries at most one exchange at a time.

    ``via`` names the peer through which it was opened, or is empty. ``heard_at`` is the time at
    which something was last received or a request sent, and ``watch`` that of the exchange.
    ``marks`` tells its response from copies of earlier ones.

    Parameters
    ----------
    reuse
        Limits of the idle time within which it may be reused.
    now
        Returns the monotonic time in seconds.
    turns
        Continues the work that a read left over; all connections of a process share one. Without
        one, the connection has its own.
    """

    def __init__(
        self,
        reuse: ReusePolicy,
        now: Callable[[], float] = time.monotonic,
        turns: TurnQueue | None = None,
    ) -> None:
        self.on_lost: Callable[[ClientConnection], None] = lambda connection: None
        self.via = ""
        self.heard_at = 0.0
        self.watch: ExchangeWatch | None = None
        self._reuse = reuse
        self._now = now
        self._turns = turns
        self._turn_key = object()
        self._has_turn = False
        self._has_ended = False
        self._transport: Any = None
        self._http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEADER_BYTES)
        self._request: h11.Request | None = None
        self._writer = RequestWriter()
        self.marks = ResponseMarks()
        self._is_discarding = False
        self._discarded_bytes = self._discarded_responses = 0
        self._informational_responses = 0
        self._events: deque[Any] = deque()
        self._buffered_bytes = 0
        self._waiter: asyncio.Future[None] | None = None
        self._failure: str | None = None
        self._is_path_lost = False
        self._is_retired = False
        self._is_complete = False
        self._is_lost = False
        self._reusable_until = 0.0
        self._idle_since = 0.0

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended."""
        return self._is_lost

    @property
    def is_closing(self) -> bool:
        """Whether nothing can be sent any more."""
        return self._is_lost or bool(self._transport.is_closing())

    @property
    def is_quiet(self) -> bool:
        """Whether the server has neither closed the connection nor sent anything on it."""
        return is_quiet(self._transport)

    def connection_made(self, transport: Any) -> None:
        """Let the system reset the connection if written bytes are not acknowledged."""
        self._transport = transport
        self._writer.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SYSTEM_READ_BYTES)

    @property
    def turns(self) -> TurnQueue:
        """Queue in which also the reader of a response waits for its next turn."""
        if self._turns is None:
            self._turns = TurnQueue()
        return self._turns

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail a response that is not complete, once what has arrived of it is handled."""
        self._is_lost = True
        self._writer.drop()
        if self._request is not None and not self._is_complete:
            self._record_failure(f"the connection was lost: {exc!r}")
        self.on_lost(self)

    def eof_received(self) -> bool:
        """End a response whose end is that of the connection, if the request has been taken."""
        if self._request is not None and not self._is_complete:
            self._has_ended = True
            self._writer.record_end()
            self._handle_received()
        return False

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; bytes that belong to no request close the connection."""
        if self._request is None or self._is_complete or self._transport.is_closing():
            self.abort()
            return
        self.heard_at = self._now()
        self._http.receive_data(data)
        self._handle_received()
        if self._must_pause:
            self._transport.pause_reading()

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: HeaderList,
        body: bytes,
        mark: ResponseMark | None,
    ) -> None:
        """Write a complete request to the socket."""
        framing = ((b"Content-Length", str(len(body)).encode()),) if body else ()
        try:
            self._request = h11.Request(method=method, target=target, headers=[*headers, *framing])
            self.marks.begin(mark)
            self._is_complete = self._is_discarding = False
            self._discarded_bytes = self._discarded_responses = 0
            self._informational_responses = 0
            self.heard_at = self._now()
            self._writer.send(self._serialise(self._request, body), body)
        except h11.LocalProtocolError as error:
            raise UnsendableError(f"the request cannot be sent: {error}") from None

    def pause_writing(self) -> None:
        """Keep the rest of the request until the server has read more."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on with the rest of the request."""
        self._writer.resume()

    async def next_event(self) -> Any:
        """Return the next event of the response; ``HttpError`` if the connection has failed."""
        while not self._events:
            if self._failure is not None and not self._has_turn:
                raise self.error(self._failure, connection_lost=True)
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._buffered_bytes -= len(event.data)
            self._resume_reading()
        return event

    def error(self, detail: str, connection_lost: bool = False) -> HttpError:
        """Return an error; a request that was passed to the socket counts as written."""
        if self._is_path_lost:
            return PathLostError(detail, True)
        return HttpError(detail, self._request is not None, connection_lost)

    def is_reusable(self, now: float, max_idle_seconds: float | None) -> bool:
        """Return whether another request may be sent on this connection."""
        if self._transport.is_closing() or self._is_retired or now > self._reusable_until:
            return False
        return max_idle_seconds is None or now - self._idle_since <= max_idle_seconds

    def finish(self) -> bool:
        """Prepare the connection for another request; return whether it can be reused."""
        unsent = self._writer.unsent_bytes
        if not self._is_complete or self._events or unsent or self._transport.is_closing():
            return False
        if self._is_retired or not self.marks.may_go_on:
            return False
        if self._http.our_state is not h11.DONE or self._http.their_state is not h11.DONE:
            return False
        if self._http.trailing_data[0]:
            return False
        self._http.start_next_cycle()
        self._request = None
        self._idle_since = asyncio.get_running_loop().time()
        return self._reusable_until > self._idle_since

    def retire(self) -> None:
        """Send no other request on this connection; close it if it is idle."""
        self._is_retired = True
        if self._request is None:
            self.abort()

    def lose_path(self, detail: str) -> None:
        """Fail the exchange, as the path to the server is cut."""
        self._is_path_lost = True
        self._record_failure(detail)

    def abort(self) -> None:
        """Close the connection immediately; what has arrived and is not handled yet is dropped."""
        if self._has_turn:
            self.turns.discard(self._turn_key)
            self._has_turn = False
        if not self._transport.is_closing():
            self._transport.abort()

    def _serialise(self, request: h11.Request, body: bytes) -> bytes:
        """Pass a request to the parser, and return its head; the body is sent as it is."""
        head = self._http.send(request) or b""
        if body:
            self._http.send(h11.Data(data=body))
        self._http.send(h11.EndOfMessage())
        return head

    @property
    def _must_pause(self) -> bool:
        return self._has_turn or self._buffered_bytes > READ_AHEAD_BYTES

    def _resume_reading(self) -> None:
        if not self._must_pause and not self._is_lost:
            self._transport.resume_reading()

    def _handle_received(self) -> None:
        if not self._has_turn and self._handle_items():
            self._has_turn = True
            self.turns.add(self._turn_key, self._take_turn)

    def _take_turn(self) -> bool:
        """Go on with what a read left over; bytes that wait for their turn are no silence."""
        self.heard_at = self._now()
        self._has_turn = False
        try:
            self._has_turn = self._handle_items()
        except Exception:
            self.abort()
            raise
        if not self._has_turn:
            self._wake_reader()
            self._resume_reading()
        return self._has_turn

    def _handle_items(self) -> bool:
        """Handle as many items as one turn allows; return whether there may be more."""
        items = 0
        is_at_end = False
        try:
            while items < ITEMS_PER_TURN:
                event = self._http.next_event()
                if event is h11.NEED_DATA and self._has_ended and not is_at_end:
                    is_at_end = True
                    if not self._writer.is_cut:
                        self._http.receive_data(b"")
                        continue
                if not self._process_event(event):
                    break
                items += items_of(event)
            else:
                return True
        except h11.RemoteProtocolError as error:
            self._record_failure(f"not an answer: {error}")
            self._http = h11.Connection(h11.CLIENT)
            self.abort()
        if is_at_end and not self._is_complete:
            self._record_failure("the connection ended before the answer was whole")
        return False

    def _process_event(self, event: Any) -> bool:
        """Process one event of the response; return whether more may follow."""
        if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
            return False
        if isinstance(event, h11.InformationalResponse):
            self._informational_responses += 1
            if self._informational_responses > MAX_INFORMATIONAL_RESPONSES:
                raise h11.RemoteProtocolError("too many informational responses")
            return True
        if isinstance(event, h11.Response):
            if event.status_code > MAX_STATUS:
                raise h11.RemoteProtocolError(f"status {event.status_code}")
            self._is_discarding = not self.marks.is_own(tuple(event.headers.raw_items()))
        if self._is_discarding:
            return self._discard_event(event)
        if isinstance(event, h11.Response):
            self._set_reuse_deadline(tuple(event.headers.raw_items()))
        elif isinstance(event, h11.Data):
            self._add_data(event.data)
        else:
            self._is_complete = True
        if not isinstance(event, h11.Data):
            self._events.append(event)
        self._wake_reader()
        return not self._is_complete

    def _add_data(self, data: bytes) -> None:
        """Add data of the body, joined with what nobody has read yet."""
        self._buffered_bytes += len(data)
        last = self._events[-1] if self._events else None
        unread: Any = last.data if isinstance(last, h11.Data) else None
        if unread is not None and len(unread) + len(data) <= READ_AHEAD_BYTES:
            unread.extend(data)
        else:
            unread = bytearray(data)
            self._events.append(h11.Data(data=unread))

    def _discard_event(self, event: Any) -> bool:
        """Discard an event of a response to another request.

        At its end, start a new parser. It accepts a response only after a request, so the request
        is serialised for it again without its body, and without being written to the socket.
        """
        if isinstance(event, h11.Response):
            self._discarded_responses += 1
            self._discarded_bytes += sum(map(length_of, event.headers.raw_items()))
        elif isinstance(event, h11.Data):
            self._discarded_bytes += len(event.data)
        if self._discarded_responses > MAX_DISCARDED_RESPONSES:
            raise h11.RemoteProtocolError("too many answers to other requests")
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            raise h11.RemoteProtocolError("the answers to other requests are too long")
        if isinstance(event, h11.EndOfMessage):
            rest, closed = self._http.trailing_data
            if self._http.their_state is not h11.DONE or closed:
                raise h11.RemoteProtocolError("only an answer to another request came")
            self._http = h11.Connection(h11.CLIENT, MAX_RESPONSE_HEADER_BYTES)
            assert self._request is not None
            self._serialise(without_body(self._request), b"")
            if rest:
                self._http.receive_data(rest)
        return True

    def _set_reuse_deadline(self, headers: HeaderList) -> None:
        """Set the time until which the connection may be reused, from the response headers."""
        seconds = self._reuse.idle_seconds(headers)
        self._reusable_until = asyncio.get_running_loop().time() + seconds

    def _record_failure(self, detail: str) -> None:
        if self._failure is None:
            self._failure = detail
        self._wake_reader()

    def _wake_reader(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
