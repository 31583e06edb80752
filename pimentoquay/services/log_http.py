"""HTTP client of the log service."""

from dataclasses import dataclass
from urllib.parse import quote

from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.services.base import LogOutcomeUnknownError, LogPage, LogUnavailableError

__all__ = ["Appended", "HttpLogClient"]

CALL_SECONDS = 5.0
"""Timeout of a call in seconds, in addition to the wait that a read requests."""

_SERVICE_UNAVAILABLE = 503


@dataclass(frozen=True)
class Appended:
    """Body of the response to an append."""

    offset: int


class HttpLogClient:
    """HTTP client of the log service; implements ``LogClient``.

    Parameters
    ----------
    address
        The service's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record and return its offset.

        Raise ``LogUnavailableError`` if the record was certainly not appended, and
        ``LogOutcomeUnknownError`` if it may have been.
        """
        path = f"/append?stream={quote(stream, safe='')}"
        try:
            answer = await self._peer.request("POST", path, CALL_SECONDS, data)
        except HttpError as failure:
            if failure.written:
                raise LogOutcomeUnknownError(str(failure)) from None
            raise LogUnavailableError(str(failure)) from None
        if answer.status == _SERVICE_UNAVAILABLE:
            raise LogUnavailableError(f"{self._peer.address} refused the append")
        try:
            return from_json(Appended, answer.body).offset
        except ValueError as error:
            raise LogOutcomeUnknownError(f"{self._peer.address}: {error}") from None

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on; wait up to ``wait`` seconds if there are none."""
        path = f"/read?stream={quote(stream, safe='')}&from={from_offset}&wait={wait}"
        try:
            answer = await self._peer.request("GET", path, wait + CALL_SECONDS)
            if answer.status != 200:
                raise ValueError(f"status {answer.status}")
            return from_json(LogPage, answer.body)
        except (HttpError, ValueError) as error:
            raise LogUnavailableError(f"{self._peer.address}: {error}") from None

    async def close(self) -> None:
        """Close every connection."""
        await self._peer.close()
