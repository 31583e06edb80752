"""Messages that open a tunnel to an engine through another gateway (numbers 160 to 169).

The connecting gateway proves that it knows the shared key as for any channel, and names the engine.
"""

from enum import IntEnum

from pimentoquay.messages.codec import message

__all__ = ["TunnelOutcome", "TunnelReply", "TunnelRequest"]


class TunnelOutcome(IntEnum):
    """What became of a request to open a tunnel.

    ``REFUSED`` and ``SILENT`` tell how the engine answered the peer's own attempt to connect. A
    peer that is ``CUT_OFF`` does not reach the engine while others do, or reaches none at all.
    """

    OPEN = 0
    REFUSED = 1
    SILENT = 2
    CUT_OFF = 3
    NOT_LISTED = 4
    BUSY = 5
    DRAINING = 6


@message(160)
class TunnelRequest:
    """The start of an engine to which a tunnel is to be opened.

    ``is_check`` asks only whether the engine still runs; the tunnel is closed at once.
    """

    engine: str
    incarnation: int
    address: str
    is_check: bool


@message(161)
class TunnelReply:
    """Outcome of a request, and other VMs through which the sender reaches the engine."""

    outcome: TunnelOutcome
    peers: tuple[str, ...]
