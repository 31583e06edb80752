"""Counters and records of a stand-in engine, for the checks of a test."""

from collections import Counter, deque
from dataclasses import dataclass

from pimentoquay.backends.base import EngineOrder, RunningRequest
from pimentoquay.messages.placement import Stage

__all__ = ["EngineObservation", "EngineRecorder", "OrderRecord", "RunRecord"]

_MAX_RUNS = 20_000
_MAX_ORDERS = 2_000


@dataclass(frozen=True)
class RunRecord:
    """Start of one stage of an attempt; ``at`` is the engine's time in seconds.

    ``version`` is the version of the weights that the engine had loaded at that time.
    """

    request_id: str
    attempt: int
    stage: Stage
    at: float
    version: str = ""


@dataclass(frozen=True)
class OrderRecord:
    """An order that was applied; ``at`` is the engine's time in seconds."""

    at: float
    order: EngineOrder


@dataclass(frozen=True)
class EngineObservation:
    """Counters and records of one engine.

    Summed over all engines that exchanged KV cache, ``prefilled_tokens`` equals ``used_tokens``
    plus ``discarded_tokens`` plus the computed tokens that are still held. ``held_tokens`` is the
    KV memory in use, in tokens. ``decoded_twice`` has the ids of requests whose decode started
    more than once. ``swapped_under`` is the number of requests that were held while the version of
    the weights changed.
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
    """Recorder of the counters and events of one engine."""

    def __init__(self) -> None:
        self.prefilled_tokens = 0
        self.used_tokens = 0
        self.discarded_tokens = 0
        self.decodes_finished = 0
        self.refused = 0
        self.swapped_under = 0
        self._runs: deque[RunRecord] = deque(maxlen=_MAX_RUNS)
        self._orders: deque[OrderRecord] = deque(maxlen=_MAX_ORDERS)
        self._decodes_by_request: Counter[str] = Counter()

    def record_run(
        self, request_id: str, attempt: int, stage: Stage, at: float, version: str = ""
    ) -> None:
        """Record the start of a stage."""
        self._runs.append(RunRecord(request_id, attempt, stage, at, version))
        if stage is Stage.DECODE:
            self._decodes_by_request[request_id] += 1

    def record_order(self, at: float, order: EngineOrder) -> None:
        """Record an order that was applied."""
        self._orders.append(OrderRecord(at, order))

    def observed(
        self, engine: str, now: float, held_tokens: int, held: tuple[RunningRequest, ...]
    ) -> EngineObservation:
        """Return all counters and records, and the requests that the engine holds now."""
        twice = tuple(sorted(key for key, count in self._decodes_by_request.items() if count > 1))
        return EngineObservation(
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
