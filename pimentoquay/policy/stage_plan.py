"""How many engines of a service prefill and how many decode.

Load pattern: a pool whose stages were set without regard to the load, or which has lost engines of
one stage, before streams whose memory runs out long before the prefill engines are busy. Each
request needs some time of a prefill engine and, for a while, a part of a decode engine's memory.
The stages are shared out in proportion to the two, as all gateways together have seen them, with
room for bursts on the prefill side, because a prompt that queues delays a stream whose memory is
already reserved. An engine serves nobody while it changes, so few change at a time, unless nothing
runs anywhere.
"""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from pimentoquay.policy.fleet import EngineEntry, EngineStage

__all__ = [
    "StageChange",
    "StageDemand",
    "StageWork",
    "most_changing",
    "next_change",
    "wanted_prefill_engines",
]

PREFILL_SECONDS = 0.09
"""The assumed time of a prefill: 5,000 tokens at 55 a millisecond, as the users' sheets say."""

DECODE_TOKEN_SECONDS = 56_000.0
"""The assumed memory of a stream, in tokens times seconds: 9,000 tokens in the mean for 5.3 s, and
the share of an engine's memory that is left free; from the first plays of the users' sites."""

ASSUMED_REQUESTS = 30.0
"""How many requests the assumptions count for."""

PREFILL_HEADROOM = 2.0
"""The prefill engines wanted over those that the load keeps busy; bursts are twice the mean."""

SPARE_ENGINES = 5
"""With so many engines at least two prefill. Where the only one leaves, decode engines read all the
prompts, and their streams pause for each, until another engine has changed."""

CHANGING_SHARE = 8
"""One engine in so many may change its stage at a time, one at least."""


@dataclass(frozen=True)
class StageChange:
    """An engine and the stage that it should have."""

    engine: EngineEntry
    stage: EngineStage


@dataclass(frozen=True)
class StageWork:
    """What requests have needed of the two stages since a gateway started.

    ``prefill_seconds`` is time of prefill engines, ``decode_seconds`` the time for which decode
    engines' whole memory would have been taken.
    """

    prefills: int = 0
    prefill_seconds: float = 0.0
    decodes: int = 0
    decode_seconds: float = 0.0


class StageDemand:
    """What requests need of the two stages, seen by all gateways.

    One gateway of many sees too few requests to tell, so each gives its sums to the others.
    """

    def __init__(self) -> None:
        self.own = StageWork()
        self._work_by_vm: dict[str, StageWork] = {}

    def note_prefill(self, seconds: float) -> None:
        """Count a prefill of this gateway."""
        own = self.own
        self.own = replace(
            own, prefills=own.prefills + 1, prefill_seconds=own.prefill_seconds + seconds
        )

    def note_decode(self, tokens: int, seconds: float, capacity: int) -> None:
        """Count a stream that held so many tokens of an engine's capacity for so long."""
        own, share = self.own, tokens / max(1, capacity)
        self.own = replace(
            own, decodes=own.decodes + 1, decode_seconds=own.decode_seconds + share * seconds
        )

    def set_peer(self, vm: str, work: StageWork) -> None:
        """Take a peer's own sums."""
        self._work_by_vm[vm] = work

    def prefill_share(self, capacity: int) -> float:
        """Return the part of all engine time that goes into prefilling.

        ``capacity`` is the memory of an engine in tokens, for what is assumed before any request.
        """
        seen = (self.own, *self._work_by_vm.values())
        assumed = ASSUMED_REQUESTS
        prefill = assumed * PREFILL_SECONDS + sum(work.prefill_seconds for work in seen)
        prefill /= assumed + sum(work.prefills for work in seen)
        decode = assumed * DECODE_TOKEN_SECONDS / max(1, capacity)
        decode = (decode + sum(work.decode_seconds for work in seen)) / (
            assumed + sum(work.decodes for work in seen)
        )
        return prefill / (prefill + decode)


def most_changing(engines: int, is_idle: bool) -> int:
    """Return how many of a service's engines may change their stage at a time."""
    return engines if is_idle else max(1, engines // CHANGING_SHARE)


def wanted_prefill_engines(engines: int, prefill_share: float) -> int:
    """Return how many of the engines should prefill; one at least, if two are left."""
    if engines < 2:
        return 0
    wanted = round(PREFILL_HEADROOM * prefill_share * engines)
    least = 1 if engines < SPARE_ENGINES else 2
    return min(engines - 1, max(least, wanted))


def next_change(
    engines: Sequence[EngineEntry], prefill_share: float, changing: int = 0
) -> StageChange | None:
    """Return the change to make next, or ``None`` if the stages are as they should be.

    ``engines`` are those of one service that take new work and are not changing, beside
    ``changing`` others.
    """
    prefill = [engine for engine in engines if engine.stage is EngineStage.PREFILL]
    decode = [engine for engine in engines if engine.stage is EngineStage.DECODE]
    wanted = wanted_prefill_engines(len(prefill) + len(decode) + changing, prefill_share)
    if len(prefill) > wanted:
        crowded = _most_crowded(prefill)
        return StageChange(crowded, EngineStage.DECODE)
    if not prefill and wanted and len(decode) > 2:
        return StageChange(min(decode, key=lambda engine: engine.id), EngineStage.PREFILL)
    return None


def _most_crowded(engines: Sequence[EngineEntry]) -> EngineEntry:
    """Return an engine of the data centre that has most of them."""
    count_by_data_centre: dict[str, int] = {}
    for engine in engines:
        count = count_by_data_centre.get(engine.data_centre, 0)
        count_by_data_centre[engine.data_centre] = count + 1
    return min(engines, key=lambda each: (-count_by_data_centre[each.data_centre], each.id))
