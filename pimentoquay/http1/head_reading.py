"""Heads of a caller's requests: when one may be parsed, and when it is refused before that."""

from typing import TYPE_CHECKING

import h11

from pimentoquay.http1.caller_timeouts import CallerTimeouts

if TYPE_CHECKING:
    from pimentoquay.http1.server import HttpServer

__all__ = ["HeadReading"]

MAX_UNCLAIMED_LINES = 32
"""Number of header lines above which a head is parsed only if there is room; it takes 5 KB more."""


class HeadReading(CallerTimeouts):
    """Base of a connection that knows what a head will cost before it is parsed.

    The parser keeps the bytes of a head until then; here they are only measured.
    """

    def __init__(self, server: "HttpServer") -> None:
        super().__init__(server)
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes)

    def _refuse_many_headers(self) -> bool:
        """Refuse a head whose header lines are too many, and return whether they are."""
        if self._head.lines <= self._limits.header_lines:
            return False
        self._reject(431, f"over {self._limits.header_lines} header lines")
        return True

    def _has_room_for_head(self) -> bool:
        """Return whether a complete head may be parsed; one of few lines always may."""
        return self._head.lines <= MAX_UNCLAIMED_LINES or self._update_account()

    def _raw_head(self) -> bytes:
        """Return the bytes of a complete head that has not been parsed, or none."""
        return self._http.trailing_data[0][: self._head.length] if self._head.is_complete else b""
