"""The client of the platform's membership list over HTTP.

The list is large and seldom changes, so it is asked for with the entity tag of the one that is
known (RFC 9110, section 13.1.2) and may come compressed.
"""

from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.messages.cluster import MembershipUpdate

__all__ = ["HttpMembershipClient"]

CALL_SECONDS = 5.0
NOT_MODIFIED = 304


class HttpMembershipClient:
    """The membership list; it implements ``MembershipClient``.

    Parameters
    ----------
    address
        The list's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)
        self._known: MembershipUpdate | None = None
        self._tag = ""

    async def members(self) -> MembershipUpdate:
        """Return the list as it stands; ``ConnectionError`` if it cannot be read."""
        try:
            headers = {"accept-encoding": "gzip"}
            if self._known is not None and self._tag:
                headers["if-none-match"] = self._tag
            answer = await self._peer.request("GET", "/members", CALL_SECONDS, headers=headers)
            if answer.status == NOT_MODIFIED and self._known is not None:
                return self._known
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            self._known = from_json(MembershipUpdate, answer.body)
            self._tag = answer.headers.get("etag", "")
            return self._known
        except (HttpError, ValueError) as error:
            raise ConnectionError(f"{self._peer.address}: {error}") from None

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()
