"""What this process last ordered of each engine, and whether that may still be taking effect.

An engine that loads reports its old version until it swaps. If what is wanted goes back to that
version meanwhile, the report alone looks as if nothing were left to do.
"""

import math
from dataclasses import dataclass, replace

from pimentoquay.backends.base import EngineStatus
from pimentoquay.orders.reconcile import EngineTarget

__all__ = ["SentOrders"]


@dataclass(frozen=True)
class _Sent:
    target: EngineTarget
    at: float
    swaps: bool
    number: int


class SentOrders:
    """The last order to each engine; times are in seconds of the process's clock."""

    def __init__(self) -> None:
        self._sent_by_engine: dict[str, _Sent] = {}

    def note(self, status: EngineStatus, may_swap: bool, target: EngineTarget, number: int) -> None:
        """Remember an order that is about to be sent.

        ``may_swap`` tells that an earlier order may still be taking effect.
        """
        swaps = may_swap or status.version != target.version
        self._sent_by_engine[status.engine] = _Sent(target, math.inf, swaps, number)

    def taken(self, engine: str, at: float) -> None:
        """Note when the engine had taken the order."""
        sent = self._sent_by_engine[engine]
        self._sent_by_engine[engine] = replace(sent, at=at)

    def has_taken(self, engine: str, number: int) -> bool:
        """Tell whether an engine took an order of this process under a fencing number."""
        sent = self._sent_by_engine.get(engine)
        return sent is not None and sent.number == number and sent.at < math.inf

    def forget(self, engine: str) -> None:
        """Forget an engine of a shard that is no longer owned."""
        self._sent_by_engine.pop(engine, None)

    def needs_another(self, status: EngineStatus, reported_at: float, target: EngineTarget) -> bool:
        """Tell whether the last order may still bring a version that is not wanted any more."""
        sent = self._sent_by_engine.get(status.engine)
        if sent is None or not self.is_swapping(status, reported_at):
            return False
        return sent.at == math.inf or sent.target.version != target.version

    def is_swapping(self, status: EngineStatus, reported_at: float) -> bool:
        """Tell whether an engine may still change its version by the last order."""
        sent = self._sent_by_engine.get(status.engine)
        if sent is None or not sent.swaps:
            return False
        is_later = reported_at - status.age > sent.at
        return not is_later or status.version != sent.target.version
