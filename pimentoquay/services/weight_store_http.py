"""HTTP client of the weight store."""

from dataclasses import dataclass
from urllib.parse import urlencode

from pimentoquay.kernel.http_peer import BufferedResponse, HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json

__all__ = ["HttpWeightStoreClient", "WeightSize"]

CALL_SECONDS = 5.0
"""Timeout of a request for a size, in seconds."""

FETCH_SECONDS = 3600.0
"""Timeout of fetching the weights of one model version, in seconds."""


@dataclass(frozen=True)
class WeightSize:
    """Body of a response with the size of weights in bytes."""

    size: int


class HttpWeightStoreClient:
    """HTTP client of the weight store; implements ``WeightStoreClient``.

    Parameters
    ----------
    address
        The store's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    async def size_of(self, model: str, version: str) -> int:
        """Return the size of the weights in bytes; ``ConnectionError`` if the request fails."""
        answer = await self._get("/size", model, version, CALL_SECONDS)
        try:
            return from_json(WeightSize, answer.body).size
        except ValueError as error:
            raise ConnectionError(f"{self._peer.address}: {error}") from None

    async def fetch(self, model: str, version: str) -> None:
        """Wait until the store has read the weights; ``ConnectionError`` if the request fails."""
        await self._get("/fetch", model, version, FETCH_SECONDS)

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()

    async def _get(self, path: str, model: str, version: str, timeout: float) -> BufferedResponse:
        query = urlencode({"model": model, "version": version})
        try:
            answer = await self._peer.request("GET", f"{path}?{query}", timeout)
        except HttpError as failure:
            raise ConnectionError(str(failure)) from None
        if answer.status != 200:
            raise ConnectionError(f"{self._peer.address}: status {answer.status}")
        return answer
