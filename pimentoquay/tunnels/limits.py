"""Limits of the tunnels that a process may hold for its peers, and what it asks about them."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from pimentoquay.messages.tunnels import TunnelOutcome, TunnelRequest

__all__ = ["TunnelLimits", "TunnelPolicy"]


@dataclass(frozen=True)
class TunnelLimits:
    """Most connections at a time, where the descriptors of the process allow fewer than usual.

    ``tunnels`` have asked for one, each of which needs two descriptors, ``unopened`` have not, and
    ``burst`` is the number of the latter with those that have just been accepted.
    """

    tunnels: int = 400
    unopened: int = 200
    burst: int = 400


@dataclass(frozen=True)
class TunnelPolicy:
    """What the server asks about a request.

    ``find_outcome`` returns an outcome other than ``OPEN`` if no attempt to connect is to be made,
    ``refusal_outcome`` what a refusal by the engine means, ``referrals`` other peers to name, and
    ``on_silent`` is called if the engine did not respond.
    """

    find_outcome: Callable[[TunnelRequest], TunnelOutcome]
    refusal_outcome: Callable[[TunnelRequest], Awaitable[TunnelOutcome]]
    referrals: Callable[[TunnelRequest], tuple[str, ...]]
    on_silent: Callable[[TunnelRequest], None]
