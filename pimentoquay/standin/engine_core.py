"""The state that the parts of a stand-in engine share, and its faults."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from pimentoquay.backends.base import (
    EngineLostError,
    EngineRefusedError,
    EngineRole,
    EngineStatus,
)
from pimentoquay.standin.decode_batch import DecodeBatch
from pimentoquay.standin.engine_model import EngineModel, WeightSource
from pimentoquay.standin.engine_orders import OrderKeeper
from pimentoquay.standin.engine_record import EngineRecorder
from pimentoquay.standin.gate import PriorityGate
from pimentoquay.standin.holdings import Holding, HoldingLedger
from pimentoquay.standin.lagging import LaggingView
from pimentoquay.standin.link import Link
from pimentoquay.standin.prefix_cache import PrefixCache

__all__ = ["EngineCore"]

Result = TypeVar("Result")


class EngineCore:
    """Memory, slots, batch, cache, links and orders of one engine.

    Parameters
    ----------
    name
        The engine's name.
    model_name
        The model it serves.
    version
        The version loaded at start.
    role
        The stages it serves at start.
    model
        Costs and limits.
    weights
        Where weights are fetched.
    """

    def __init__(
        self,
        name: str,
        model_name: str,
        version: str,
        role: EngineRole,
        model: EngineModel,
        weights: WeightSource | None,
    ) -> None:
        self.name = name
        self.model_name = model_name
        self.model = model
        self.recorder = EngineRecorder()
        self.ledger = HoldingLedger(model.kv_capacity_tokens, model.decode_slots, self.recorder)
        self.batch = DecodeBatch(self._step_seconds)
        self.gate = PriorityGate()
        self.cache = PrefixCache(
            model.cache_tokens, model.event_delay, model.event_loss, model.seed
        )
        self.egress = Link(model.link_rate)
        self.ingress = Link(model.link_rate)
        self.orders = OrderKeeper(
            model_name,
            version,
            role,
            model,
            weights,
            self.recorder,
            self.cache.clear,
            self._role_changed,
        )
        self.report = LaggingView(model.status_lag, self._take_status)
        self.finished_by_request: dict[str, Holding] = {}
        self.is_up = True
        self.speed = 1.0
        self.refusals = 0
        self.refuses_until = 0.0

    def now(self) -> float:
        """Return the engine's time in seconds."""
        return asyncio.get_running_loop().time()

    def check_up(self) -> None:
        """Raise ``EngineLostError`` while the engine is down."""
        if not self.is_up:
            raise EngineLostError(f"{self.name} is down")

    def check_accepts(self, unsuited: EngineRole) -> None:
        """Raise if the engine is down, refusing work, or of a role that does not do this."""
        self.check_up()
        if self.refusals > 0:
            self.refusals -= 1
            raise self.refused("overloaded")
        if self.now() < self.refuses_until:
            raise self.refused("overloaded", self.refuses_until - self.now())
        if self.orders.role is unsuited:
            raise self.refused(f"the role is {unsuited.name}")

    def refused(self, detail: str, retry_after: float = 0.0) -> EngineRefusedError:
        """Count a refusal and return its error."""
        self.recorder.refused += 1
        return EngineRefusedError(f"{self.name}: {detail}", retry_after)

    async def run(self, holding: Holding, work: Coroutine[Any, Any, Result]) -> Result:
        """Do work for a holding that ends with the holding, not with the caller."""
        task = asyncio.get_running_loop().create_task(work)
        holding.tasks.add(task)
        task.add_done_callback(holding.tasks.discard)
        task.add_done_callback(_retrieve)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if task.cancelled() and current is not None and not current.cancelling():
                raise EngineLostError(f"{holding.request_id} was dropped") from None
            raise

    def expire_at(self, holding: Holding, when: float) -> None:
        """Drop a holding at a time unless it is used before."""
        if holding.expiry is not None:
            holding.expiry.cancel()
        loop = asyncio.get_running_loop()
        holding.expiry = loop.call_at(when, self.ledger.drop, holding, "the KV cache expired")

    def keep_finished(self, holding: Holding) -> None:
        """Free a finished answer's memory and keep its frames for a while."""
        self.recorder.decodes_finished += 1
        self.ledger.drop(holding, "finished")
        self.finished_by_request[holding.request_id] = holding
        retention = self.model.finished_retention
        asyncio.get_running_loop().call_later(retention, self._forget_finished, holding)

    def lose_everything(self) -> None:
        """Drop all memory, as a crash does."""
        self.is_up = False
        self._drop_all("the engine crashed")
        self.finished_by_request.clear()
        self.cache.clear()
        self.orders.reset()
        self.report.forget()

    def _role_changed(self) -> None:
        if self.model.role_change_cuts:
            self._drop_all("the role has changed")

    def _drop_all(self, reason: str) -> None:
        for holding in list(self.ledger.holding_by_request.values()):
            self.ledger.drop(holding, reason)

    def _forget_finished(self, holding: Holding) -> None:
        if self.finished_by_request.get(holding.request_id) is holding:
            del self.finished_by_request[holding.request_id]

    def _step_seconds(self, streams: int) -> float:
        seconds = self.model.step_seconds + streams * self.model.step_seconds_per_stream
        if self.gate.is_busy:
            seconds *= self.model.mixed_slowdown
        return seconds / self.speed

    def _take_status(self) -> EngineStatus:
        now = self.now()
        return EngineStatus(
            self.name,
            self.model_name,
            self.orders.version,
            self.orders.adapters,
            self.orders.role,
            self.model.decode_slots,
            self.ledger.used_slots,
            self.model.kv_capacity_tokens,
            self.ledger.used_tokens,
            sum(holding.prompt_tokens for holding in self.ledger.waiting_prefills),
            self.orders.fencing_number,
            now,
            self.ledger.describe(now),
        )


def _retrieve(task: asyncio.Task[Any]) -> None:
    if not task.cancelled():
        task.exception()
