import pytest

from pimentoquay.backends.base import DecodeOrder, EngineRole, ImportOrder, PrefillOrder
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine


class EnginePair:
    """Engine that can prefill and decode, and a decode engine that fetches KV cache from it."""

    def __init__(self, model=None, weights=None):
        self.directory = EngineDirectory()
        self.prefill_engine = self._engine("p", EngineRole.MIXED, model, weights)
        self.decode_engine = self._engine("d", EngineRole.DECODE, model, weights)

    def _engine(self, name, role, model, weights):
        engine = StandinEngine(name, "m", self.directory, role, "v1", model, weights)
        self.directory.engine_by_address[name] = engine
        return engine

    async def prefill(self, request_id="r", attempt=1, prompt="x" * 400, priority=1, tokens=8):
        order = PrefillOrder(request_id, attempt, "w", "m", prompt, tokens, priority)
        return await self.prefill_engine.prefill(order)

    async def transfer_kv(self, request_id="r", attempt=1, tokens=8, kv_attempt=-1):
        await self.decode_engine.import_kv(
            ImportOrder(request_id, attempt, "p", "p", tokens, kv_attempt)
        )

    async def decode(self, request_id="r", attempt=1, engine=None):
        order = DecodeOrder(request_id, attempt, chat=True)
        return b"".join([frame async for frame in (engine or self.decode_engine).decode(order)])

    def token_totals(self):
        """Return the prefilled, used and discarded tokens of both engines together."""
        observed = [self.prefill_engine.observed(), self.decode_engine.observed()]
        return (
            sum(item.prefilled_tokens for item in observed),
            sum(item.used_tokens for item in observed),
            sum(item.discarded_tokens for item in observed),
        )


@pytest.fixture
def make_pair():
    def make(weights=None, **model):
        return EnginePair(EngineModel(**model) if model else None, weights)

    return make
