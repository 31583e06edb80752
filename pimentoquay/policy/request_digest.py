"""Digest by which gateways recognize a request that comes again."""

import hashlib

__all__ = ["request_digest"]


def request_digest(host: str, target: bytes, body: bytes) -> str:
    """Return a digest of what stays the same when a caller sends a request again.

    The id of the request, its deadline and the like differ between attempts and are left out.

    Parameters
    ----------
    host
        The caller's host, in lower case.
    target
        Path and query.
    body
        The whole body.

    Example
    -------
    >>> first = request_digest("shop.example", b"/look/a", b"page 7")
    >>> first == request_digest("shop.example", b"/look/a", b"page 7")
    True
    >>> first == request_digest("shop.example", b"/look/a", b"page 8")
    False
    """
    digest = hashlib.blake2b(digest_size=12)
    for field in (host.encode(), target):
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()
