"""A request as the server passes it to its handler."""

from dataclasses import dataclass, field

import h11

from pimentoquay.http1.headers import HeaderList

__all__ = ["HeadRefusal", "HttpRequest", "request_of"]


@dataclass(frozen=True)
class HttpRequest:
    """A complete request; ``received_at`` is the event loop time of its first byte, in seconds.

    Its representation shows no headers, as they may hold keys of callers.
    """

    method: bytes
    target: bytes
    headers: HeaderList = field(repr=False)
    body: bytes
    received_at: float


@dataclass(frozen=True)
class HeadRefusal:
    """Refusal of a request by its head: status and headers of the answer, which has no body."""

    status: int
    headers: HeaderList = ()


def request_of(head: h11.Request, body: bytes, received_at: float) -> HttpRequest:
    """Return the request with a parsed head."""
    headers = tuple(head.headers.raw_items())
    return HttpRequest(bytes(head.method), bytes(head.target), headers, body, received_at)
