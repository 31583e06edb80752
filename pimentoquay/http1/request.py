"""A request as the server passes it to its handler."""

from dataclasses import dataclass, field

import h11

from pimentoquay.http1.headers import HeaderList

__all__ = ["HeadNote", "HeadRefusal", "HttpRequest", "request_of"]


class HeadNote:
    """What a handler keeps of its work for a request's head until it handles the request."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: object = None


@dataclass(frozen=True)
class HttpRequest:
    """A request; ``received_at`` is the event loop time of its first byte, in seconds.

    ``note`` is the same for a request without its body, as its head is examined, and for the
    complete one.

    Its representation shows no headers, as they may hold keys of callers.
    """

    method: bytes
    target: bytes
    headers: HeaderList = field(repr=False)
    body: bytes
    received_at: float
    note: HeadNote = field(default_factory=HeadNote, repr=False, compare=False)


@dataclass(frozen=True)
class HeadRefusal:
    """Refusal of a request by its head: status and headers of the answer, which has no body."""

    status: int
    headers: HeaderList = ()


def request_of(head: h11.Request, body: bytes, received_at: float) -> HttpRequest:
    """Return the request with a parsed head."""
    headers = tuple(head.headers.raw_items())
    return HttpRequest(bytes(head.method), bytes(head.target), headers, body, received_at)
