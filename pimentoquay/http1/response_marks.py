"""Tell the response to an exchange from copies of earlier responses on its connection.

A faulty server may write a response a second time, when the connection carries another request. A
response belongs to an exchange only if no earlier exchange on the connection can have had it:

- Most exchanges have a mark, such as a request id, which their response repeats. A connection
  carries each mark once, so a response with the mark of the exchange is its own. One without any
  mark is its own only if it is the first on the connection, which is closed afterwards.
- The response to an exchange without a mark has none. What must not be taken for it is excluded by
  what responses name, each of which a connection names once, by an exchange with a mark after a
  response that must not come again, before which a copy of it is discarded, or by a connection to
  itself.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from pimentoquay.http1.headers import HeaderList

__all__ = ["ConnectionUse", "ResponseMark", "ResponseMarks"]

MAX_MARKS = 256
"""Number of marks after which a connection is not used again, which bounds its memory."""


class ConnectionUse(Enum):
    """Which connections an exchange may use."""

    SHARED = "new ones and those of earlier exchanges"
    ALONE = "a new one, which is closed afterwards"


@dataclass(frozen=True)
class ResponseMark:
    """Mark by which the response to an exchange is known.

    Parameters
    ----------
    read
        Returns the mark in the headers of a response, or None.
    value
        The mark of the exchange, or None if its response has none.
    use
        Which connections the exchange may use.
    """

    read: Callable[[HeaderList], str | None]
    value: str | None = None
    use: ConnectionUse = ConnectionUse.SHARED


class ResponseMarks:
    """Marks of the exchanges that one connection has carried.

    Example
    -------
    >>> marks = ResponseMarks()
    >>> mark = ResponseMark(lambda headers: headers[0][1].decode() if headers else None, "a")
    >>> marks.may_carry(mark)
    True
    >>> marks.begin(mark)
    >>> marks.is_own(((b"Id", b"b"),)), marks.is_own(((b"Id", b"a"),))
    (False, True)
    >>> marks.may_carry(mark)
    False
    """

    def __init__(self) -> None:
        self._awaited: ResponseMark | None = None
        self._carried: set[str] = set()
        self._exchanges = 0
        self._is_unmarked = False
        self._needs_marks = False

    @property
    def may_go_on(self) -> bool:
        """Whether the connection may carry another exchange at all."""
        is_alone = self._awaited is not None and self._awaited.use is ConnectionUse.ALONE
        return not (is_alone or self._is_unmarked) and len(self._carried) < MAX_MARKS

    def may_carry(self, mark: ResponseMark | None) -> bool:
        """Return whether the response to an exchange can be told from all earlier ones."""
        if mark is None or self._exchanges == 0:
            return True
        if mark.use is ConnectionUse.ALONE:
            return False
        if mark.value is None:
            return not self._needs_marks
        return mark.value not in self._carried

    def begin(self, mark: ResponseMark | None) -> None:
        """Await the response to another exchange; without a mark, any response is its own."""
        self._awaited = mark
        self._exchanges += 1
        if mark is not None and mark.value is not None:
            self._carried.add(mark.value)

    def is_own(self, headers: HeaderList) -> bool:
        """Return whether a response with these headers belongs to the current exchange."""
        awaited = self._awaited
        if awaited is None:
            return True
        found = awaited.read(headers) or None
        if found == awaited.value:
            self._needs_marks = self._needs_marks and found is None
            return True
        self._is_unmarked = found is None and self._exchanges == 1
        return self._is_unmarked

    def claim(self, name: str) -> bool:
        """Return whether a response is the first on its connection that has the given name."""
        is_first = name not in self._carried
        self._carried.add(name)
        return is_first

    def require_marks(self) -> None:
        """Carry an exchange with a mark next; the copy of a response precedes the next one."""
        self._needs_marks = True
