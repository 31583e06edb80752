"""The client of the log service over HTTP."""

from dataclasses import dataclass
from urllib.parse import quote

from pimentoquay.kernel.http_peer import HttpError, HttpPeer
from pimentoquay.kernel.json_data import from_json
from pimentoquay.services.base import LogOutcomeUnknownError, LogPage, LogUnavailableError

__all__ = ["Appended", "HttpLogClient"]

CALL_SECONDS = 5.0
"""The longest wait for an answer, beside the wait that a read asks for."""

_UNAVAILABLE = 503


@dataclass(frozen=True)
class Appended:
    """The answer to an append."""

    offset: int


class HttpLogClient:
    """The log service; it implements ``LogClient``.

    Parameters
    ----------
    address
        The service's ``host:port``.
    """

    def __init__(self, address: str) -> None:
        self._peer = HttpPeer(address)

    async def append(self, stream: str, data: bytes) -> int:
        """Append and return the offset; ``LogUnavailableError`` if surely not appended."""
        path = f"/append?stream={quote(stream, safe='')}"
        try:
            answer = await self._peer.request("POST", path, CALL_SECONDS, data)
        except HttpError as failure:
            if failure.written:
                raise LogOutcomeUnknownError(str(failure)) from None
            raise LogUnavailableError(str(failure)) from None
        if answer.status == _UNAVAILABLE:
            raise LogUnavailableError(f"{self._peer.address} refused the append")
        try:
            return from_json(Appended, answer.body).offset
        except ValueError as error:
            raise LogOutcomeUnknownError(f"{self._peer.address}: {error}") from None

    async def read(self, stream: str, from_offset: int, wait: float) -> LogPage:
        """Return records from an offset on, waiting up to ``wait`` seconds for the first."""
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
