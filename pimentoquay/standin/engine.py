"""A model engine that models costs: batching, prefill, prefix cache, KV memory and links."""

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
from pimentoquay.standin.engine_core import EngineCore
from pimentoquay.standin.engine_model import EngineModel, KvOffer, KvSource, WeightSource
from pimentoquay.standin.engine_record import EngineObserved
from pimentoquay.standin.engine_work import fetch_kv, run_prefill, start_decode
from pimentoquay.standin.holdings import Holding
from pimentoquay.standin.tokens import count_tokens

__all__ = ["StandinEngine"]

Result = TypeVar("Result")


class StandinEngine:
    """One engine; it implements ``EngineClient`` and the exporting side of KV transfers.

    Work that was accepted goes on when its caller is cancelled, as on an engine that does not
    notice a lost connection. ``crash`` loses all memory; calls raise ``EngineLostError`` until
    ``restart``.

    Parameters
    ----------
    name
        The engine's name on the membership list.
    model_name
        The model it serves.
    peer_of
        Returns the engine at an address, to fetch KV from.
    role
        The stages it serves.
    version
        The version loaded at start.
    model
        Costs and limits.
    weights
        Where weights are fetched when an order wants others.
    """

    def __init__(
        self,
        name: str,
        model_name: str,
        peer_of: Callable[[str], KvSource],
        role: EngineRole = EngineRole.MIXED,
        version: str = "v1",
        model: EngineModel | None = None,
        weights: WeightSource | None = None,
    ) -> None:
        self.name = name
        self.model = model or EngineModel()
        self._peer_of = peer_of
        self._core = EngineCore(name, model_name, version, role, self.model, weights)

    async def prefill(self, order: PrefillOrder) -> PrefillResult:
        """Compute a prompt's KV cache, one prompt at a time by priority."""
        self._core.check_accepts(EngineRole.DECODE)
        if order.model != self._core.model_name:
            raise self._core.refused(f"model {order.model} is not served")
        if len(self._core.ledger.waiting_prefills) >= self.model.prefill_queue:
            raise self._core.refused("the prefill queue is full")
        holding = Holding(
            order.request_id, order.attempt, Stage.PREFILL, order.max_tokens, self._core.now()
        )
        holding.prompt = order.prompt
        holding.prompt_tokens = count_tokens(order.prompt)
        self._admit(holding, holding.prompt_tokens)
        return await self._core.run(holding, run_prefill(self._core, holding, order.priority))

    async def import_kv(self, order: ImportOrder) -> None:
        """Fetch a KV cache over both engines' links into a decode slot."""
        self._core.check_accepts(EngineRole.PREFILL)
        holding = Holding(
            order.request_id, order.attempt, Stage.TRANSFER, order.max_tokens, self._core.now()
        )
        self._admit(holding, 0, needs_slot=True)
        source = self._peer_of(order.source_address)
        await self._core.run(holding, fetch_kv(self._core, holding, order, source))

    async def decode(self, order: DecodeOrder) -> AsyncGenerator[bytes, None]:
        """Decode and stream the answer of a request whose KV cache is here."""
        self._core.check_accepts(EngineRole.PREFILL)
        holding = self._core.ledger.find(order.request_id, order.attempt)
        if holding.stage is Stage.DECODE or not holding.is_ready or holding.exports:
            raise self._core.refused(f"the KV cache of {order.request_id} is not free to decode")
        if not holding.uses_slot:
            self._prepare_local(holding)
        stream = start_decode(self._core, holding, order.chat)
        async with contextlib.aclosing(stream.read(0)) as frames:
            async for frame in frames:
                yield frame

    async def resume(
        self, request_id: str, attempt: int, offset: int
    ) -> AsyncGenerator[bytes, None]:
        """Stream a running or newly finished answer from a token on."""
        self._core.check_up()
        holding = self._core.finished_by_request.get(request_id)
        if holding is None or attempt not in (-1, holding.attempt):
            holding = self._core.ledger.find(request_id, attempt)
        if holding.stream is None or not 0 <= offset <= holding.stream.emitted:
            raise self._core.refused(f"{request_id} has no token {offset} to resume from")
        async with contextlib.aclosing(holding.stream.read(offset)) as frames:
            async for frame in frames:
                yield frame

    async def cancel(self, request_id: str, attempt: int) -> None:
        """Free all that is held for an attempt; ``attempt`` -1 frees every attempt."""
        self._core.check_up()
        finished = self._core.finished_by_request.get(request_id)
        if finished is not None and attempt in (-1, finished.attempt):
            del self._core.finished_by_request[request_id]
        holding = self._core.ledger.holding_by_request.get(request_id)
        if holding is not None and attempt in (-1, holding.attempt):
            self._core.ledger.drop(holding, "cancelled")

    async def status(self) -> EngineStatus:
        """Return the engine's report, which lags."""
        self._core.check_up()
        taken = self._core.report.look()
        return replace(taken, age=self._core.now() - taken.age)

    async def order(self, order: EngineOrder) -> None:
        """Move towards a wanted state."""
        self._core.check_up()
        self._core.orders.order(order)

    async def cache_events(self, after: int) -> tuple[CacheEvent, ...]:
        """Return the cache events after a sequence number."""
        self._core.check_up()
        return self._core.cache.events(after)

    async def export_begin(self, request_id: str, attempt: int) -> KvOffer:
        """Keep the KV for a transfer and describe it."""
        self._core.check_up()
        holding = self._core.ledger.find(request_id, attempt)
        if holding.stage is not Stage.PREFILL or not holding.is_ready:
            raise self._core.refused(f"the KV cache of {request_id} is not free to export")
        holding.exports += 1
        size = holding.prompt_tokens * self.model.kv_bytes_per_token
        self._core.expire_at(
            holding, max(holding.expires_at, self._core.now() + self.model.export_hold)
        )
        return KvOffer(holding.prompt, holding.prompt_tokens, holding.computed_tokens, size)

    async def export_move(self, request_id: str, attempt: int) -> None:
        """Wait until the KV has passed this engine's link."""
        self._core.check_up()
        holding = self._core.ledger.find(request_id, attempt)
        size = holding.prompt_tokens * self.model.kv_bytes_per_token
        await self._core.run(holding, self._core.egress.move(size))

    async def export_end(self, request_id: str, attempt: int, moved: bool) -> None:
        """Free the KV if it moved, else let it live out its time."""
        self._core.check_up()
        holding = self._core.ledger.find(request_id, attempt)
        holding.exports -= 1
        if moved:
            holding.computed_tokens = 0
            self._core.ledger.drop(holding, "moved")
        elif not holding.exports:
            self._core.expire_at(holding, holding.expires_at)

    def crash(self) -> None:
        """Lose everything; every call and stream under way is lost."""
        self._core.lose_everything()

    def restart(self) -> None:
        """Come back empty after a crash."""
        self._core.is_up = True

    def set_speed(self, factor: float) -> None:
        """Run faster or slower than the model says, from the next step or prefill on."""
        if factor <= 0:
            raise ValueError(f"speed factor must be positive, got {factor}")
        self._core.speed = factor

    def refuse(self, count: int = 0, seconds: float = 0.0) -> None:
        """Refuse the next ``count`` pieces of work, and all work for some seconds."""
        self._core.refusals = count
        self._core.refuses_until = self._core.now() + seconds

    def stall_link(self, seconds: float) -> None:
        """Let no KV pass in either direction for a while."""
        self._core.egress.stall(seconds)
        self._core.ingress.stall(seconds)

    def observed(self) -> EngineObserved:
        """Return what a checker needs to know; it works while the engine is down."""
        now = self._core.now()
        held = self._core.ledger.describe(now)
        return self._core.recorder.observed(self.name, now, self._core.ledger.used_tokens, held)

    def _prepare_local(self, holding: Holding) -> None:
        ledger = self._core.ledger
        ledger.take_slot(holding)
        try:
            ledger.reserve(holding, holding.prompt_tokens + holding.max_tokens)
        except EngineRefusedError:
            holding.uses_slot = False
            raise

    def _admit(self, holding: Holding, kv_tokens: int, needs_slot: bool = False) -> None:
        ledger = self._core.ledger
        ledger.admit(holding)
        try:
            if needs_slot:
                ledger.take_slot(holding)
            ledger.reserve(holding, kv_tokens)
        except EngineRefusedError:
            ledger.drop(holding, "refused")
            raise
