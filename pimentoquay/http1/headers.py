"""Header lists as they travel: pairs of bytes in the order sent, with the sender's spelling."""

__all__ = ["HeaderList", "end_to_end_headers", "find_header", "find_headers"]

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
"""Headers of one connection (RFC 9110, section 7.6.1), and those that frame a body."""


def find_headers(headers: HeaderList, name: bytes) -> tuple[bytes, ...]:
    """Return every value of a header; ``name`` is in lower case."""
    return tuple(value for key, value in headers if key.lower() == name)


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of a header, or ``None``; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: HeaderList) -> HeaderList:
    """Return the headers that a router passes on.

    Headers of one connection are left out, also those that ``Connection`` names, and so are those
    that frame the body, because each connection frames it anew.

    Example
    -------
    >>> end_to_end_headers(((b"Connection", b"X-Hop"), (b"X-Hop", b"1"), (b"Host", b"a")))
    ((b'Host', b'a'),)
    """
    named = {
        token.strip().lower()
        for value in find_headers(headers, b"connection")
        for token in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)
