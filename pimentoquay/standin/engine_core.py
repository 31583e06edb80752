"""State of a stand-in engine that its stages share, and its simulated faults."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from pimentoquay.backends.base import (
    EngineLostError,
    EngineRefusedError,
    EngineRole,
    EngineStatus,
)
from pimentoquay.standin.allocations import Allocation, AllocationTable
from pimentoquay.standin.decode_batch import DecodeBatch
from pimentoquay.standin.delayed_view import DelayedView
from pimentoquay.standin.engine_model import EngineModel, WeightSource
from pimentoquay.standin.engine_orders import OrderHandler
from pimentoquay.standin.engine_record import EngineRecorder
from pimentoquay.standin.link import Link
from pimentoquay.standin.prefix_cache import PrefixCache
from pimentoquay.standin.priority_lock import PriorityLock

__all__ = ["EngineCore"]

Result = TypeVar("Result")


class EngineCore:
    """Memory, slots, decode batch, prefix cache, links and orders of one engine.

    Parameters
    ----------
    name
        Name of the engine.
    model_name
        Name of the model that it serves.
    version
        Version of the weights loaded at start.
    role
        Role at start, that is, the stages that it serves.
    model
        Durations and limits.
    weights
        Source of the weights, or ``None`` for loads without a fetch.
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
        self.allocations = AllocationTable(
            model.kv_capacity_tokens, model.decode_slots, self.recorder
        )
        self.batch = DecodeBatch(self._step_seconds)
        self.prefill_lock = PriorityLock()
        self.cache = PrefixCache(
            model.cache_tokens, model.event_delay, model.event_loss, model.seed
        )
        self.egress = Link(model.link_rate)
        self.ingress = Link(model.link_rate)
        self.orders = OrderHandler(
            model_name,
            version,
            role,
            model,
            weights,
            self.recorder,
            self._handle_version_change,
            self._handle_role_change,
        )
        self.status_view = DelayedView(model.status_lag, self._current_status)
        self.finished_by_request: dict[str, Allocation] = {}
        self.is_up = True
        self.speed = 1.0
        self.refusals_left = 0
        self.refuses_until = 0.0

    def now(self) -> float:
        """Return the engine's time, which is the event loop's, in seconds."""
        return asyncio.get_running_loop().time()

    def check_up(self) -> None:
        """Raise ``EngineLostError`` if the engine is down."""
        if not self.is_up:
            raise EngineLostError(f"{self.name} is down")

    def check_accepts(self, excluded_role: EngineRole) -> None:
        """Raise if the engine is down, is set to refuse work, or has the ``excluded_role``."""
        self.check_up()
        if self.refusals_left > 0:
            self.refusals_left -= 1
            raise self.refusal("overloaded")
        if self.now() < self.refuses_until:
            raise self.refusal("overloaded", self.refuses_until - self.now())
        if self.orders.role is excluded_role:
            raise self.refusal(f"the role is {excluded_role.name}")

    def refusal(self, detail: str, retry_after: float = 0.0) -> EngineRefusedError:
        """Count a refusal and return the error to be raised."""
        self.recorder.refused += 1
        return EngineRefusedError(f"{self.name}: {detail}", retry_after)

    async def run(self, allocation: Allocation, work: Coroutine[Any, Any, Result]) -> Result:
        """Run work for an allocation and return its result.

        The work goes on if the caller is cancelled, and is cancelled if the allocation is dropped.
        """
        task = asyncio.get_running_loop().create_task(work)
        allocation.tasks.add(task)
        task.add_done_callback(allocation.tasks.discard)
        task.add_done_callback(_retrieve_exception)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            current = asyncio.current_task()
            if task.cancelled() and current is not None and not current.cancelling():
                raise EngineLostError(f"{allocation.request_id} was dropped") from None
            raise

    def schedule_expiry(self, allocation: Allocation, when: float) -> None:
        """Drop an allocation at loop time ``when``, instead of at the time set before."""
        if allocation.expiry_timer is not None:
            allocation.expiry_timer.cancel()
        loop = asyncio.get_running_loop()
        allocation.expiry_timer = loop.call_at(
            when, self.allocations.drop, allocation, "the KV cache expired"
        )

    def retain_finished(self, allocation: Allocation) -> None:
        """Free the memory of a finished answer, but keep the answer for ``finished_retention``."""
        self.recorder.decodes_finished += 1
        self.allocations.drop(allocation, "finished")
        self.finished_by_request[allocation.request_id] = allocation
        retention = self.model.finished_retention
        asyncio.get_running_loop().call_later(retention, self._remove_finished, allocation)

    def discard_state(self) -> None:
        """Stop the engine and drop all its state, as a crash does."""
        self.is_up = False
        self._drop_all("the engine crashed")
        self.finished_by_request.clear()
        self.cache.clear()
        self.orders.reset()
        self.status_view.forget()

    def _handle_version_change(self) -> None:
        self.recorder.swapped_under += len(self.allocations.allocation_by_request)
        self.cache.clear()

    def _handle_role_change(self) -> None:
        if self.model.role_change_cuts:
            self._drop_all("the role has changed")

    def _drop_all(self, reason: str) -> None:
        for allocation in list(self.allocations.allocation_by_request.values()):
            self.allocations.drop(allocation, reason)

    def _remove_finished(self, allocation: Allocation) -> None:
        if self.finished_by_request.get(allocation.request_id) is allocation:
            del self.finished_by_request[allocation.request_id]

    def _step_seconds(self, streams: int) -> float:
        seconds = self.model.step_seconds + streams * self.model.step_seconds_per_stream
        if self.prefill_lock.is_busy:
            seconds *= self.model.mixed_slowdown
        return seconds / self.speed

    def _current_status(self) -> EngineStatus:
        """Return a status report whose ``age`` holds the time of the report for now.

        When the report is read, ``StandinEngine.status`` replaces that time by the actual age.
        """
        now = self.now()
        return EngineStatus(
            self.name,
            self.model_name,
            self.orders.version,
            self.orders.adapters,
            self.orders.role,
            self.model.decode_slots,
            self.allocations.used_slots,
            self.model.kv_capacity_tokens,
            self.allocations.used_tokens,
            sum(allocation.prompt_tokens for allocation in self.allocations.waiting_prefills),
            self.orders.fencing_number,
            now,
            self.allocations.describe(now),
        )


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieve a task's exception, which asyncio otherwise logs as never retrieved."""
    if not task.cancelled():
        task.exception()
