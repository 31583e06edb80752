"""One connection of a caller to the HTTP server."""

import asyncio
import contextlib
import math
from dataclasses import replace
from typing import TYPE_CHECKING, Any

import h11

from pimentoquay.http1.caller_timeouts import LINGER_SECONDS
from pimentoquay.http1.head_reading import HeadReading
from pimentoquay.http1.headers import HeaderList, find_headers, has_single_length
from pimentoquay.http1.raw_head import RawHead
from pimentoquay.http1.reply import Reply
from pimentoquay.http1.request import HeadRefusal, HttpRequest, request_of
from pimentoquay.http1.request_body import RequestBody
from pimentoquay.http1.system_state import close_when_sent, reset_on_close, unsent_bytes
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.turns import ITEMS_PER_TURN

if TYPE_CHECKING:
    from pimentoquay.http1.server import HttpServer

__all__ = ["ServerConnection"]

MAX_UNSENT_BYTES = 256 * 1024
"""Number of unsent bytes of answers above which the next request waits until they are read."""

HEAD_PIECE_BYTES = 16 * 1024
"""Number of bytes of heads that the parser gets at a time, and may hold beyond a request."""

BODY_PIECE_BYTES = 64 * 1024
"""Number of bytes of a body that the parser gets at a time, and may hold beyond a request."""

ITEMS_AT_ONCE = 8
"""Number of items that are handled as soon as they are read: those of a request in few parts."""

MAX_BODY_FRAMING = 8
"""Ratio of a body's bytes on the wire to the largest body; chunks of one byte need 6 times it."""

MAX_DISCARDED_BYTES = 128 * 1024
"""Number of bytes of a refused body that are discarded at most; that many may have been read."""

NO_ROOM_HEADERS = ((b"Retry-After", b"1"),)
STOP_HEADERS = ((b"Retry-After", b"0"),)


