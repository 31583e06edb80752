"""Placement: a prefill engine and a decode engine together, chosen before prefill starts.

A pair is open when the decode engine will have a slot and KV memory, and the link time, by the
moment the prefill is expected to end. Of the open pairs the one with the earliest first token
wins, and among nearly equal ones the decode engine with the most free slots.
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
    """Bounds of placement.

    ``release_share`` is the part of the slots expected to come free that may be promised
    before they do, ``promise_cost`` the seconds that a free slot is worth over such a promise,
    ``remote_cost`` those that a transfer within one data centre is worth over one between two,
    ``link_seconds`` bounds the time from the end of a prefill to the arrival of its KV on a link
    that others use, as KV does not live long,
    ``prefill_lead`` the seconds of work that may wait on a prefill engine, and
    ``slack`` the seconds after the KV cache arrives during which a slot may still come free.
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
    """What a request needs: tokens of KV, and per prefill engine the tokens not cached."""

    prompt_tokens: int
    max_tokens: int
    cached_by_engine: dict[str, int]


@dataclass(frozen=True)
class Choice:
    """Two engines, which may be one, and when each stage is expected to end.

    ``transfer`` is the seconds that the transfer takes on idle links.
    """

    prefill: str
    decode: str
    prefill_end: float
    transfer_end: float
    transfer: float = 0.0


@dataclass(frozen=True)
class _Start:
    engine: EngineLoad
    end: float


class _Target:
    """A decode engine: seconds until a slot may be promised, transfer time, and cost.

    ``least_cost`` is the least that it adds to the end of any prefill.
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
        # On an engine that also prefills, the KV may be there already.
        self.least_cost = self.cost + (0.0 if engine.can_prefill else transfer)


def choose(
    need: PlacementNeed,
    prefill_engines: Iterable[EngineLoad],
    decode_engines: Iterable[EngineLoad],
    speeds: SpeedBook,
    closed_links: frozenset[str],
    limits: PlacementLimits,
    now: float,
) -> Choice | None:
    """Return the best open pair, or ``None`` if the request has to wait.

    The caller leaves out engines that are not usable. ``closed_links`` are the keys of those
    sides of links whose circuit does not let the request through.
    """
    starts = [
        _start_on(engine, need, speeds, now)
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
        # A promise is for when no slot is free, not for when the way to a free one is busy.
        targets = [target for target in targets if target.wait == 0]
    # The KV cannot arrive before the prefill ends, so that with both sides in order of what they
    # cost at least, the rest of a side can be left out once it cannot beat the best pair.
    starts.sort(key=lambda start: start.end)
    targets.sort(key=lambda target: target.least_cost)
    best: tuple[float, str, str] | None = None
    best_choice = None
    for start in starts:
        for target in targets:
            if best is not None and start.end + target.least_cost > best[0]:
                break
            arrival = _arrival(start, target, limits)
            if arrival - now + limits.slack < target.wait:
                continue
            names = start.engine.name, target.engine.name
            if closed_links and not closed_links.isdisjoint(link_keys(*names)):
                continue
            score = (arrival + target.cost + _remote_cost(start, target, limits), *names)
            if best is None or score < best:
                best = score
                best_choice = Choice(*names, start.end, arrival, target.transfer)
    return best_choice


def _start_on(engine: EngineLoad, need: PlacementNeed, speeds: SpeedBook, now: float) -> _Start:
    tokens = max(1, need.prompt_tokens - need.cached_by_engine.get(engine.name, 0))
    begin = max(now, engine.prefill_free_at) if engine.prefill_count else now
    return _Start(engine, begin + tokens * speeds.prefill.of(engine.name))


def _arrival(start: _Start, target: _Target, limits: PlacementLimits) -> float:
    """Return when the KV is on the decode engine; minus infinity if the pair is not open."""
    if start.engine is target.engine:
        # KV on the engine that computed it has no transfer to be retried while it lives, so that
        # it is not started on a promise.
        return start.end if target.wait == 0 else -math.inf
    begin = max(start.end, start.engine.link_free_at, target.engine.link_free_at)
    arrival = begin + target.transfer
    if begin == start.end:
        return arrival
    is_open = arrival - start.end <= limits.link_seconds
    is_open = is_open and start.engine.link.fits(start.end, target.transfer)
    is_open = is_open and target.engine.link.fits(start.end, target.transfer)
    return arrival if is_open else -math.inf


def _slot_wait(engine: EngineLoad, limits: PlacementLimits) -> float:
    return engine.slot_wait(limits.release_share) if limits.reserves_slot else 0.0


def _remote_cost(start: _Start, target: _Target, limits: PlacementLimits) -> float:
    is_near = start.engine.data_centre == target.engine.data_centre
    return 0.0 if is_near else limits.remote_cost
