"""Which engines this gateway has failed to connect to, in its log and its metrics."""

from collections import Counter

from pimentoquay.kernel import TimerService
from pimentoquay.kernel.errors import ConnectFailure
from pimentoquay.kernel.logs import logger

__all__ = ["EngineContact"]


class EngineContact:
    """Attempts to connect to engines that failed, and engines that cannot be reached since.

    ``count_by_failure`` counts the failed attempts, ``unreachable_since_by_id`` holds the time of
    the first one since an engine was last reached. ``requests_by_way`` counts the requests sent
    over connections of this gateway's own and through peers.

    Parameters
    ----------
    timers
        The process's timers.
    """

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.count_by_failure: Counter[ConnectFailure] = Counter()
        self.requests_by_way: Counter[str] = Counter()
        self.unreachable_since_by_id: dict[str, float] = {}
        self._reached_at_by_id: dict[str, float] = {}

    def record_failure(self, engine: str, failure: ConnectFailure) -> None:
        """Record an attempt to connect to an engine that failed."""
        self.count_by_failure[failure] += 1
        if engine in self.unreachable_since_by_id:
            return
        now = self._timers.now()
        self.unreachable_since_by_id[engine] = now
        reached_at = self._reached_at_by_id.get(engine)
        logger.bind(
            engine=engine,
            failure=failure.value,
            reached=f"{now - reached_at:.3f} s ago" if reached_at is not None else "never",
            engines_unreachable=len(self.unreachable_since_by_id),
        ).warning("engine unreachable")

    def count_request(self, via: str) -> None:
        """Count a request that an engine has begun to answer, by the way that it took."""
        self.requests_by_way["peer" if via else "direct"] += 1

    def record_reached(self, engine: str) -> None:
        """Record that a connection to an engine was opened, or that it has answered."""
        now = self._timers.now()
        self._reached_at_by_id[engine] = now
        since = self.unreachable_since_by_id.pop(engine, None)
        if since is not None:
            logger.bind(engine=engine, seconds=f"{now - since:.3f}").info("engine reached again")

    def forget(self, engine: str) -> None:
        """Forget an engine that is no longer listed."""
        self.unreachable_since_by_id.pop(engine, None)
        self._reached_at_by_id.pop(engine, None)
