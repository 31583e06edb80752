"""Load balancing between the backend servers of a plain service.

Load pattern: short calls, well within capacity, while one server is slow, fails a part of its calls
or does not answer at all. That server may be in the caller's own data centre. Servers are compared
by the expected time of a call, to which a failure adds the time that it wastes. A server of the
local data centre is therefore used until it serves worse than a remote one.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry

__all__ = ["EngineCallStats", "choose_engine"]

REMOTE_CALL_SECONDS = 0.004
"""Round-trip time to another data centre, in seconds."""

FAILED_CALL_SECONDS = 0.5
"""Time that a failed call costs, in seconds: about the wait until the failure is detected."""

NEW_SAMPLE_WEIGHT = 0.15
"""Weight of the newest call in the moving averages, which cover about the last twelve calls."""

HALF_LIFE_SECONDS = 4.0
"""Half-life of the averages in seconds, so that a server which has recovered is tried again."""

INITIAL_CALL_SECONDS = 0.03
"""Assumed duration of a call to a server that has not been used, in seconds."""


@dataclass
class EngineCallStats:
    """Statistics of one VM's calls to one server.

    ``seconds`` is the average duration of a call, ``failure_share`` the average share of calls that
    failed, ``outstanding`` the number of calls in flight, and ``updated_at`` the time of the last
    change to the averages.
    """

    seconds: float = INITIAL_CALL_SECONDS
    failure_share: float = 0.0
    outstanding: int = 0
    updated_at: float = 0.0

    def record(self, seconds: float, has_failed: bool, now: float) -> None:
        """Add a finished call to the averages."""
        self._decay(now)
        self.seconds += NEW_SAMPLE_WEIGHT * (seconds - self.seconds)
        self.failure_share += NEW_SAMPLE_WEIGHT * (float(has_failed) - self.failure_share)

    def cost(self, now: float, slots: int) -> float:
        """Return the expected cost of a call to the server, in seconds."""
        self._decay(now)
        queueing = 1.0 + self.outstanding / max(1, slots)
        return self.seconds * queueing + FAILED_CALL_SECONDS * self.failure_share

    def _decay(self, now: float) -> None:
        retained = 0.5 ** (max(0.0, now - self.updated_at) / HALF_LIFE_SECONDS)
        self.seconds = INITIAL_CALL_SECONDS + (self.seconds - INITIAL_CALL_SECONDS) * retained
        self.failure_share *= retained
        self.updated_at = now


def choose_engine(
    engines: Iterable[EngineEntry],
    stats_by_id: dict[str, EngineCallStats],
    data_centre: str,
    now: float,
    avoid: Collection[str] = (),
) -> EngineEntry | None:
    """Return the server with the lowest expected cost of a call, or ``None`` if there is none.

    Load pattern: short calls while one server is slow or fails. Draining servers are left out.

    Parameters
    ----------
    engines
        Backend servers of the service.
    stats_by_id
        Statistics of this VM's calls by server; missing entries are added.
    data_centre
        Data centre of the caller.
    now
        Current time in seconds.
    avoid
        Servers that must not be chosen, such as those tried before.
    """
    best: tuple[float, str] | None = None
    chosen: EngineEntry | None = None
    for engine in engines:
        if engine.id in avoid or engine.is_draining:
            continue
        stats = stats_by_id.setdefault(engine.id, EngineCallStats(updated_at=now))
        cost = stats.cost(now, engine.slots)
        cost += 0.0 if engine.data_centre == data_centre else REMOTE_CALL_SECONDS
        if best is None or (cost, engine.id) < best:
            best, chosen = (cost, engine.id), engine
    return chosen
