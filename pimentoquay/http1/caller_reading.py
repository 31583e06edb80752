"""What a caller's connection reads and holds, within the room that a budget has for it."""

import asyncio
import socket
from abc import ABC, abstractmethod
from typing import Any

from pimentoquay.http1.raw_head import RawHead
from pimentoquay.http1.request_body import RequestBody
from pimentoquay.http1.room import ClaimOutcome, RoomKeeper
from pimentoquay.http1.system_state import has_ended, unsent_bytes

__all__ = ["CallerReading"]

MAX_UNREAD_BYTES = 128 * 1024
"""Most bytes of a connection that wait for a turn or for the end of a request.

Reading pauses while they are more than half as many.
"""

MAX_UNCLAIMED_BYTES = 64 * 1024
"""Size of a body above which it needs a claim of room."""

CLOSE_CHECK_SECONDS = 0.1
"""Interval at which a caller that is not read is checked for having left."""

_buffer = memoryview(bytearray(MAX_UNREAD_BYTES))
"""Buffer into which all connections are read in turn."""


class CallerReading(asyncio.BufferedProtocol, ABC):
    """Base of a connection whose reading pauses while much is unread, or while it has no room.

    Without a budget, each connection has room for all that its limits allow.
    """

    def __init__(self, room: RoomKeeper | None) -> None:
        self._room = room
        self._account: Any = None
        self._transport: Any = None
        self._loop = asyncio.get_running_loop()
        self._unread = bytearray()
        self._head = RawHead()
        self._parsed_bytes = 0
        self._body = RequestBody()
        self._is_reading_paused = False
        self._is_check_planned = False
        self._waits_for_room = False
        self._closing = False
        self._reads_no_more = False

    @property
    def is_lost(self) -> bool:
        """Whether the connection has been closed, mostly by the caller."""
        return bool(self._transport.is_closing())

    @abstractmethod
    def refuse_for_room(self, is_stalled: bool, detail: str) -> None:
        """End the connection, whose room is needed or which gets none."""

    @abstractmethod
    def end_for_others(self) -> None:
        """Close the connection at once, as its descriptor is needed."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the next bytes are read."""
        size = MAX_UNREAD_BYTES - len(self._unread)
        if self._room is not None and self._account is not None:
            size = min(size, self._room.budget.readable(self._account))
        return _buffer[:size]

    def _take_buffer(self, count: int) -> None:
        self._unread += _buffer[:count]

    def _take_unread(self, count: int) -> bytes:
        piece = bytes(self._unread if len(self._unread) <= count else self._unread[:count])
        del self._unread[:count]
        return piece

    def _open_account(self) -> None:
        """Ask for room for the connection, for which another one may have to end."""
        if self._room is None:
            return
        budget = self._room.budget
        self._account, victim = budget.open(self, self._loop.time())
        sock = self._transport.get_extra_info("socket")
        options = (socket.SO_RCVBUF, socket.SO_SNDBUF) if budget.system_bytes else ()
        for option in options:
            sock.setsockopt(socket.SOL_SOCKET, option, budget.system_bytes // 2)
        self._transport.set_write_buffer_limits(high=budget.answer_bytes)
        if victim is not None:
            victim.end_for_others()

    def _end_account(self) -> None:
        """Give back all room; the connection still counts until it is lost."""
        if self._room is not None and self._account is not None:
            self._room.budget.end(self._account, self._loop.time())
            self._room.check_soon()

    def _close_account(self) -> None:
        if self._room is not None and self._account is not None:
            self._room.budget.close(self._account)
            self._account = None
            self._room.check_soon()

    def _begin_account(self) -> None:
        if self._room is not None and self._account is not None:
            self._room.budget.begin(self._account, self._loop.time())

    def _claim(self, size: int) -> ClaimOutcome:
        if self._room is None or self._account is None:
            return ClaimOutcome.GRANTED
        outcome = self._room.budget.claim(self._account, size, self._loop.time())
        self._waits_for_room = outcome is ClaimOutcome.WAITING
        if self._waits_for_room:
            self._room.check_soon()
        return outcome

    def _has_room_for_body(self, limit: int) -> bool:
        """Return whether a body has room; a large one claims it, by the limit if not announced."""
        announced = self._body.announced
        if (self._body.size if announced is None else announced) <= MAX_UNCLAIMED_BYTES:
            return True
        outcome = self._claim(limit if announced is None else announced)
        if outcome is ClaimOutcome.REFUSED:
            self.refuse_for_room(False, "many wait")
        return outcome is ClaimOutcome.GRANTED

    def _count_progress(self, size: int) -> None:
        if self._room is not None and self._account is not None:
            self._room.budget.progress(self._account, size, self._loop.time())

    def _settle(self, size: int) -> None:
        """Hold a request with a body of ``size`` bytes, and its head, until it is done."""
        size += self._parsed_bytes
        self._parsed_bytes = 0
        if self._room is not None and self._account is not None:
            self._room.budget.settle(self._account, size)

    def _release(self) -> None:
        if self._room is not None and self._account is not None:
            self._room.budget.release(self._account, self._loop.time())
            self._room.check_soon()

    def _update_account(self) -> bool:
        """Tell the budget what the connection holds; return whether it may be read."""
        if self._room is None or self._account is None:
            return True
        held = len(self._unread) + self._head.size + self._parsed_bytes
        if not (self._account.claimed and self._account.is_arriving):
            held += self._body.size
        unsent = self._transport.get_write_buffer_size()
        may_read = self._room.budget.update(self._account, held, unsent, self._loop.time())
        self._waits_for_room = not may_read
        if not may_read:
            self._room.check_soon()
        return may_read

    def _update_reading(self) -> None:
        """Pause reading while much is unread."""
        may_read = self._update_account()
        is_full = self._reads_no_more or not may_read or len(self._unread) > MAX_UNREAD_BYTES // 2
        if is_full and not self._is_reading_paused:
            self._is_reading_paused = True
            self._transport.pause_reading()
            if not self._is_check_planned:
                self._plan_check()
        elif self._is_reading_paused and not is_full:
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _plan_check(self) -> None:
        self._is_check_planned = True
        self._loop.call_later(CLOSE_CHECK_SECONDS, self._check_caller)

    def _check_caller(self) -> None:
        """Notice that the caller has left, which reading would show only after the unread bytes."""
        self._is_check_planned = False
        if not self._is_reading_paused or self._transport.is_closing():
            return
        is_sending_last = self._closing and unsent_bytes(self._transport) > 0
        if has_ended(self._transport) and not is_sending_last:
            self._transport.abort()
        else:
            self._plan_check()
