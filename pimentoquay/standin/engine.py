"""Stand-in for a model engine.

It simulates the durations and limits of batching, prefill, prefix cache, KV memory and links.
"""

import contextlib
from collections.abc import AsyncGenerator, Callable
from dataclasses import replace
from typing import TypeVar

from pimentoquay.backends.base import (
    CacheEvent,
    DecodeOrder,
    EngineOrder,
    EngineRefusedError,
    EngineRole,
    EngineStatus,
    ImportOrder,
    PrefillOrder,
    PrefillResult,
)
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.allocations import Allocation
from pimentoquay.standin.engine_core import EngineCore
from pimentoquay.standin.engine_model import EngineModel, KvExport, KvSource, WeightSource
from pimentoquay.standin.engine_record import EngineObservation
from pimentoquay.standin.engine_stages import fetch_kv, run_prefill, start_decode
from pimentoquay.standin.tokens import count_tokens

__all__ = ["StandinEngine"]

Result = TypeVar("Result")


class StandinEngine:
    """Stand-in engine; it implements ``EngineClient`` and ``KvSource``.

    Accepted work continues after its caller is cancelled, as on an engine that does not notice a
    lost connection. ``crash`` drops all state; calls raise ``EngineLostError`` until ``restart``.

    Parameters
    ----------
    name
        Name of the engine on the membership list.
    model_name
        Name of the model that it serves.
    find_peer
        Function that returns the engine at an address, from which KV cache is fetched.
    role
        Role at start, that is, the stages that it serves.
    version
        Version of the weights loaded at start.
    model
        Durations and limits.
    weights
        Source of the weights that an order requires, or ``None`` for loads without a fetch.
    """

    def __init__(
        self,
        name: str,
        model_name: str,
        find_peer: Callable[[str], KvSource],
        role: EngineRole = EngineRole.MIXED,
        version: str = "v1",
        model: EngineModel | None = None,
        weights: WeightSource | None = None,
    ) -> None:
        self.name = name
        self.model = model or EngineModel()
        self._find_peer = find_peer
        self._core = EngineCore(name, model_name, version, role, self.model, weights)

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute the KV cache of a prompt; prompts are processed one at a time, by priority."""
        self._core.check_accepts(EngineRole.DECODE)
        if order.model != self._core.model_name:
            raise self._core.refusal(f"model {order.model} is not served")
        if len(self._core.allocations.waiting_prefills) >= self.model.prefill_queue:
            raise self._core.refusal("the prefill queue is full")
        allocation = Allocation(
            order.request_id, order.attempt, Stage.PREFILL, order.max_tokens, self._core.now()
        )
        allocation.prompt = order.prompt
        allocation.prompt_tokens = count_tokens(order.prompt)
        self._admit(allocation, allocation.prompt_tokens)
        return await self._core.run(allocation, run_prefill(self._core, allocation, order.priority))

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache over both engines' links and reserve a decode slot for it."""
        self._core.check_accepts(EngineRole.PREFILL)
        allocation = Allocation(
            order.request_id, order.attempt, Stage.TRANSFER, order.max_tokens, self._core.now()
        )
        self._admit(allocation, 0, needs_slot=True)
        source = self._find_peer(order.source_address)
        await self._core.run(allocation, fetch_kv(self._core, allocation, order, source))

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer of a request whose KV cache is on this engine."""
        self._core.check_accepts(EngineRole.PREFILL)
        allocation = self._core.allocations.find(order.request_id, order.attempt)
        if allocation.stage is Stage.DECODE or not allocation.is_ready or allocation.exports:
            raise self._core.refusal(f"the KV cache of {order.request_id} is not free to decode")
        if not allocation.uses_slot:
            self._prepare_local_decode(allocation)
        stream = start_decode(self._core, allocation, order.chat)
        async with contextlib.aclosing(stream.read(0)) as frames:
            async for frame in frames:
                yield frame

    async def resume(
        self, request_id: str, attempt: int, offset: int
    ) -> AsyncGenerator[bytes, None]:
        """Stream a running or recently finished answer from token ``offset`` on."""
        self._core.check_up()
        allocation = self._core.finished_by_request.get(request_id)
        if allocation is None or attempt not in (-1, allocation.attempt):
            allocation = self._core.allocations.find(request_id, attempt)
        if allocation.stream is None or not 0 <= offset <= allocation.stream.emitted:
            raise self._core.refusal(f"{request_id} has no token {offset} to resume from")
        async with contextlib.aclosing(allocation.stream.read(offset)) as frames:
            async for frame in frames:
                yield frame

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Drop an attempt of a request; ``attempt`` -1 stands for any attempt."""
        self._core.check_up()
        finished = self._core.finished_by_request.get(request_id)
        if finished is not None and attempt in (-1, finished.attempt):
            del self._core.finished_by_request[request_id]
        allocation = self._core.allocations.allocation_by_request.get(request_id)
        if allocation is not None and attempt in (-1, allocation.attempt):
            self._core.allocations.drop(allocation, "cancelled")

    async def status(self) -> EngineStatus:
        """Return the engine's status report, which is up to ``status_lag`` seconds old."""
        self._core.check_up()
        taken = self._core.status_view.latest()
        return replace(taken, age=self._core.now() - taken.age)

    async def order(self, order: EngineOrder) -> None:
        """Start to change to a desired state."""
        self._core.check_up()
        self._core.orders.apply(order)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        self._core.check_up()
        return self._core.cache.events(after)

    async def export_begin(self, request_id: str, attempt: int) -> KvExport:
        """Keep the KV cache for a transfer and return its description."""
        self._core.check_up()
        allocation = self._core.allocations.find(request_id, attempt)
        if allocation.stage is not Stage.PREFILL or not allocation.is_ready:
            raise self._core.refusal(f"the KV cache of {request_id} is not free to export")
        allocation.exports += 1
        size = allocation.prompt_tokens * self.model.kv_bytes_per_token
        self._core.schedule_expiry(
            allocation, max(allocation.expires_at, self._core.now() + self.model.export_hold)
        )
        return KvExport(
            allocation.prompt, allocation.prompt_tokens, allocation.computed_tokens, size
        )

    async def export_move(self, request_id: str, attempt: int) -> None:
        """Wait until this engine's link has sent the KV cache."""
        self._core.check_up()
        allocation = self._core.allocations.find(request_id, attempt)
        size = allocation.prompt_tokens * self.model.kv_bytes_per_token
        await self._core.run(allocation, self._core.egress.move(size))

    async def export_end(self, request_id: str, attempt: int, moved: bool) -> None:
        """Free the KV cache if it was moved; otherwise keep it until it expires."""
        self._core.check_up()
        allocation = self._core.allocations.find(request_id, attempt)
        allocation.exports -= 1
        if moved:
            allocation.computed_tokens = 0
            self._core.allocations.drop(allocation, "moved")
        elif not allocation.exports:
            self._core.schedule_expiry(allocation, allocation.expires_at)

    def crash(self) -> None:
        """Drop all state; all calls and streams in progress raise ``EngineLostError``."""
        self._core.discard_state()

    def restart(self) -> None:
        """Start without any state after a crash."""
        self._core.is_up = True

    def set_speed(self, factor: float) -> None:
        """Set the speed to ``factor`` times the model's, from the next step or prefill on."""
        if factor <= 0:
            raise ValueError(f"speed factor must be positive, got {factor}")
        self._core.speed = factor

    def refuse(self, count: int = 0, seconds: float = 0.0) -> None:
        """Refuse to start the next ``count`` stages, and any stage during the next ``seconds``."""
        self._core.refusals_left = count
        self._core.refuses_until = self._core.now() + seconds

    def stall_link(self, seconds: float) -> None:
        """Transfer no KV cache in either direction for some seconds."""
        self._core.egress.stall(seconds)
        self._core.ingress.stall(seconds)

    def observed(self) -> EngineObservation:
        """Return the counters and records for the checks of a test, even if the engine is down."""
        now = self._core.now()
        held = self._core.allocations.describe(now)
        return self._core.recorder.observed(
            self.name, now, self._core.allocations.used_tokens, held
        )

    def _prepare_local_decode(self, allocation: Allocation) -> None:
        allocations = self._core.allocations
        allocations.assign_slot(allocation)
        try:
            allocations.reserve(allocation, allocation.prompt_tokens + allocation.max_tokens)
        except EngineRefusedError:
            allocation.uses_slot = False
            raise

    def _admit(self, allocation: Allocation, kv_tokens: int, needs_slot: bool = False) -> None:
        allocations = self._core.allocations
        allocations.admit(allocation)
        try:
            if needs_slot:
                allocations.assign_slot(allocation)
            allocations.reserve(allocation, kv_tokens)
        except EngineRefusedError:
            allocations.drop(allocation, "refused")
            raise
