"""Lookup of the route of a request, and choice between the services of a route.

Load pattern: thousands of routes, with hundreds added by a single configuration, and callers whose
paths have up to 16,000 segments. A lookup reads the path once, and takes at most as many steps as
the prefixes of its host have segments, independent of the number of routes and of the length of the
path.
"""

import hashlib
from dataclasses import dataclass, field

from pimentoquay.policy.fleet import FleetConfiguration, Route, ServiceShare

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Table of the routes of one configuration, by host and path prefix.

    Load pattern: thousands of routes, so a lookup must not scan them, and paths of thousands of
    segments, so it must not begin anew for each. The prefixes of a host are kept as a tree, by the
    segments of their paths. Only prefixes that end with a slash match.

    Parameters
    ----------
    configuration
        Version of the configuration that holds the routes.
    """

    def __init__(self, configuration: FleetConfiguration) -> None:
        self.configuration = configuration
        self._root_by_host: dict[str, _Node] = {}
        for route in configuration.routes:
            segments = route.path_prefix.split("/")
            if segments.pop():
                continue
            node = self._root_by_host.setdefault(route.host, _Node())
            for segment in segments:
                node = node.child_by_segment.setdefault(segment, _Node())
            node.route = route

    def find(self, host: str, target: str) -> Route | None:
        """Return the route with the longest matching path prefix, or ``None`` if none matches.

        ``target`` is the request target: a path, optionally with a query.
        """
        path = target.partition("?")[0]
        found, start = None, 0
        node = self._root_by_host.get(host)
        while node is not None and node.child_by_segment:
            end = path.find("/", start)
            if end < 0:
                break
            node = node.child_by_segment.get(path[start:end])
            if node is not None and node.route is not None:
                found = node.route
            start = end + 1
        return found


@dataclass(slots=True)
class _Node:
    """Prefixes that begin with the same segments, and the route of the prefix of just these."""

    route: Route | None = None
    child_by_segment: dict[str, "_Node"] = field(default_factory=dict)


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
