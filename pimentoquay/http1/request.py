"""A request as the server passes it to its handler."""

from dataclasses import dataclass, field

from pimentoquay.http1.headers import HeaderList

__all__ = ["HttpRequest"]


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
