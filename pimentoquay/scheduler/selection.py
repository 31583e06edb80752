"""Estimates and engine choices of a shard's scheduler: service times, load, placements."""

import math
from dataclasses import replace

from pimentoquay.messages.placement import PlaceRequest
from pimentoquay.policy import (
    Choice,
    EngineLoad,
    Estimate,
    PlacementLimits,
    PlacementNeed,
    PrefixIndex,
    ShardLoad,
    SpeedBook,
    choose,
)
from pimentoquay.scheduler.engines import EngineSet
from pimentoquay.scheduler.ledger import Ledger
from pimentoquay.scheduler.settings import SchedulerSection
from pimentoquay.scheduler.waiting import ServiceTimes, WaitingRequest

__all__ = ["Selector"]

PREFILL_LEAD_SECONDS = 0.02
"""Seconds before an engine becomes idle at which it may get the next prefill."""

UNBOUNDED_LEAD_SECONDS = 3600.0
"""Prefill lead in seconds if no slots are reserved.

It is so long that an engine with one prefill in flight may always get the next one, unless the
first is overdue.
"""

MAX_RECHECK_SECONDS = 0.25
"""Maximum time in seconds between two placement attempts while any request waits."""

INITIAL_HOLD_SECONDS = 2.0
"""Mean time in a decode slot, in seconds, that is assumed before the first grant."""

INITIAL_PREFILL_SECONDS = 0.2
"""Mean duration of a prefill, in seconds, that is assumed before the first grant."""


