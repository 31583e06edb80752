"""Choice and use of a server of a plain service for a call or a stream."""

import asyncio
import contextlib
from collections.abc import Callable, Collection, Iterator
from dataclasses import dataclass

from pimentoquay.gateway.job import Job
from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.policy.engine_choice import choose_engine
from pimentoquay.policy.fleet import EngineEntry, Route

__all__ = [
    "UNREACHED_RETRY_AFTER_SECONDS",
    "ServerUse",
    "choose_server",
    "max_idle_of",
    "send_timeout",
    "using_server",
]

UNREACHED_RETRY_AFTER_SECONDS = 0.3
"""Retry-After value if no server could be reached; about as long as a circuit first stays open."""

FIRST_SEND_TARGET_MULTIPLE = 2.0
"""Timeout of the send of a request that may be repeated, in multiples of its route's target
latency, if another server can be tried."""

UNREPEATABLE_MAX_IDLE_SECONDS = 1.0
"""Maximum idle time of a reused connection for a request that may not be repeated."""


@dataclass
class ServerUse:
    """One use of a server; ``has_failed`` is whether it counts against the server."""

    has_failed: bool = True


def choose_server(
    shared: SharedState,
    service: str,
    tried: Collection[str],
    may_use: Callable[[EngineEntry], bool] = lambda engine: True,
) -> EngineEntry | None:
    """Return the server with the lowest expected cost of a call, or None if none takes one now.

    Servers to which connections fail are chosen only if there is no other.

    Parameters
    ----------
    shared
        The servers, and what the gateway has observed of them.
    service
        Service of the call.
    tried
        Ids of the servers that must not be chosen.
    may_use
        Returns whether a server may run the call.
    """
    now = asyncio.get_running_loop().time()
    engines = [
        engine
        for engine in shared.fleet.accepting_engines(service)
        if may_use(engine)
        and not shared.is_misdirected(engine, now)
        and shared.fleet.pause_seconds(engine) == 0.0
        and shared.links.limits.seconds_until(engine, now) == 0.0
    ]
    reachable = [each for each in engines if not shared.links.is_circuit_open(each.id, now)]
    chosen = None
    for candidates in (reachable, engines):
        chosen = chosen or choose_engine(
            candidates, shared.experience_by_engine, shared.placer.data_centre, now, tried
        )
    return chosen


def max_idle_of(route: Route) -> float | None:
    """Return the maximum idle time of a connection that a request of a route uses again."""
    return None if route.may_run_again else UNREPEATABLE_MAX_IDLE_SECONDS


def send_timeout(job: Job, runs: int) -> float:
    """Return the seconds for which a server may take to answer a request that has run so often."""
    left = job.seconds_left()
    if job.route.may_run_again and runs + 1 < job.route.max_engines:
        return min(left, FIRST_SEND_TARGET_MULTIPLE * job.route.target_seconds)
    return left


@contextlib.contextmanager
def using_server(shared: SharedState, engine: EngineEntry) -> Iterator[ServerUse]:
    """Record a use of a server that lasts as long as the block, by which servers are compared."""
    use, now = ServerUse(), asyncio.get_running_loop().time
    experience, started_at = shared.experience_by_engine[engine.id], now()
    experience.outstanding += 1
    try:
        yield use
    finally:
        experience.outstanding -= 1
        experience.record(now() - started_at, use.has_failed, now())
