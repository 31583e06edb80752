"""How busy the prefill and the decode engines of a shard are, by its ledger."""

from collections.abc import Iterable

from pimentoquay.backends.base import EngineRole
from pimentoquay.backends.events import StageUse
from pimentoquay.policy import EngineLoad

__all__ = ["UseMeter"]

SAMPLE_WEIGHT = 0.1
"""The weight of the newest sample, which with one sample a second averages over about 10 s."""


class UseMeter:
    """Averages samples of one shard's use; mixed engines do not count."""

    def __init__(self) -> None:
        self._prefill = 0.0
        self._decode = 0.0

    def sample(self, loads: Iterable[EngineLoad]) -> None:
        """Take the state of the engines that may get work now."""
        usable = list(loads)
        prefill = [load for load in usable if load.role is EngineRole.PREFILL]
        decode = [load for load in usable if load.role is EngineRole.DECODE]
        busy = sum(load.prefill_count > 0 for load in prefill)
        slots = sum(load.slots for load in decode)
        taken = slots - sum(max(0, load.free_slots()) for load in decode)
        self._prefill += SAMPLE_WEIGHT * (_share(busy, len(prefill)) - self._prefill)
        self._decode += SAMPLE_WEIGHT * (_share(taken, slots) - self._decode)

    def use(self, shard: str) -> StageUse:
        """Return the averages."""
        return StageUse(shard, self._prefill, self._decode)


def _share(part: int, whole: int) -> float:
    return min(1.0, part / whole) if whole else 0.0
