"""Memory and decode slots of a stand-in engine, with one allocation per request."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from pimentoquay.backends.base import EngineRefusedError, KvGoneError, RunningRequest
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.decode_batch import DecodeStream
from pimentoquay.standin.engine_record import EngineRecorder

__all__ = ["Allocation", "AllocationTable"]


@dataclass(eq=False)
class Allocation:
    """Memory, decode slot, stream and tasks of one attempt of a request.

    Times are event-loop times in seconds.

    Attributes
    ----------
    since
        Start of the current stage.
    kv_tokens
        KV memory that is reserved, in tokens.
    computed_tokens
        Prompt tokens that were computed for the KV cache and not used for a decode yet.
    is_ready
        Whether the KV cache of the prompt is complete.
    expires_at
        Time at which the KV cache expires unless it is used or being exported.
    exports
        Number of exports of the KV cache in progress.
    tasks
        Tasks that are cancelled when the allocation is dropped.
    """

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
    expiry_timer: asyncio.TimerHandle | None = None
    exports: int = 0
    stream: DecodeStream | None = None
    tasks: set[asyncio.Task[Any]] = field(default_factory=set)

    def describe(self, now: float) -> RunningRequest:
        """Return the entry of the allocation in the engine's status report."""
        has_reader = self.stream is not None and self.stream.readers > 0
        since = self.since if self.stream is None else max(self.since, self.stream.idle_since)
        age = 0.0 if has_reader else now - since
        return RunningRequest(
            self.request_id, self.attempt, self.stage, has_reader, self.kv_tokens, age
        )


class AllocationTable:
    """Allocations of one engine by request id, within its limits of KV memory and decode slots.

    Parameters
    ----------
    kv_capacity_tokens
        Capacity of the KV memory, in tokens.
    decode_slots
        Maximum number of requests whose KV cache is fetched or which are decoded at once.
    recorder
        Recorder of the prefilled tokens that are dropped without use.
    """

    def __init__(
        self, kv_capacity_tokens: int, decode_slots: int, recorder: EngineRecorder
    ) -> None:
        self._kv_capacity_tokens = kv_capacity_tokens
        self._decode_slots = decode_slots
        self._recorder = recorder
        self.allocation_by_request: dict[str, Allocation] = {}

    @property
    def used_tokens(self) -> int:
        """KV memory in use, in tokens."""
        return sum(allocation.kv_tokens for allocation in self.allocation_by_request.values())

    @property
    def used_slots(self) -> int:
        """Number of decode slots in use."""
        return sum(allocation.uses_slot for allocation in self.allocation_by_request.values())

    @property
    def waiting_prefills(self) -> tuple[Allocation, ...]:
        """Allocations whose prefill has not finished."""
        return tuple(
            allocation
            for allocation in self.allocation_by_request.values()
            if allocation.stage is Stage.PREFILL and not allocation.is_ready
        )

    def admit(self, allocation: Allocation) -> None:
        """Add an allocation, and drop the one that an older attempt of the request holds.

        Raises
        ------
        EngineRefusedError
            If an allocation of the same or a newer attempt is held.
        """
        held = self.allocation_by_request.get(allocation.request_id)
        if held is not None and held.attempt >= allocation.attempt:
            detail = (
                f"attempt {allocation.attempt} of {allocation.request_id}: {held.attempt} is held"
            )
            raise EngineRefusedError(detail)
        if held is not None:
            self.drop(held, "replaced by a newer attempt")
        self.allocation_by_request[allocation.request_id] = allocation

    def reserve(self, allocation: Allocation, kv_tokens: int) -> None:
        """Set the KV memory of an allocation; raise ``EngineRefusedError`` if it does not fit."""
        if self.used_tokens - allocation.kv_tokens + kv_tokens > self._kv_capacity_tokens:
            raise EngineRefusedError(f"no KV memory for {kv_tokens} tokens")
        allocation.kv_tokens = kv_tokens

    def assign_slot(self, allocation: Allocation) -> None:
        """Assign a decode slot to an allocation; raise ``EngineRefusedError`` if none is free."""
        if not allocation.uses_slot and self.used_slots >= self._decode_slots:
            raise EngineRefusedError(f"all {self._decode_slots} decode slots are taken")
        allocation.uses_slot = True

    def find(self, request_id: str, attempt: int) -> Allocation:
        """Return the allocation of an attempt; raise ``KvGoneError`` if there is none.

        An ``attempt`` of -1 stands for any attempt.
        """
        allocation = self.allocation_by_request.get(request_id)
        if allocation is None or attempt not in (-1, allocation.attempt):
            raise KvGoneError(f"attempt {attempt} of {request_id} is not held")
        return allocation

    def is_held(self, allocation: Allocation) -> bool:
        """Return whether an allocation has not been dropped."""
        return self.allocation_by_request.get(allocation.request_id) is allocation

    def drop(self, allocation: Allocation, reason: str) -> None:
        """Free an allocation, cancel its tasks and count its unused tokens as discarded."""
        if not self.is_held(allocation):
            return
        del self.allocation_by_request[allocation.request_id]
        self._recorder.discarded_tokens += allocation.computed_tokens
        allocation.computed_tokens = 0
        if allocation.expiry_timer is not None:
            allocation.expiry_timer.cancel()
        current = asyncio.current_task()
        for task in list(allocation.tasks):
            if task is not current:
                task.cancel()
        if allocation.stream is not None and not allocation.stream.is_finished:
            allocation.stream.fail(reason)

    def describe(self, now: float) -> tuple[RunningRequest, ...]:
        """Return the entries of all allocations in the engine's status report."""
        return tuple(allocation.describe(now) for allocation in self.allocation_by_request.values())
