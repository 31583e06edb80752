"""HTTP/1.1 server and client that track the state of every connection.

``HttpServer`` serves callers; ``ConnectionPool`` sends requests to one backend server. Both parse
with h11 and manage their own sockets, because a router needs information that a general HTTP client
or server hides: whether any byte of a request was written, whether a response is complete, which
request it belongs to, and whether the caller has disconnected.
"""

from pimentoquay.http1.buffered import SharedBufferProtocol
from pimentoquay.http1.client import (
    Connect,
    ConnectionPool,
    Exchange,
    ServerState,
    connect_tcp,
)
from pimentoquay.http1.client_connection import ClientConnection, ExchangeWatch, ReusePolicy
from pimentoquay.http1.headers import (
    HeaderList,
    end_to_end_headers,
    find_header,
    retry_after_header,
)
from pimentoquay.http1.linear_patterns import use_linear_patterns
from pimentoquay.http1.request import HeadRefusal, HttpRequest
from pimentoquay.http1.request_writer import is_sendable
from pimentoquay.http1.response_marks import ConnectionUse, ResponseMark
from pimentoquay.http1.server import HttpServer, Reply, ServerLimits

__all__ = [
    "ClientConnection",
    "Connect",
    "ConnectionPool",
    "ConnectionUse",
    "Exchange",
    "ExchangeWatch",
    "HeadRefusal",
    "HeaderList",
    "HttpRequest",
    "HttpServer",
    "Reply",
    "ResponseMark",
    "ReusePolicy",
    "ServerLimits",
    "ServerState",
    "SharedBufferProtocol",
    "connect_tcp",
    "end_to_end_headers",
    "find_header",
    "is_sendable",
    "retry_after_header",
]

use_linear_patterns()
