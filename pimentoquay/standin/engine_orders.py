"""The wanted and the loaded state of a stand-in engine."""

import asyncio
from collections.abc import Callable

from pimentoquay.backends.base import EngineOrder, EngineRole
from pimentoquay.kernel.codes import ResultCode
from pimentoquay.kernel.errors import PimentoquayError
from pimentoquay.standin.engine_model import EngineModel, WeightSource
from pimentoquay.standin.engine_record import EngineRecorder

__all__ = ["OrderKeeper"]


class OrderKeeper:
    """Takes orders, refuses old fencing numbers if told to, and loads what is wanted.

    The highest fencing number seen survives a restart; loaded weights do not.

    Parameters
    ----------
    model_name
        The model's name.
    version
        The version loaded at start.
    role
        The role at start.
    model
        Whether fencing numbers are checked, and the time of a load beside its fetch.
    weights
        Where weights are fetched, or ``None`` for loads without a fetch.
    recorder
        Keeps the orders that were applied.
    on_version
        Called when another version has been loaded.
    on_role
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
        on_version: Callable[[], None],
        on_role: Callable[[], None] = lambda: None,
    ) -> None:
        self.version = version
        self.adapters: tuple[str, ...] = ()
        self.role = role
        self.fencing_number = 0
        self.loads = 0
        self._model_name = model_name
        self._model = model
        self._start = (version, role)
        self._weights = weights
        self._recorder = recorder
        self._on_version = on_version
        self._on_role = on_role
        self._wanted: EngineOrder | None = None
        self._load: asyncio.Task[None] | None = None

    def order(self, order: EngineOrder) -> None:
        """Apply an order; loads go on in the background, the role changes at once."""
        if self._model.checks_fencing and order.fencing_number < self.fencing_number:
            detail = f"{order.fencing_number} is older than {self.fencing_number}"
            raise PimentoquayError(ResultCode.FENCED, detail)
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        self._recorder.order(asyncio.get_running_loop().time(), order)
        if self.role is not order.role:
            self.role = order.role
            self._on_role()
        if self._wanted is not None and _same_weights(self._wanted, order):
            return
        self.stop()
        self._wanted = order
        self._load = asyncio.get_running_loop().create_task(self._load_wanted(order))

    def stop(self) -> None:
        """Give up the load under way."""
        if self._load is not None:
            self._load.cancel()
        self._load = None
        self._wanted = None

    def reset(self) -> None:
        """Return to the state at start, as a restart does."""
        self.stop()
        self.version, self.role = self._start
        self.adapters = ()

    async def _load_wanted(self, order: EngineOrder) -> None:
        if order.version != self.version:
            await self._fetch(order.version)
            self.version = order.version
            self.adapters = ()
            self._on_version()
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


def _same_weights(first: EngineOrder, second: EngineOrder) -> bool:
    return first.version == second.version and first.adapters == second.adapters
