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
    ``prefill_lead`` the seconds of work that may wait on a prefill engine, and
    ``slack`` the seconds after the KV cache arrives during which a slot may still come free.
    """

    release_share: float = 0.5
    prefill_lead: float = 0.02
    slack: float = 0.0
    reserves_slot: bool = True
    fullness_cost: float = 0.05
    promise_cost: float = 0.5
    remote_cost: float = 0.02


@dataclass(frozen=True)
class PlacementNeed:
    """What a request needs: tokens of KV, and per prefill engine the tokens not cached."""

    prompt_tokens: int
    max_tokens: int
    cached_by_engine: dict[str, int]


@dataclass(frozen=True)
class Choice:
    """Two engines, which may be one, and when each stage is expected to end."""

    prefill: str
    decode: str
    prefill_end: float
    transfer_end: float


@dataclass(frozen=True)
class _Start:
    engine: EngineLoad
    end: float


@dataclass(frozen=True)
class _Target:
    """A decode engine and the seconds until a slot of it may be promised."""

    engine: EngineLoad
    wait: float


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
        _Target(engine, wait)
        for engine in decode_engines
        if engine.free_kv() >= need.prompt_tokens + need.max_tokens
        and (wait := _slot_wait(engine, limits)) < math.inf
    ]
    best: tuple[float, str, str] | None = None
    best_choice = None
    for start in starts:
        for target in targets:
            engine = target.engine
            if closed_links and _is_closed(start.engine.name, engine.name, closed_links):
                continue
            arrival = _arrival(start, engine, need, speeds)
            if target.wait > 0 and not _is_in_time(start, target, arrival - now, limits):
                continue
            score = (_cost(start, arrival, engine, limits), start.engine.name, engine.name)
            if best is None or score < best:
                best = score
                best_choice = Choice(start.engine.name, engine.name, start.end, arrival)
    return best_choice


def _start_on(engine: EngineLoad, need: PlacementNeed, speeds: SpeedBook, now: float) -> _Start:
    tokens = max(1, need.prompt_tokens - need.cached_by_engine.get(engine.name, 0))
    begin = max(now, engine.prefill_free_at) if engine.prefill_count else now
    return _Start(engine, begin + tokens * speeds.prefill.of(engine.name))


def _arrival(start: _Start, target: EngineLoad, need: PlacementNeed, speeds: SpeedBook) -> float:
    if start.engine is target:
        return start.end
    begin = max(start.end, start.engine.link_free_at, target.link_free_at)
    return begin + need.prompt_tokens * speeds.transfer.of(target.name)


def _is_closed(source: str, target: str, closed_links: frozenset[str]) -> bool:
    return not closed_links.isdisjoint(link_keys(source, target))


def _slot_wait(engine: EngineLoad, limits: PlacementLimits) -> float:
    return engine.slot_wait(limits.release_share) if limits.reserves_slot else 0.0


def _is_in_time(start: _Start, target: _Target, seconds: float, limits: PlacementLimits) -> bool:
    # KV on the engine that computed it has no transfer to be retried while it lives, so that it
    # is not started on a promise.
    return start.engine is not target.engine and seconds + limits.slack >= target.wait


def _cost(start: _Start, arrival: float, target: EngineLoad, limits: PlacementLimits) -> float:
    fullness = 1.0 - target.free_slots() / max(1, target.slots)
    remote = limits.remote_cost if start.engine.data_centre != target.data_centre else 0.0
    promise = limits.promise_cost if target.free_slots() <= 0 else 0.0
    return arrival + limits.fullness_cost * fullness + promise + remote
