"""What a stand-in engine saw, kept for checkers."""

from collections import Counter, deque
from dataclasses import dataclass

from pimentoquay.backends.base import EngineOrder, RunningRequest
from pimentoquay.messages.placement import Stage

__all__ = ["EngineObserved", "EngineRecorder", "OrderRecord", "RunRecord"]

_RUNS_KEPT = 20_000
_ORDERS_KEPT = 2_000


@dataclass(frozen=True)
class RunRecord:
    """One stage of one attempt that was started; ``at`` is engine time in seconds.

    ``version`` is the version of the weights that the engine had then.
    """

    request_id: str
    attempt: int
    stage: Stage
    at: float
    version: str = ""


@dataclass(frozen=True)
class OrderRecord:
    """One order that was applied; ``at`` is engine time in seconds."""

    at: float
    order: EngineOrder


@dataclass(frozen=True)
class EngineObserved:
    """Counters and records of one engine.

    ``prefilled_tokens`` equals ``used_tokens`` plus ``discarded_tokens`` plus what is held, over
    all engines that exchanged KV. Held memory is in tokens. ``swapped_under`` counts the requests
    that were held while the version of the weights changed.
    """

    engine: str
    now: float
    prefilled_tokens: int
    used_tokens: int
    discarded_tokens: int
    decodes_started: int
    decodes_finished: int
    decoded_twice: tuple[str, ...]
    refused: int
    held_tokens: int
    held: tuple[RunningRequest, ...]
    runs: tuple[RunRecord, ...]
    orders: tuple[OrderRecord, ...]
    swapped_under: int = 0


class EngineRecorder:
    """Counts what happens on one engine."""

    def __init__(self) -> None:
        self.prefilled_tokens = 0
        self.used_tokens = 0
        self.discarded_tokens = 0
        self.decodes_finished = 0
        self.refused = 0
        self.swapped_under = 0
        self._runs: deque[RunRecord] = deque(maxlen=_RUNS_KEPT)
        self._orders: deque[OrderRecord] = deque(maxlen=_ORDERS_KEPT)
        self._decodes_by_request: Counter[str] = Counter()

    def run(
        self, request_id: str, attempt: int, stage: Stage, at: float, version: str = ""
    ) -> None:
        """Record the start of a stage."""
        self._runs.append(RunRecord(request_id, attempt, stage, at, version))
        if stage is Stage.DECODE:
            self._decodes_by_request[request_id] += 1

    def order(self, at: float, order: EngineOrder) -> None:
        """Record an order that was applied."""
        self._orders.append(OrderRecord(at, order))

    def observed(
        self, engine: str, now: float, held_tokens: int, held: tuple[RunningRequest, ...]
    ) -> EngineObserved:
        """Return everything recorded, with what the engine holds now."""
        twice = tuple(sorted(key for key, count in self._decodes_by_request.items() if count > 1))
        return EngineObserved(
            engine,
            now,
            self.prefilled_tokens,
            self.used_tokens,
            self.discarded_tokens,
            self._decodes_by_request.total(),
            self.decodes_finished,
            twice,
            self.refused,
            held_tokens,
            held,
            tuple(self._runs),
            tuple(self._orders),
            self.swapped_under,
        )
