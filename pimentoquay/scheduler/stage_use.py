"""Moving average of the utilisation of a shard's prefill and decode engines."""

from collections.abc import Iterable

from pimentoquay.backends.base import EngineRole
from pimentoquay.backends.events import StageUse
from pimentoquay.policy import EngineLoad

__all__ = ["StageUseAverage"]

SAMPLE_WEIGHT = 0.1
"""Weight of the newest sample; with one sample per second, the average covers about 10 s."""


class StageUseAverage:
    """Moving averages of the utilisation of one shard's stages, according to its ledger.

    Engines that run both stages are left out.
    """

    def __init__(self) -> None:
        self._prefill = 0.0
        self._decode = 0.0

    def sample(self, loads: Iterable[EngineLoad]) -> None:
        """Add the present state of the engines that may get work to the averages."""
        usable = list(loads)
        prefill = [load for load in usable if load.role is EngineRole.PREFILL]
        decode = [load for load in usable if load.role is EngineRole.DECODE]
        busy = sum(load.prefill_count > 0 for load in prefill)
        slots = sum(load.slots for load in decode)
        taken = slots - sum(max(0, load.free_slots()) for load in decode)
        self._prefill += SAMPLE_WEIGHT * (_ratio(busy, len(prefill)) - self._prefill)
        self._decode += SAMPLE_WEIGHT * (_ratio(taken, slots) - self._decode)

    def average(self, shard: str) -> StageUse:
        """Return the averages as an event for the given shard."""
        return StageUse(shard, self._prefill, self._decode)


def _ratio(part: int, whole: int) -> float:
    return min(1.0, part / whole) if whole else 0.0
