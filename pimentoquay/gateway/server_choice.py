"""Choice of a server of a plain service for a call or a stream."""

import asyncio
from collections.abc import Callable, Collection

from pimentoquay.gateway.shared_state import SharedState
from pimentoquay.policy.engine_choice import choose_engine
from pimentoquay.policy.fleet import EngineEntry

__all__ = ["choose_server"]


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
