"""Last order of this process to each engine, and whether it may still take effect.

An engine that loads new weights reports its old version until it swaps to the new one. If the
desired version is changed back to the old one during the load, the report alone looks as if the
engine had already reached its target.
"""

import math
from dataclasses import dataclass, replace

from pimentoquay.backends.base import EngineStatus
from pimentoquay.orders.reconcile import EngineTarget

__all__ = ["SentOrders"]


@dataclass(frozen=True)
class _SentOrder:
    """An order; ``at`` is the time of its acknowledgement, infinite until then."""

    target: EngineTarget
    at: float
    may_change_version: bool
    number: int


class SentOrders:
    """Last order to each engine; times are in seconds of the process's clock."""

    def __init__(self) -> None:
        self._order_by_engine: dict[str, _SentOrder] = {}

    def record(
        self, status: EngineStatus, may_swap: bool, target: EngineTarget, number: int
    ) -> None:
        """Record an order that is about to be sent.

        Parameters
        ----------
        status
            Latest report of the engine.
        may_swap
            Whether the engine may still swap versions because of an earlier order.
        target
            State that is ordered.
        number
            Fencing number of the order.
        """
        may_change_version = may_swap or status.version != target.version
        self._order_by_engine[status.engine] = _SentOrder(
            target, math.inf, may_change_version, number
        )

    def mark_acknowledged(self, engine: str, at: float) -> None:
        """Record that an engine has acknowledged its last order, at the time ``at``."""
        sent = self._order_by_engine[engine]
        self._order_by_engine[engine] = replace(sent, at=at)

    def has_acknowledged(self, engine: str, number: int) -> bool:
        """Return whether an engine's last order had this fencing number and was acknowledged."""
        sent = self._order_by_engine.get(engine)
        return sent is not None and sent.number == number and sent.at < math.inf

    def forget(self, engine: str) -> None:
        """Remove the order to an engine of a shard that is no longer owned."""
        self._order_by_engine.pop(engine, None)

    def needs_new_order(
        self, status: EngineStatus, reported_at: float, target: EngineTarget
    ) -> bool:
        """Return whether an engine needs a new order because of the last one, whatever it reports.

        A new order is needed if the engine may still swap versions because of the last order, and
        that order names another version than the target or was not acknowledged.
        """
        sent = self._order_by_engine.get(status.engine)
        if sent is None or not self.is_swapping(status, reported_at):
            return False
        return sent.at == math.inf or sent.target.version != target.version

    def is_swapping(self, status: EngineStatus, reported_at: float) -> bool:
        """Return whether an engine may still swap versions because of its last order."""
        sent = self._order_by_engine.get(status.engine)
        if sent is None or not sent.may_change_version:
            return False
        is_later = reported_at - status.age > sent.at
        return not is_later or status.version != sent.target.version
