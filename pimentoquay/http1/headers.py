"""Lists of HTTP headers as sent: pairs of bytes in the original order and spelling."""

import re

__all__ = [
    "HeaderList",
    "end_to_end_headers",
    "find_header",
    "find_headers",
    "has_single_length",
]

HeaderList = tuple[tuple[bytes, bytes], ...]

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
"""Hop-by-hop headers (RFC 9110, section 7.6.1), and ``Content-Length``, which frames a body."""


_BODY_LENGTH_LINES = re.compile(
    rb"^(?:content-length|transfer-encoding)[ \t]*:([^\r\n]*)", re.I | re.M
)
"""Header lines that state the length of a body.

They are counted in the raw headers because the parser merges equal ones.
"""


def has_single_length(head: bytes | bytearray) -> bool:
    """Return whether the raw headers of a request state the length of its body at most once."""
    found = _BODY_LENGTH_LINES.findall(head)
    return len(found) <= 1 and not any(b"," in value for value in found)


def find_headers(headers: HeaderList, name: bytes) -> tuple[bytes, ...]:
    """Return all values of a header; ``name`` must be in lower case."""
    return tuple(value for key, value in headers if key.lower() == name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``; ``name`` must be in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def retry_after_header(seconds: float) -> tuple[bytes, bytes]:
    """Return the Retry-After header, with fractions of a second."""
    return (b"Retry-After", f"{seconds:.3f}".encode())


def end_to_end_headers(headers: HeaderList, kept: tuple[bytes, ...] = ()) -> HeaderList:
    """Return the headers that a router forwards.

    Omitted are hop-by-hop headers, including those that ``Connection`` lists, and headers that
    frame the body, because each connection frames it separately. ``Connection`` cannot remove
    ``Host``, without which a request cannot be sent, nor names that begin with one in ``kept``,
    which must be in lower case.

    Example
    -------
    >>> end_to_end_headers(((b"Connection", b"X-Hop"), (b"X-Hop", b"1"), (b"Host", b"a")))
    ((b'Host', b'a'),)
    """
    connection_options = {
        token.strip().lower()
        for value in find_headers(headers, b"connection")
        for token in value.split(b",")
    }
    kept_options = {each for each in connection_options if each.startswith(kept)} | {b"host"}
    omitted = _HOP_BY_HOP | (connection_options - kept_options)
    return tuple(pair for pair in headers if pair[0].lower() not in omitted)
