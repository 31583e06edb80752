"""Tunnels: connections to engines that are opened through another gateway.

A gateway that does not reach an engine asks a peer that does to connect to it, and then uses the
tunnel as it uses a connection of its own: it places, sends, cancels and ends the request, and the
peer only forwards bytes, to listed engines. A peer never forwards to another peer.

``TunnelServer`` accepts tunnels, ``PeerTunnels`` opens them, and ``EnginePaths`` decides for each
connection which way it takes.
"""

from pimentoquay.tunnels.client import TunnelOpener, TunnelTarget
from pimentoquay.tunnels.limits import TunnelLimits, TunnelPolicy
from pimentoquay.tunnels.paths import EnginePaths
from pimentoquay.tunnels.peer_tunnels import PeerTunnels
from pimentoquay.tunnels.server import TunnelServer

__all__ = [
    "EnginePaths",
    "PeerTunnels",
    "TunnelLimits",
    "TunnelOpener",
    "TunnelPolicy",
    "TunnelServer",
    "TunnelTarget",
]
