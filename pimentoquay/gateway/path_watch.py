"""Notice engines that have gone silent during an exchange, and give up exchanges over cut paths."""

import asyncio

from pimentoquay.gateway.engine_link import EngineLink
from pimentoquay.gateway.links import EngineLinks
from pimentoquay.http1 import ClientConnection
from pimentoquay.kernel import TimerService
from pimentoquay.tunnels import EnginePaths

__all__ = ["PathWatch"]

TICK_SECONDS = 0.05
"""Interval at which the exchanges in progress are looked at."""


class PathWatch:
    """Looks at the exchanges in progress, engine by engine.

    An engine that is silent for longer than its exchanges expect is suspected to be out of reach,
    unless something else has arrived from it by the same way. If its path turns out to be cut, the
    exchanges over it that may be sent again are given up.

    Parameters
    ----------
    timers, links, paths
        The process's timers, the links to engines, and their paths.
    """

    def __init__(self, timers: TimerService, links: EngineLinks, paths: EnginePaths) -> None:
        self._timers = timers
        self._links = links
        self._paths = paths

    def start(self) -> None:
        """Begin to look at the exchanges."""
        self._timers.every(TICK_SECONDS, self._tick)

    def _tick(self) -> None:
        now = asyncio.get_running_loop().time()
        for link in self._links.links():
            if link.active:
                self._look_at(link, now)

    def _look_at(self, link: EngineLink, now: float) -> None:
        heard_at_by_way: dict[str, float] = {}
        for connection in link.active:
            known = heard_at_by_way.get(connection.via, 0.0)
            heard_at_by_way[connection.via] = max(known, connection.heard_at)
        for connection in tuple(link.active):
            watch = connection.watch
            if watch is None:
                continue
            is_lost = self._paths.is_lost(link.target, connection.via)
            if is_lost:
                self._give_up(connection, now)
            elif now - heard_at_by_way[connection.via] >= watch.quiet_seconds:
                self._paths.suspect(link.target, connection.via)

    def _give_up(self, connection: ClientConnection, now: float) -> None:
        assert connection.watch is not None
        seconds = connection.watch.abandon_seconds
        if seconds is not None and now - connection.heard_at >= seconds:
            connection.lose_path("the path to the engine is cut")
