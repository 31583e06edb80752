"""The gateway: an HTTP reverse proxy between callers and engines, one process per VM.

A gateway forwards whole HTTP requests and needs to know only their route, their size and whether
they may be sent again. It stores nothing on disk: the configuration and the list of engines come
from the platform's store and from peer gateways, and its reservations of engine memory end with
its connections.
"""

from pimentoquay.gateway.compose import compose_gateway
from pimentoquay.gateway.lifecycle import Gateway

__all__ = ["Gateway", "compose_gateway"]
