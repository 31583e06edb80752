"""The client of the platform's membership list over HTTP."""

from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.messages.cluster import MembershipUpdate

__all__ = ["HttpMembershipClient"]

CALL_SECONDS = 5.0


class HttpMembershipClient:
    """The membership list; it implements ``MembershipClient``.

    Parameters
    ----------
    address
        The list's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    async def members(self) -> MembershipUpdate:
        """Return the list as it stands; ``ConnectionError`` if it cannot be read."""
        try:
            answer = await self._peer.request("GET", "/members", CALL_SECONDS)
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            return from_json(MembershipUpdate, answer.body)
        except (HttpError, ValueError) as error:
            raise ConnectionError(f"{self._peer.address}: {error}") from None

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()
