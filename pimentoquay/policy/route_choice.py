"""Lookup of the route of a request, and choice between the services of a route.

Load pattern: thousands of routes, with hundreds added by a single configuration. A lookup takes one
step per path segment, independent of the number of routes.
"""

import hashlib

from pimentoquay.policy.fleet import FleetConfiguration, Route, ServiceShare

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Table of the routes of one configuration, by host and path prefix.

    Load pattern: thousands of routes, so a lookup must not scan them.

    Parameters
    ----------
    configuration
        Version of the configuration that holds the routes.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self._route_by_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None`` if none matches.

        ``target`` is the request target: a path, optionally with a query.
        """
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(shares: tuple[ServiceShare, ...], request_id: str) -> str:
    """Return the service for a request, chosen at random in proportion to the weights.

    Load pattern: a route whose requests are split between services, at many VMs. The choice is made
    from a hash of the request's id, so all VMs make the same choice for a request.
    """
    total = sum(share.weight for share in shares)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
