"""The memory and slots that a stand-in engine holds, one holding for each request."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.backends.base import EngineRefusedError, KvGoneError, RunningRequest
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.decode_batch import DecodeStream
from pimentoquay.standin.engine_record import EngineRecorder

__all__ = ["Holding", "HoldingLedger"]


@dataclass(eq=False)
class Holding:
    """What an engine holds of one attempt of a request; times are loop times in seconds."""

    request_id: str
    attempt: int
    stage: Stage
    max_tokens: int
    since: float
    prompt: str = ""
    prompt_tokens: int = 0
    kv_tokens: int = 0
    computed_tokens: int = 0
    is_ready: bool = False
    uses_slot: bool = False
    expires_at: float = 0.0
    expiry: asyncio.TimerHandle | None = None
    exports: int = 0
    stream: DecodeStream | None = None
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def describe(self, now: float) -> RunningRequest:
        """Return the holding as the engine reports it."""
        has_reader = self.stream is not None and self.stream.readers > 0
        since = self.since if self.stream is None else max(self.since, self.stream.idle_since)
        age = 0.0 if has_reader else now - since
        return RunningRequest(
            self.request_id, self.attempt, self.stage, has_reader, self.kv_tokens, age
        )


class HoldingLedger:
    """Every holding of one engine by request id, within the limits of memory and slots.

    Parameters
    ----------
    kv_capacity_tokens
        The KV memory.
    decode_slots
        How many requests may be fetched or decoded at once.
    recorder
        Counts the prefilled tokens that are dropped unused.
    """

    def __init__(
        self, kv_capacity_tokens: int, decode_slots: int, recorder: EngineRecorder
    ) -> None:
        self._kv_capacity_tokens = kv_capacity_tokens
        self._decode_slots = decode_slots
        self._recorder = recorder
        self.holding_by_request: dict[str, Holding] = {}

    @property
    def used_tokens(self) -> int:
        """The KV memory in use, in tokens."""
        return sum(holding.kv_tokens for holding in self.holding_by_request.values())

    @property
    def used_slots(self) -> int:
        """The decode slots in use."""
        return sum(holding.uses_slot for holding in self.holding_by_request.values())

    @property
    def waiting_prefills(self) -> tuple[Holding, ...]:
        """The prefills that have not finished."""
        return tuple(
            holding
            for holding in self.holding_by_request.values()
            if holding.stage is Stage.PREFILL and not holding.is_ready
        )

    def admit(self, holding: Holding) -> None:
        """Add a holding in place of an older attempt; refuse an older or repeated one."""
        held = self.holding_by_request.get(holding.request_id)
        if held is not None and held.attempt >= holding.attempt:
            detail = f"attempt {holding.attempt} of {holding.request_id}: {held.attempt} is held"
            raise EngineRefusedError(detail)
        if held is not None:
            self.drop(held, "replaced by a newer attempt")
        self.holding_by_request[holding.request_id] = holding

    def reserve(self, holding: Holding, kv_tokens: int) -> None:
        """Set the memory of a holding, or refuse when there is not enough."""
        if self.used_tokens - holding.kv_tokens + kv_tokens > self._kv_capacity_tokens:
            raise EngineRefusedError(f"no KV memory for {kv_tokens} tokens")
        holding.kv_tokens = kv_tokens

    def take_slot(self, holding: Holding) -> None:
        """Give a holding a decode slot, or refuse when all are taken."""
        if not holding.uses_slot and self.used_slots >= self._decode_slots:
            raise EngineRefusedError(f"all {self._decode_slots} decode slots are taken")
        holding.uses_slot = True

    def find(self, request_id: str, attempt: int) -> Holding:
        """Return the holding of an attempt, -1 for any, or refuse when there is none."""
        holding = self.holding_by_request.get(request_id)
        if holding is None or attempt not in (-1, holding.attempt):
            raise KvGoneError(f"attempt {attempt} of {request_id} is not held")
        return holding

    def is_held(self, holding: Holding) -> bool:
        """Tell whether a holding is still held."""
        return self.holding_by_request.get(holding.request_id) is holding

    def drop(self, holding: Holding, reason: str) -> None:
        """Free a holding, end its work and count what it leaves unused."""
        if not self.is_held(holding):
            return
        del self.holding_by_request[holding.request_id]
        self._recorder.discarded_tokens += holding.computed_tokens
        holding.computed_tokens = 0
        if holding.expiry is not None:
            holding.expiry.cancel()
        current = asyncio.current_task()
        for task in list(holding.tasks):
            if task is not current:
                task.cancel()
        if holding.stream is not None and not holding.stream.is_finished:
            holding.stream.fail(reason)

    def describe(self, now: float) -> tuple[RunningRequest, ...]:
        """Return every holding as the engine reports it."""
        return tuple(holding.describe(now) for holding in self.holding_by_request.values())