class Selector:
    """Computes estimates and placements from a shard's state without changing the ledger.

    Parameters
    ----------
    ledger
        The shard's ledger.
    engines
        The shard's engines.
    speeds
        Learned speeds of engines and links.
    prefixes
        Index of the prompt prefixes that engines cache.
    section
        The ``[scheduler]`` settings.
    """

    def __init__(
        self,
        ledger: Ledger,
        engines: EngineSet,
        speeds: SpeedBook,
        prefixes: PrefixIndex,
        section: SchedulerSection,
    ) -> None:
        self._ledger = ledger
        self._engines = engines
        self._speeds = speeds
        self._prefixes = prefixes
        self._section = section
        self._placement_limits = PlacementLimits(
            release_share=section.release_share,
            slack=section.slot_slack,
            reserves_slot=section.reservation,
            prefill_lead=(PREFILL_LEAD_SECONDS if section.reservation else UNBOUNDED_LEAD_SECONDS),
        )
        self._rescue_limits = replace(self._placement_limits, reserves_slot=False)
        self._strict_limits = replace(self._placement_limits, release_share=0.0)
        self._hold_mean = Estimate(INITIAL_HOLD_SECONDS)
        self._prefill_mean = Estimate(INITIAL_PREFILL_SECONDS)

    def hold_mean(self) -> float:
        """Return the mean time in seconds for which a request occupies a decode slot."""
        return self._hold_mean.of("")

    def record_grant(self, prefill: float, hold: float, now: float) -> None:
        """Add a granted request's expected prefill and slot times, in seconds, to the means."""
        self._hold_mean.add("", hold, now)
        self._prefill_mean.add("", prefill, now)

    def choose(self, waiting: WaitingRequest, is_rescue_waiting: bool, now: float) -> Choice | None:
        """Return engines for a waiting request, or ``None`` if it cannot be placed now.

        Parameters
        ----------
        waiting
            The request at the head of the queue.
        is_rescue_waiting
            Whether a rescue, as defined in ``scheduler/waiting.py``, waits for a slot. No slot is
            then promised before it is free, since the rescue needs the next free slot.
        now
            Present time in seconds of the scheduler's clock.
        """
        request = waiting.request
        usable = _of_version(self._engines.usable(now), waiting.version)
        usable = _without_engine(usable, waiting.avoided_engine)
        limits = self._strict_limits if is_rescue_waiting else self._placement_limits
        if limits.reserves_slot and not self._is_any_slot_open(usable, limits):
            return None
        sources = [
            load
            for load in self._engines.prefillers(usable)
            if load.is_open_for_prefill(limits.prefill_lead, now)
        ]
        if not sources:
            return None
        targets = self._engines.decoders(usable, request.token_interval, now)
        if limits.reserves_slot:
            share = limits.release_share
            targets = [load for load in targets if load.slot_wait(share) < math.inf]
        if not targets:
            return None
        need = PlacementNeed(
            request.prompt_tokens, request.max_tokens, self._cached(request, sources)
        )
        closed = self._engines.avoided_links(now)
        choice = self._choose_same_version(need, sources, targets, closed, limits, now)
        if choice is not None and self._section.admission:
            first_token = choice.transfer_end + self._speeds.interval.of(choice.decode)
            if first_token > waiting.deadline:
                return None
        return choice

    def seconds_until_opening(self, now: float) -> float:
        """Return the seconds until a placement may become possible by the passage of time alone.

        Everything else that can make a placement possible reaches the scheduler as a message or
        a call: the end of a stage, an engine's report, a new engine.
        """
        limits = self._placement_limits
        usable = self._engines.usable(now)
        waits = [self._engines.next_probe_in(now), MAX_RECHECK_SECONDS]
        is_source_open = False
        for load in usable:
            if not load.can_prefill:
                continue
            if load.is_open_for_prefill(limits.prefill_lead, now):
                is_source_open = True
            elif load.prefill_count == 1 and load.prefill_free_at > now:
                waits.append(load.prefill_free_at - limits.prefill_lead - now)
        if is_source_open and self._is_any_slot_open(usable, limits):
            # A prefill engine and a slot are open, so a busy link is assumed to be the obstacle.
            waits.append(self._section.tick)
        return min(waits)

    def _is_any_slot_open(self, usable: list[EngineLoad], limits: PlacementLimits) -> bool:
        share = limits.release_share
        return any(load.can_decode and load.slot_wait(share) < math.inf for load in usable)

    def choose_rescue(self, waiting: WaitingRequest, now: float) -> Choice | None:
        """Return a placement of a rescue on a decode engine with a free slot, or ``None``.

        No prefill engine is chosen, because ``waiting.kv_engine`` still holds the KV cache.
        """
        source = self._ledger.engine_by_name[waiting.kv_engine]
        need = PlacementNeed(
            waiting.request.prompt_tokens,
            waiting.request.max_tokens,
            {source.name: waiting.request.prompt_tokens},
        )
        usable = self._engines.usable(now)
        targets = self._engines.decoders(usable, waiting.request.token_interval, now)
        targets = [
            load
            for load in targets
            if load.rescue_slots() > 0 and load.name != waiting.avoided_engine
        ]
        closed = self._engines.avoided_links(now)
        open_source = replace(source, prefill_count=0)
        targets = [open_source if load is source else load for load in targets]
        return self._choose_same_version(
            need, [open_source], targets, closed, self._rescue_limits, now
        )

    def _choose_same_version(
        self,
        need: PlacementNeed,
        sources: list[EngineLoad],
        targets: list[EngineLoad],
        avoided_links: frozenset[str],
        limits: PlacementLimits,
        now: float,
    ) -> Choice | None:
        """Return the best pair of engines that run the same version, or ``None``."""
        choices = []
        for version in sorted({load.version for load in sources}):
            same_version = [load for load in sources if load.version == version]
            matching = [load for load in targets if load.version == version]
            choices.append(
                choose(need, same_version, matching, self._speeds, avoided_links, limits, now)
            )
        return min(filter(None, choices), key=lambda choice: choice.transfer_end, default=None)

    def service(self, request: PlaceRequest, now: float) -> ServiceTimes:
        """Return the durations of a request on the best engines, as if these were idle."""
        usable = self._engines.live()
        sources = self._engines.prefillers(usable)
        cached = self._cached(request, sources)
        prefill = min(
            (
                max(1, request.prompt_tokens - cached.get(load.name, 0))
                * self._speeds.prefill.of(load.name)
                for load in sources
            ),
            default=0.0,
        )
        targets = self._engines.decoders(usable, request.token_interval, now)
        interval = min((self._speeds.interval.of(load.name) for load in targets), default=0.0)
        needs_link = not any(load.can_prefill for load in targets)
        transfer = request.prompt_tokens * self._speeds.transfer.of("") if needs_link else 0.0
        tokens = request.max_tokens * self._speeds.answer_fraction.of(request.kind)
        hold = max(0.05, transfer + tokens * interval)
        return ServiceTimes(prefill, prefill + transfer + interval, hold)

    def shard_load(self, now: float) -> ShardLoad:
        """Return the load of the shard and its mean service times, as admission needs them."""
        live = self._engines.live()
        decoders = [load for load in live if load.can_decode]
        sources = [load for load in live if load.can_prefill]
        waits = [
            max(self._prefill_wait(load, now), self._engines.circuit_wait(load.name, now))
            for load in sources
        ]
        return ShardLoad(
            sum(max(0, load.free_slots()) for load in decoders),
            sum(load.slots for load in decoders),
            self._hold_mean.of(""),
            len(sources),
            self._prefill_mean.of(""),
            min(waits, default=0.0),
        )

    def _prefill_wait(self, load: EngineLoad, now: float) -> float:
        return max(0.0, load.prefill_free_at - now) if load.prefill_count else 0.0

    def _cached(self, request: PlaceRequest, sources: list[EngineLoad]) -> dict[str, int]:
        if not self._section.prefixes or not request.prefix:
            return {}
        return {
            load.name: self._prefixes.cached_tokens(load.name, request.prefix) for load in sources
        }


def _without_engine(loads: list[EngineLoad], name: str) -> list[EngineLoad]:
    """Return the loads without the named engine, or all if a stage would have no engine left.

    The named engine failed a previous attempt of the request.
    """
    others = [load for load in loads if load.name != name]
    has_pair = any(load.can_prefill for load in others) and any(load.can_decode for load in others)
    return others if has_pair else loads


def _of_version(loads: list[EngineLoad], version: str) -> list[EngineLoad]:
    """Return the engines that run a version, or all engines if no decode engine runs it.

    An empty version stands for any.
    """
    same_version = [load for load in loads if load.version == version]
    return same_version if version and any(load.can_decode for load in same_version) else loads
