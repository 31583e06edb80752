"""The three stages of a request on a stand-in engine: prefill, KV transfer, decode."""

import asyncio
import contextlib

from pimentoquay.backends.base import (
    EngineLostError,
    EngineRefusedError,
    ImportOrder,
    PrefillResult,
)
from pimentoquay.messages.placement import Stage
from pimentoquay.policy.prefixes import prefix_hashes
from pimentoquay.standin.decode_batch import DecodeStream
from pimentoquay.standin.engine_core import EngineCore
from pimentoquay.standin.engine_model import KvOffer, KvSource
from pimentoquay.standin.frames import FrameBuilder
from pimentoquay.standin.holdings import Holding
from pimentoquay.standin.tokens import answer_tokens

__all__ = ["fetch_kv", "run_prefill", "start_decode"]


async def run_prefill(core: EngineCore, holding: Holding, priority: int) -> PrefillResult:
    """Compute the KV cache of a holding's prompt when its turn comes."""
    await core.gate.acquire(priority)
    try:
        hashes = prefix_hashes(holding.prompt)
        cached = min(core.cache.match(hashes), holding.prompt_tokens - 1)
        await _compute(core, holding, holding.prompt_tokens - cached)
    finally:
        core.gate.release()
    core.cache.insert(hashes)
    holding.is_ready = True
    holding.expires_at = core.now() + core.model.kv_lifetime
    core.expire_at(holding, holding.expires_at)
    size = holding.prompt_tokens * core.model.kv_bytes_per_token
    return PrefillResult(holding.prompt_tokens, cached, size, core.model.kv_lifetime)


async def fetch_kv(
    core: EngineCore, holding: Holding, order: ImportOrder, source: KvSource
) -> None:
    """Fetch a KV cache over both engines' links; free everything if that fails."""
    has_begun = False
    try:
        offer = await source.export_begin(order.request_id, order.kv_attempt)
        has_begun = True
        core.ledger.reserve(holding, offer.prompt_tokens + holding.max_tokens)
        core.recorder.run(
            order.request_id, order.attempt, Stage.TRANSFER, core.now(), core.orders.version
        )
        await _move(core, order, offer, source)
        await source.export_end(order.request_id, order.kv_attempt, True)
    except BaseException:
        core.ledger.drop(holding, "the KV transfer failed")
        if has_begun and core.is_up:
            with contextlib.suppress(EngineLostError, EngineRefusedError):
                await source.export_end(order.request_id, order.kv_attempt, False)
        raise
    holding.prompt = offer.prompt
    holding.prompt_tokens = offer.prompt_tokens
    holding.computed_tokens = offer.computed_tokens
    holding.is_ready = True
    core.expire_at(holding, core.now() + core.model.kv_lifetime)


def start_decode(core: EngineCore, holding: Holding, chat: bool) -> DecodeStream:
    """Let a holding take part in the batch and return its stream."""
    now = core.now()
    core.recorder.run(holding.request_id, holding.attempt, Stage.DECODE, now, core.orders.version)
    core.recorder.used_tokens += holding.computed_tokens
    holding.computed_tokens = 0
    holding.stage = Stage.DECODE
    holding.since = now
    if holding.expiry is not None:
        holding.expiry.cancel()
    tokens = answer_tokens(holding.prompt, holding.max_tokens)
    reason = "length" if len(tokens) == holding.max_tokens else "stop"
    frames = FrameBuilder(holding.request_id, core.model_name, chat, int(now))
    stream = DecodeStream(tokens, frames, reason, lambda: core.keep_finished(holding))
    holding.stream = stream
    core.batch.add(stream)
    return stream


async def _compute(core: EngineCore, holding: Holding, tokens: int) -> None:
    started = core.now()
    core.recorder.run(
        holding.request_id, holding.attempt, Stage.PREFILL, started, core.orders.version
    )
    cost = core.model.prefill_seconds + tokens * core.model.prefill_seconds_per_token
    cost /= core.speed
    try:
        await asyncio.sleep(cost)
    except asyncio.CancelledError:
        done = int(tokens * min(1.0, (core.now() - started) / cost)) if cost else tokens
        core.recorder.prefilled_tokens += done
        core.recorder.discarded_tokens += done
        raise
    core.recorder.prefilled_tokens += tokens
    holding.computed_tokens = tokens


async def _move(core: EngineCore, order: ImportOrder, offer: KvOffer, source: KvSource) -> None:
    ingress = asyncio.ensure_future(core.ingress.move(offer.kv_bytes))
    try:
        await source.export_move(order.request_id, order.kv_attempt)
        await ingress
    finally:
        ingress.cancel()
