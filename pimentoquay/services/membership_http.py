"""HTTP client of the platform's membership list.

The list is large and rarely changes. Requests are therefore conditional on the entity tag of the
cached list (RFC 9110, section 13.1.2), and accept a compressed response.
"""

from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.messages.cluster import MembershipUpdate

__all__ = ["HttpMembershipClient"]

CALL_SECONDS = 5.0
"""Timeout of a call in seconds."""

NOT_MODIFIED = 304
"""HTTP status for a list that still has the entity tag of the request."""


class HttpMembershipClient:
    """HTTP client of the membership list; implements ``MembershipClient``.

    Parameters
    ----------
    address
        The service's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)
        self._cached_list: MembershipUpdate | None = None
        self._entity_tag = ""

    async def members(self) -> MembershipUpdate:
        """Return the current list; ``ConnectionError`` if it cannot be read."""
        try:
            headers = {"accept-encoding": "gzip"}
            if self._cached_list is not None and self._entity_tag:
                headers["if-none-match"] = self._entity_tag
            answer = await self._peer.request("GET", "/members", CALL_SECONDS, headers=headers)
            if answer.status == NOT_MODIFIED and self._cached_list is not None:
                return self._cached_list
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            self._cached_list = from_json(MembershipUpdate, answer.body)
            self._entity_tag = answer.headers.get("etag", "")
            return self._cached_list
        except (HttpError, ValueError) as error:
            raise ConnectionError(f"{self._peer.address}: {error}") from None

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()
