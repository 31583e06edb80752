"""How many engines of a service prefill and how many decode.

Load pattern: a pool whose stages were set without regard to the load, or which has lost engines of
one stage. Each request needs some time of a prefill engine and, for a while, a part of a decode
engine's memory. The stages are shared out in proportion to the two, with room for bursts on the
prefill side, because a prompt that queues delays a stream whose memory is already reserved. Changes
come one at a time, because an engine serves nobody while it changes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from pimentoquay.policy.fleet import EngineEntry, EngineStage

__all__ = ["StageChange", "StageDemand", "next_change", "wanted_prefill_engines"]

PREFILL_SECONDS = 0.1
"""The assumed time of a prefill: 5,000 tokens at 55 a millisecond, as the users' sheets say."""

DECODE_SECONDS = 0.33
"""The assumed time of a whole decode engine that a stream takes: a tenth of its memory for 3 s."""

ASSUMED_REQUESTS = 30.0
"""How many requests the assumptions count for."""

PREFILL_HEADROOM = 1.4
"""The prefill engines wanted over those that the load keeps busy; bursts are twice the mean, and
prompts may queue for a while."""


@dataclass(frozen=True)
class StageChange:
    """An engine and the stage that it should have."""

    engine: EngineEntry
    stage: EngineStage


class StageDemand:
    """What requests have needed of the two stages, in seconds of a whole engine."""

    def __init__(self) -> None:
        self._prefill = (ASSUMED_REQUESTS, ASSUMED_REQUESTS * PREFILL_SECONDS)
        self._decode = (ASSUMED_REQUESTS, ASSUMED_REQUESTS * DECODE_SECONDS)

    def note_prefill(self, seconds: float) -> None:
        """Count a prefill."""
        self._prefill = (self._prefill[0] + 1, self._prefill[1] + seconds)

    def note_decode(self, tokens: int, seconds: float, capacity: int) -> None:
        """Count a stream that held so many tokens of an engine's capacity for so long."""
        share = tokens / max(1, capacity)
        self._decode = (self._decode[0] + 1, self._decode[1] + share * seconds)

    @property
    def prefill_share(self) -> float:
        """The part of all engine time that goes into prefilling."""
        prefill = self._prefill[1] / self._prefill[0]
        decode = self._decode[1] / self._decode[0]
        return prefill / (prefill + decode)


def wanted_prefill_engines(engines: int, prefill_share: float) -> int:
    """Return how many of the engines should prefill; one at least, if two are left."""
    if engines < 2:
        return 0
    wanted = round(PREFILL_HEADROOM * prefill_share * engines)
    return min(engines - 1, max(1, wanted))


def next_change(engines: Sequence[EngineEntry], prefill_share: float) -> StageChange | None:
    """Return the change to make next, or ``None`` if the stages are as they should be.

    ``engines`` are those of one service that take new work and are not changing.
    """
    prefill = [engine for engine in engines if engine.stage is EngineStage.PREFILL]
    decode = [engine for engine in engines if engine.stage is EngineStage.DECODE]
    wanted = wanted_prefill_engines(len(prefill) + len(decode), prefill_share)
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
