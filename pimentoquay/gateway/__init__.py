"""The gateway: callers' requests in, engines' answers out, one process a VM.

A gateway forwards whole HTTP requests without knowing what they mean beyond their route, their
size and what may be repeated of them. It keeps nothing: configuration and engines come from the
platform's store and from its peers, and what it holds of the engines' memory ends with its
connections.
"""

from pimentoquay.gateway.compose import Gateway, compose_gateway

__all__ = ["Gateway", "compose_gateway"]
