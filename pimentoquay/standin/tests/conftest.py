import pytest

from pimentoquay.backends.base import DecodeOrder, EngineRole, ImportOrder, PrefillOrder
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine


class Pair:
    """A prefill engine and a decode engine that know each other."""

    def __init__(self, model=None, weights=None):
        self.directory = EngineDirectory()
        self.p = self._engine("p", EngineRole.MIXED, model, weights)
        self.d = self._engine("d", EngineRole.DECODE, model, weights)

    def _engine(self, name, role, model, weights):
        engine = StandinEngine(name, "m", self.directory, role, "v1", model, weights)
        self.directory.engine_by_address[name] = engine
        return engine

    async def prefill(self, request_id="r", attempt=1, prompt="x" * 400, priority=1, tokens=8):
        order = PrefillOrder(request_id, attempt, "w", "m", prompt, tokens, priority)
        return await self.p.prefill(order)

    async def move(self, request_id="r", attempt=1, tokens=8, kv_attempt=-1):
        await self.d.import_kv(ImportOrder(request_id, attempt, "p", "p", tokens, kv_attempt))

    async def decode(self, request_id="r", attempt=1, engine=None):
        order = DecodeOrder(request_id, attempt, chat=True)
        return b"".join([frame async for frame in (engine or self.d).decode(order)])

    def totals(self):
        seen = [self.p.observed(), self.d.observed()]
        return (
            sum(item.prefilled_tokens for item in seen),
            sum(item.used_tokens for item in seen),
            sum(item.discarded_tokens for item in seen),
        )


@pytest.fixture
def make_pair():
    def make(weights=None, **model):
        return Pair(EngineModel(**model) if model else None, weights)

    return make
