"""A request as the server passes it to its handler."""

from dataclasses import dataclass

from pimentoquay.http1.headers import HeaderList

__all__ = ["HttpRequest"]


@dataclass(frozen=True)
class HttpRequest:
    """A complete request; ``received_at`` is the event loop time of its first byte, in seconds."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: bytes
    received_at: float
