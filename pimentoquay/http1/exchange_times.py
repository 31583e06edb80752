"""How long connections may be idle, and servers silent."""

from dataclasses import dataclass

__all__ = ["ExchangeWatch", "ReusePolicy"]


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
