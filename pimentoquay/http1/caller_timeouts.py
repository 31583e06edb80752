"""Timeouts of a caller's connection: of heads, of bodies and of idle time.

What counts is what has arrived, not what has been read: a busy process may not have read a request
yet as its timeout is checked.
"""

import asyncio
import math
from abc import abstractmethod
from typing import TYPE_CHECKING

from pimentoquay.http1.caller_reading import CallerReading
from pimentoquay.http1.headers import HeaderList
from pimentoquay.http1.request import HttpRequest
from pimentoquay.http1.system_state import unread_bytes, unsent_bytes

if TYPE_CHECKING:
    from pimentoquay.http1.server import HttpServer

__all__ = ["CallerTimeouts"]

LINGER_SECONDS = 2.0
"""Time for which a closing connection is still read, so that the last response is not lost."""

CHECK_SECONDS = 1.0
"""Interval at which the timeouts of a connection are checked."""


class CallerTimeouts(CallerReading):
    """Base of a connection that is closed when its caller sends nothing for too long.

    Times are those of the event loop, in seconds.
    """

    def __init__(self, server: "HttpServer") -> None:
        super().__init__(server.room)
        self.server = server
        self._limits = server.limits()
        self._task: asyncio.Task[None] | None = None
        self._request: HttpRequest | None = None
        self._has_turn = False
        self._turn_at = -math.inf
        self._first_byte_at: float | None = None
        self._last_activity_at = self._loop.time()
        self._answered_at = -math.inf
        self._unsent = 0.0  # Infinite if an answer has not been looked at since it was written.
        self._timer: asyncio.TimerHandle | None = None

    @property
    def _has_arrived(self) -> bool:
        """Whether bytes that will be read next have arrived."""
        return not self._is_reading_paused and unread_bytes(self._transport) > 0

    @property
    @abstractmethod
    def _waits_to_send(self) -> bool:
        """Whether the next request has to wait until the caller has read more."""

    @abstractmethod
    def _reject(self, status: int, detail: str, headers: HeaderList = ()) -> None:
        """Refuse what is being read, and close the connection."""

    def _close_idle(self) -> None:
        """Close a connection without a request, unless one has arrived.

        The system resets the connection if a request crosses its end, so that its caller knows
        that it was not read. A response that was sent a moment ago could be lost by that, so the
        reset comes later then.
        """
        if self._closing or self._has_arrived:
            return
        is_recent = self._loop.time() - self._answered_at < LINGER_SECONDS
        if is_recent or unsent_bytes(self._transport):
            self._close_gracefully()
            return
        self._closing = True
        self._drop_unread()
        self._end_account()
        self._transport.close()

    @abstractmethod
    def _close_gracefully(self) -> None:
        """Close for writing, and later as a whole, so that the last response is not lost."""

    @abstractmethod
    def _drop_unread(self) -> None:
        """Forget what was read of a request."""

    def _schedule_timeout_check(self) -> None:
        self._timer = self._loop.call_later(CHECK_SECONDS, self._check_timeouts)

    def _check_timeouts(self) -> None:
        self._schedule_timeout_check()
        self._update_reading()  # What was unsent may have been sent meanwhile.
        if self._task is not None or self._closing or self._waits_for_room:
            return
        now = self._loop.time()
        self._count_delivery(now)
        if self._first_byte_at is not None and not self._waits_to_send:
            overdue = self._overdue_part(self._first_byte_at, now)
            if overdue and not self._has_arrived:
                self._reject(408, overdue)
        elif self._is_held_too_long(now) and not self._has_arrived:
            if self._first_byte_at is None:
                self._close_idle()
            else:
                self.server.unanswered.record("behind_unread")
                self._close_gracefully()

    def _count_delivery(self, now: float) -> None:
        """Count as activity that the caller has taken more of its answers since the last look.

        An answer that has been taken when it is looked at first counts from when it was written.
        """
        if not self._unsent:
            return
        unsent, is_first = unsent_bytes(self._transport), self._unsent == math.inf
        if unsent < self._unsent and (unsent or not is_first):
            self._last_activity_at = now
        self._unsent = unsent

    def _overdue_part(self, began_at: float, now: float) -> str:
        """Return what of a request did not arrive in time, or an empty text."""
        if self._request is not None and now - began_at > self._patience:
            return "the body did not arrive while its caller waits"
        if self._has_turn:
            return ""
        limits = self.server.limits()
        if self._request is None:
            is_over = now - max(began_at, self._turn_at) > limits.header_seconds
            return "the headers did not arrive in time" if is_over else ""
        idle_seconds = max(self._limits.idle_seconds, limits.idle_seconds)
        is_over = now - max(self._last_activity_at, self._turn_at) > idle_seconds
        return "the body did not arrive in time" if is_over else ""

    def _is_held_too_long(self, now: float) -> bool:
        """Whether a caller has neither sent a request nor taken answers for too long."""
        idle_since = max(self._last_activity_at, self._turn_at)
        return not self._has_turn and now - idle_since > self.server.idle_limit(idle_since, now)

    @property
    def _patience(self) -> float:
        """Time in seconds that the caller waits for its answer, as its request says."""
        assert self._request is not None
        return self.server.patience(self._request.headers)
