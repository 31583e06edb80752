"""Which route a request takes, and which of its services.

Load pattern: thousands of routes, of which a configuration adds hundreds at once; the lookup costs
one step for each path segment and does not grow with the number of routes.
"""

import hashlib

from pimentoquay.policy.fleet import FleetConfiguration, Route, ServiceShare

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """The routes of one configuration, by host and path prefix.

    Parameters
    ----------
    configuration
        The version whose routes are looked up.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self._route_by_prefix: dict[tuple[str, str], Route] = {
            (route.host, route.path_prefix): route for route in configuration.routes
        }

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest prefix of a target's path, or ``None``."""
        path = target.partition("?")[0]
        end = path.rfind("/")
        while end >= 0:
            route = self._route_by_prefix.get((host, path[: end + 1]))
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(shares: tuple[ServiceShare, ...], request_id: str) -> str:
    """Return the service for a request, in proportion to the weights.

    The choice depends on the request's id alone, so every VM makes the same one.
    """
    total = sum(share.weight for share in shares)
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    point = int.from_bytes(digest, "big") / 2**64 * total
    for share in shares:
        point -= share.weight
        if point < 0:
            return share.service
    return shares[-1].service
