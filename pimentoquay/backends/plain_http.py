"""HTTP client of a plain service.

Each request is sent once on a new connection. Connections are not reused, so that a request is
never written to one that the service has just closed. ``PlainLostError.written`` is false only if
nothing was sent.
"""

from pimentoquay.backends.base import PlainAnswer, PlainCall, PlainLostError
from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.registry import plugin

__all__ = ["NOT_RUN_HEADER", "REQUEST_ID_HEADER", "HttpPlainClient"]

NOT_RUN_HEADER = "x-not-run"
"""Response header by which a service states that it did not run the request."""

REQUEST_ID_HEADER = "x-request-id"
"""Request header that contains the request id."""


@plugin("backend", "plain-http")
class HttpPlainClient:
    """HTTP client of one plain service; implements ``PlainClient``.

    Parameters
    ----------
    address
        The service's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address, reuse=False)

    async def call(self, call: PlainCall, timeout: float) -> PlainAnswer:
        """Send a call once; ``PlainLostError`` if no complete response arrived in time."""
        headers = {"content-type": call.content_type, REQUEST_ID_HEADER: call.request_id}
        try:
            answer = await self._peer.request(call.method, call.path, timeout, call.body, headers)
        except HttpError as failure:
            raise PlainLostError(str(failure), failure.written) from None
        content_type = answer.headers.get("content-type", "application/octet-stream")
        not_run = answer.headers.get(NOT_RUN_HEADER) == "1"
        return PlainAnswer(answer.status, answer.body, content_type, not_run)

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()
