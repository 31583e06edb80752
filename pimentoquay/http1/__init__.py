"""HTTP/1.1 on connections whose every byte is accounted for.

``HttpServer`` serves callers; ``ConnectionPool`` sends to one backend server. Both parse with h11
and own their sockets, because a router has to know what a general client or server hides: whether
a byte of a request was written, whether an answer is whole, whose answer it is, and that a caller
has gone.
"""

from pimentoquay.http1.client import ConnectionPool, Exchange, ReusePolicy
from pimentoquay.http1.headers import HeaderList, end_to_end_headers, find_header
from pimentoquay.http1.server import HttpRequest, HttpServer, Reply, ServerLimits

__all__ = [
    "ConnectionPool",
    "Exchange",
    "HeaderList",
    "HttpRequest",
    "HttpServer",
    "Reply",
    "ReusePolicy",
    "ServerLimits",
    "end_to_end_headers",
    "find_header",
]