class ServerConnection(HeadReading):
    """One connection of a caller, which serves one request at a time.

    Received bytes wait in a buffer of bounded size. Few items, such as chunks, are handled as soon
    as they arrive, and the rest in turns. A request that was read while the one before it was
    served begins with a turn, so a caller that sends requests ahead takes turns with the others.
    """

    def __init__(self, server: "HttpServer") -> None:
        super().__init__(server)
        self.writable = asyncio.Event()
        self.writable.set()
        self._expires_at = math.inf
        self._refusal: HeadRefusal | None = None
        self._is_new = True

    @property
    def is_busy(self) -> bool:
        """Whether a request is served or has arrived, or its caller still takes the answer."""
        if self._task is not None or self._has_turn:
            return True
        is_asked = self._first_byte_at is not None and not self._waits_to_send
        if not self._closing and (is_asked or self._has_arrived):
            return True
        return self._loop.time() < self._expires_at and unsent_bytes(self._transport) > 0

    @property
    def has_read_ahead(self) -> bool:
        """Whether bytes of further requests have been read or have arrived."""
        return bool(self._unread or self._http.trailing_data[0]) or self._has_arrived

    def connection_made(self, transport: Any) -> None:
        """Begin to serve the connection."""
        self._transport = transport
        self.server.connections.add(self)
        if self.server.is_stopped:
            transport.abort()
            return
        self._schedule_timeout_check()
        self._open_account()
        self._is_new = False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task of the request."""
        self.server.connections.discard(self)
        if self._task is None and self._first_byte_at is not None and not self._closing:
            self.server.unanswered.record("lost", error=repr(exc))
        self._closing = True
        self._drop_unread()
        self._close_account()
        if self._timer is not None:
            self._timer.cancel()
        self.writable.set()
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Cancel the task of the request: a caller that sends no more is taken to have left."""
        if self._task is not None:
            self._task.cancel()
        return False

    def pause_writing(self) -> None:
        """Let writers wait until the caller has read more."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._update_reading()
        self.writable.set()
        if self._task is None and self._first_byte_at is not None and not self._closing:
            self._plan_turn()

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes that were read into the buffer."""
        self._last_activity_at = self._loop.time()
        if self._closing:
            return
        if self._first_byte_at is None and self._task is None:
            self._begin_request()
        self._take_buffer(nbytes)
        is_next = self._task is None and not self._has_turn and not self._waits_to_send
        if is_next and self._handle_items(ITEMS_AT_ONCE):
            self._plan_turn()
        self._update_reading()

    def emit(self, event: Any) -> None:
        """Send one event of the response, or nothing if the connection is closing."""
        if self._transport.is_closing():
            return
        data = self._http.send(event)
        if data:
            self._transport.write(data)
            self._update_account()

    def abort(self) -> None:
        """Close the connection at once, and so that no response is taken for complete."""
        if not self._closing and (self._unread or self._http.trailing_data[0]):
            self.server.unanswered.record("behind_cut")
        self._closing = True
        if self._http.their_http_version == b"1.0":
            # The end of a connection marks the end of an HTTP/1.0 response, so only a reset shows
            # that the response is incomplete.
            reset_on_close(self._transport)
        self._transport.abort()

    def close_if_idle(self) -> None:
        """Close the connection if no request has begun or arrived."""
        if self._task is None and self._request is None and self._first_byte_at is None:
            self._close_idle()

    def stop(self) -> None:
        """Refuse a request that is being read, and read nothing more; one in progress goes on."""
        if self._task is None and self._first_byte_at is not None and not self._closing:
            self._reject(503, "the server stops", STOP_HEADERS)
        self._reads_no_more = True
        self._update_reading()

    @property
    def _waits_to_send(self) -> bool:
        """Whether the next request has to wait until the caller has read more."""
        return self._request is None and self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES

    def _plan_turn(self) -> None:
        if not self._waits_to_send:
            self._has_turn = True
            self.server.turns.add(self, self._take_turn)

    def _take_turn(self) -> bool:
        self._has_turn = False
        if self._closing or self._task is not None:
            return False
        self._turn_at = self._loop.time()
        try:
            self._has_turn = self._handle_items(ITEMS_PER_TURN)
        except Exception:
            self.abort()
            raise
        self._update_reading()
        return self._has_turn

    def _handle_items(self, count: int) -> bool:
        """Handle up to a number of items, and return whether there may be more."""
        try:
            return self._handle_events(count)
        except h11.RemoteProtocolError as error:
            # What was read is not logged, as it may hold the key of a caller.
            self._reject(error.error_status_hint, str(error).partition(": bytearray")[0])
            return False

    def _handle_events(self, count: int) -> bool:
        left = count
        while left > 0:
            if self._task is not None or self._closing or not self._has_claim():
                return False
            cost, raw = 1, b""
            if self._request is None:
                cost = self._head.items
                if cost > left < ITEMS_PER_TURN:
                    return True
                if self._refuse_many_headers() or not self._has_room_for_head():
                    return False
                raw = self._raw_head()
            left -= cost
            if not self._handle_event(self._http.next_event(), raw):
                return False
        return self._task is None and not self._closing

    def _handle_event(self, event: Any, raw: bytes) -> bool:
        """Handle what the parser has found, and return whether it may find more.

        ``raw`` holds the bytes of a head that the parser had not read yet.
        """
        if event is h11.NEED_DATA:
            if not self._unread:
                self._await_body()
                return False
            self._feed_parser()
        elif event is h11.PAUSED:
            return False
        elif isinstance(event, h11.Request):
            self._start_request(event, raw)
        elif isinstance(event, h11.Data):
            self._append_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._start_handler()
        else:
            self._transport.close()
            return False
        return True

    def _feed_parser(self) -> None:
        if self._request is None:
            piece = self._take_unread(HEAD_PIECE_BYTES)
            self._head.add(piece)
            if self._refuse_many_headers():
                return
        else:
            most = MAX_BODY_FRAMING * self._limits.body_bytes
            if self._body.wire_bytes > most:
                self._reject(413, f"over {most} bytes for the chunks of a body")
                return
            piece = self._take_unread(BODY_PIECE_BYTES)
            self._body.wire_bytes += len(piece)
        self._http.receive_data(piece)

    def _drop_unread(self) -> None:
        self._unread.clear()
        self._head, self._parsed_bytes = RawHead(), 0
        self._request = None
        self._body = RequestBody()
        self._has_turn = False
        self.server.turns.discard(self)
        self._update_reading()

    def _start_request(self, request: h11.Request, raw: bytes) -> None:
        self._parsed_bytes, self._head = self._head.size, RawHead()
        if not raw or not has_single_length(raw):
            self._reject(400, "more than one length of a body")
            return
        lengths = find_headers(tuple(request.headers.raw_items()), b"content-length")
        if lengths and int(lengths[0]) > self._limits.body_bytes:
            self._reject(413, f"a body of {lengths[0].decode()} bytes")
            return
        self._body.announced = int(lengths[0]) if lengths else None
        received_at = self._first_byte_at or self._last_activity_at
        self._request = request_of(request, b"", received_at)
        self._refusal = self.server.refuse_head(self._request)

    def _has_claim(self) -> bool:
        """Return whether what is next of a body has room."""
        if self._request is None or self._refusal is not None:
            return True
        return self._has_room_for_body(self._limits.body_bytes)

    def _await_body(self) -> None:
        """Ask for the rest of a body, unless its request is refused and it is large."""
        is_expected = self._http.they_are_waiting_for_100_continue
        refusal = self._refusal
        if refusal is not None and (self._body.is_large or is_expected):
            self._reject(refusal.status, "refused by its head", refusal.headers)
        elif is_expected:
            self.emit(h11.InformationalResponse(status_code=100, headers=[]))

    def _append_body(self, data: bytes | bytearray) -> None:
        if self._refusal is not None:
            if self._body.wire_bytes > MAX_DISCARDED_BYTES:
                self._await_body()
            return
        self._body.append(data)
        self._count_progress(len(data))
        if self._body.size > self._limits.body_bytes:
            self._reject(413, f"a body over {self._limits.body_bytes} bytes")

    def _start_handler(self) -> None:
        assert self._request is not None
        request = replace(self._request, body=self._body.join())
        self._settle(len(request.body))
        refusal, self._refusal = self._refusal, None
        self._request, self._body = None, RequestBody()
        self._task = self._loop.create_task(self._run_handler(request, refusal))

    async def _run_handler(self, request: HttpRequest, refusal: HeadRefusal | None) -> None:
        reply = Reply(self)
        try:
            if refusal is not None:
                reply.send(refusal.status, refusal.headers, b"")
            else:
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
            self._last_activity_at = self._answered_at = self._loop.time()
            self._unsent = math.inf
            del request
            self._release()
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
            self._head = RawHead(self._http.trailing_data[0])
            if self._head.length or self._unread:
                self._begin_request()
                self._plan_turn()
        else:
            self._close_gracefully()

    def resume_for_room(self) -> None:
        """Read on, as there is room for what comes next."""
        self._last_activity_at = self._loop.time()
        if self._task is None and not self._closing and self._first_byte_at is not None:
            self._plan_turn()
        self._update_reading()

    def refuse_for_room(self, is_stalled: bool, detail: str) -> None:
        """Refuse a request for which there is no room, or whose room is needed by others."""
        if self._closing or self._task is not None:
            return
        if is_stalled:
            self._reject(408, f"its room is needed: {detail}")
        else:
            self._reject(503, f"no room: {detail}", NO_ROOM_HEADERS)

    def end_for_others(self) -> None:
        """Close the connection at once, as its descriptor is needed."""
        if self._task is None:
            is_asked = self._first_byte_at is not None or self._is_new or self._has_arrived
            if not self._closing and is_asked:
                self._reject(503, "too many connections", NO_ROOM_HEADERS)
            self._transport.close()

    def _begin_request(self) -> None:
        self._first_byte_at = self._loop.time()
        self._begin_account()

    def _reject(self, status: int, detail: str, headers: HeaderList = ()) -> None:
        logger.bind(status=status, detail=detail).info("invalid request rejected")
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = (*headers, (b"Content-Length", b"0"), (b"Connection", b"close"))
            self.emit(h11.Response(status_code=status, headers=list(headers)))
            self.emit(h11.EndOfMessage())
        self._close_gracefully(reads_on=True)

    def _close_gracefully(self, reads_on: bool = False) -> None:
        """Close for writing, and later as a whole, so that the last response is not lost.

        What is left of a refused request is read, so that its caller comes to read the refusal.
        """
        if self._closing:
            return
        self._closing = True
        self._reads_no_more = not reads_on
        self._drop_unread()
        self._end_account()
        if self._transport.can_write_eof() and not self._transport.is_closing():
            with contextlib.suppress(OSError):  # A reset that has not been read yet.
                self._transport.write_eof()
        self._loop.call_later(LINGER_SECONDS, close_when_sent, self._transport, self._expires_at)
