"""How long connections may be idle, and servers silent."""

from dataclasses import dataclass

from pimentoquay.http1.headers import HeaderList, find_header

__all__ = ["ExchangeWatch", "ReusePolicy"]

MAX_DIGITS = 9
"""Maximum length of a stated idle timeout, in digits; a longer one counts as not stated."""


@dataclass(frozen=True)
class ReusePolicy:
    """Limits of the idle time within which a connection may be reused.

    Idle time is counted from the headers of the last response.

    Parameters
    ----------
    max_idle_seconds
        Maximum idle time in seconds if the backend server states none.
    margin_seconds
        Time in seconds subtracted from an idle timeout that the backend server states, so that a
        request is not sent at the moment at which the server closes the connection.
    """

    max_idle_seconds: float = 4.0
    margin_seconds: float = 1.0

    def idle_seconds(self, headers: HeaderList) -> float:
        """Return the idle time in seconds within which a connection may be reused.

        Parameters
        ----------
        headers
            The headers of the last response, which may state the server's idle timeout.
        """
        seconds = self.max_idle_seconds
        for part in (find_header(headers, b"keep-alive") or b"").split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit() and len(value) <= MAX_DIGITS:
                seconds = max(0.0, int(value) - self.margin_seconds)
        return seconds


@dataclass(frozen=True)
class ExchangeWatch:
    """How long a server may be silent during an exchange, in seconds.

    Parameters
    ----------
    quiet_seconds
        Silence after which it is to be found out whether the server is still reached.
    abandon_seconds
        Silence after which the exchange is given up if it is not, or None if it may not be sent
        again.
    """

    quiet_seconds: float
    abandon_seconds: float | None = None
