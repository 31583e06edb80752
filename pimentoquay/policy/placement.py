"""Placement: choice of a prefill engine and a decode engine for a request, before its prefill.

A pair of engines is feasible if the decode engine is expected to have a free slot and KV memory,
and the link enough capacity, when the prefill ends. The feasible pair with the earliest first token
is chosen, and among nearly equal ones that whose decode engine has the most free slots.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from pimentoquay.policy.engines import EngineLoad
from pimentoquay.policy.links import link_keys
from pimentoquay.policy.speeds import SpeedBook

__all__ = ["Choice", "PlacementLimits", "PlacementNeed", "choose"]


@dataclass(frozen=True)
class PlacementLimits:
    """Limits and costs of placement, in seconds unless stated otherwise.

    Parameters
    ----------
    release_share
        Share (0 to 1) of the slots expected to come free that may be promised in advance.
    prefill_lead
        Maximum remaining work of a prefill engine that is given one more prefill.
    slack
        Time after the arrival of the KV cache within which the slot still has to come free.
    reserves_slot
        Whether a slot is reserved on the decode engine; otherwise free slots are not required.
    fullness_cost
        Cost of a decode engine without free slots over an empty one; proportional in between.
    promise_cost
        Additional cost of a promised slot over a free one.
    remote_cost
        Additional cost of a transfer between data centres.
    link_seconds
        Maximum time from the end of a prefill to the arrival of its KV cache over a link that other
        transfers use, because KV cache expires soon.
    """

    release_share: float = 0.3
    prefill_lead: float = 0.02
    slack: float = 0.0
    reserves_slot: bool = True
    fullness_cost: float = 0.05
    promise_cost: float = 0.5
    remote_cost: float = 0.02
    link_seconds: float = 0.5


@dataclass(frozen=True)
class PlacementNeed:
    """Size of a request to be placed, in tokens.

    ``cached_by_engine`` holds the number of prompt tokens that each prefill engine has cached.
    """

    prompt_tokens: int
    max_tokens: int
    cached_by_engine: dict[str, int]


@dataclass(frozen=True)
class Choice:
    """A prefill and a decode engine, which may be the same, and the expected ends of the stages.

    ``prefill_end`` and ``transfer_end`` are times on the scheduler's clock; ``transfer`` is the
    duration of the transfer in seconds on idle links.
    """

    prefill: str
    decode: str
    prefill_end: float
    transfer_end: float
    transfer: float = 0.0


@dataclass(frozen=True)
class _Source:
    """A prefill engine, and when it is expected to end the request's prefill."""

    engine: EngineLoad
    end: float


class _Target:
    """A decode engine with its costs for the request, in seconds.

    ``wait`` is the time until a slot comes free, ``transfer`` the duration of the transfer on idle
    links, ``cost`` the penalty for few free slots, and ``min_cost`` the minimum that the engine
    adds to the end of any prefill.
    """

    def __init__(
        self, engine: EngineLoad, wait: float, transfer: float, limits: PlacementLimits
    ) -> None:
        free = engine.free_slots()
        self.engine = engine
        self.wait = wait
        self.transfer = transfer
        self.cost = limits.fullness_cost * (1.0 - free / max(1, engine.slots))
        if free <= 0:
            self.cost += limits.promise_cost
        # If the engine also does prefill, the KV cache may need no transfer.
        self.min_cost = self.cost + (0.0 if engine.can_prefill else transfer)


def choose(
    need: PlacementNeed,
    prefill_engines: Iterable[EngineLoad],
    decode_engines: Iterable[EngineLoad],
    speeds: SpeedBook,
    closed_links: frozenset[str],
    limits: PlacementLimits,
    now: float,
) -> Choice | None:
    """Return the best feasible pair of engines, or ``None`` if the request has to wait.

    Load pattern: bursts of requests that compete for slots, KV memory and links. A prefill is
    started only if its KV cache is expected to be used before it expires.

    Parameters
    ----------
    need
        Size of the request.
    prefill_engines, decode_engines
        Usable engines of each stage; an engine that does both is in both.
    speeds
        Estimated speeds of the engines and links.
    closed_links
        Keys of the sides of links whose circuit does not let the request through.
    limits
        Limits and costs of placement.
    now
        Current time in seconds.
    """
    sources = [
        _source_on(engine, need, speeds, now)
        for engine in prefill_engines
        if engine.is_open_for_prefill(limits.prefill_lead, now)
        and engine.free_kv() >= need.prompt_tokens
    ]
    targets = [
        _Target(engine, wait, need.prompt_tokens * speeds.transfer.of(engine.name), limits)
        for engine in decode_engines
        if engine.free_kv() >= need.prompt_tokens + need.max_tokens
        and (wait := _slot_wait(engine, limits)) < math.inf
    ]
    if any(target.wait == 0 for target in targets):
        # Slots that are still in use are promised only if no engine has a free slot. A busy link to
        # a free slot is no reason to promise another one.
        targets = [target for target in targets if target.wait == 0]
    # The KV cache cannot arrive before the prefill ends. With both lists in order of minimum cost,
    # the rest of the targets can be skipped once they cannot beat the best pair found so far.
    sources.sort(key=lambda source: source.end)
    targets.sort(key=lambda target: target.min_cost)
    best: tuple[float, str, str] | None = None
    best_choice = None
    for source in sources:
        for target in targets:
            if best is not None and source.end + target.min_cost > best[0]:
                break
            arrival = _arrival(source, target, limits)
            if arrival - now + limits.slack < target.wait:
                continue
            names = source.engine.name, target.engine.name
            if closed_links and not closed_links.isdisjoint(link_keys(*names)):
                continue
            score = (arrival + target.cost + _remote_cost(source, target, limits), *names)
            if best is None or score < best:
                best = score
                best_choice = Choice(*names, source.end, arrival, target.transfer)
    return best_choice


def _source_on(engine: EngineLoad, need: PlacementNeed, speeds: SpeedBook, now: float) -> _Source:
    tokens = max(1, need.prompt_tokens - need.cached_by_engine.get(engine.name, 0))
    begin = max(now, engine.prefill_free_at) if engine.prefill_count else now
    return _Source(engine, begin + tokens * speeds.prefill.of(engine.name))


def _arrival(source: _Source, target: _Target, limits: PlacementLimits) -> float:
    """Return the arrival time of the KV cache; minus infinity if the pair is not feasible."""
    if source.engine is target.engine:
        # Without a transfer there is nothing to retry until a promised slot comes free, so the
        # prefill is started only if a slot is free now.
        return source.end if target.wait == 0 else -math.inf
    begin = max(source.end, source.engine.link_free_at, target.engine.link_free_at)
    arrival = begin + target.transfer
    if begin == source.end:
        return arrival
    is_feasible = arrival - source.end <= limits.link_seconds
    is_feasible = is_feasible and source.engine.link.fits(source.end, target.transfer)
    is_feasible = is_feasible and target.engine.link.fits(source.end, target.transfer)
    return arrival if is_feasible else -math.inf


def _slot_wait(engine: EngineLoad, limits: PlacementLimits) -> float:
    return engine.slot_wait(limits.release_share) if limits.reserves_slot else 0.0


def _remote_cost(source: _Source, target: _Target, limits: PlacementLimits) -> float:
    is_local = source.engine.data_centre == target.engine.data_centre
    return 0.0 if is_local else limits.remote_cost
