"""Desired state of a stand-in engine, and the loading of weights that it requires."""

import asyncio
from collections.abc import Callable

from pimentoquay.backends.base import EngineOrder, EngineRole
from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.standin.engine_model import EngineModel, WeightSource
from pimentoquay.standin.engine_record import EngineRecorder

__all__ = ["OrderHandler"]


class OrderHandler:
    """Handler of the orders that set the role, the version and the adapters of an engine.

    Orders with an old fencing number are refused if ``model.checks_fencing`` is set. The highest
    fencing number seen survives a restart; loaded weights do not.

    Parameters
    ----------
    model_name
        Name of the model.
    version
        Version of the weights loaded at start.
    role
        Role at start.
    model
        Whether fencing numbers are checked, and the duration of a load besides its fetch.
    weights
        Source of the weights, or ``None`` for loads without a fetch.
    recorder
        Recorder of the orders that are applied.
    on_version_changed
        Called when another version has been loaded.
    on_role_changed
        Called when the role has changed.
    """

    def __init__(
        self,
        model_name: str,
        version: str,
        role: EngineRole,
        model: EngineModel,
        weights: WeightSource | None,
        recorder: EngineRecorder,
        on_version_changed: Callable[[], None],
        on_role_changed: Callable[[], None] = lambda: None,
    ) -> None:
        self.version = version
        self.adapters: tuple[str, ...] = ()
        self.role = role
        self.fencing_number = 0
        self.loads = 0
        self._model_name = model_name
        self._model = model
        self._initial_state = (version, role)
        self._weights = weights
        self._recorder = recorder
        self._on_version_changed = on_version_changed
        self._on_role_changed = on_role_changed
        self._desired: EngineOrder | None = None
        self._load_task: asyncio.Task[None] | None = None

    def apply(self, order: EngineOrder) -> None:
        """Apply an order; the role changes at once, weights are loaded in the background."""
        if self._model.checks_fencing and order.fencing_number < self.fencing_number:
            detail = f"{order.fencing_number} is older than {self.fencing_number}"
            raise PimentoquayError(ResultCode.FENCED, detail)
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self._recorder.record_order(asyncio.get_running_loop().time(), order)
        if self.role is not order.role:
            self.role = order.role
            self._on_role_changed()
        if self._desired is not None and _has_same_weights(self._desired, order):
            return
        self.stop()
        self._desired = order
        self._load_task = asyncio.get_running_loop().create_task(self._load_desired(order))

    def stop(self) -> None:
        """Cancel the load in progress."""
        if self._load_task is not None:
            self._load_task.cancel()
        self._load_task = None
        self._desired = None

    def reset(self) -> None:
        """Return to the version and role at start, as a restart does."""
        self.stop()
        self.version, self.role = self._initial_state
        self.adapters = ()

    async def _load_desired(self, order: EngineOrder) -> None:
        if order.version != self.version:
            await self._fetch(order.version)
            self.version = order.version
            self.adapters = ()
            self._on_version_changed()
        self.adapters = tuple(name for name in self.adapters if name in order.adapters)
        for adapter in order.adapters:
            if adapter not in self.adapters:
                await self._fetch(adapter)
                self.adapters = (*self.adapters, adapter)

    async def _fetch(self, name: str) -> None:
        self.loads += 1
        if self._weights is not None:
            await self._weights.fetch(self._model_name, name)
        await asyncio.sleep(self._model.load_seconds)


def _has_same_weights(first: EngineOrder, second: EngineOrder) -> bool:
    return first.version == second.version and first.adapters == second.adapters
