"""Stages of a request on a stand-in engine: prefill, KV transfer and decode."""

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
from pimentoquay.standin.allocations import Allocation
from pimentoquay.standin.decode_batch import DecodeStream
from pimentoquay.standin.engine_core import EngineCore
from pimentoquay.standin.engine_model import KvExport, KvSource
from pimentoquay.standin.frames import FrameBuilder
from pimentoquay.standin.tokens import answer_tokens

__all__ = ["fetch_kv", "run_prefill", "start_decode"]


async def run_prefill(core: EngineCore, allocation: Allocation, priority: int) -> PrefillResult:
    """Wait for the prefill lock, then compute the KV cache of a prompt."""
    await core.prefill_lock.acquire(priority)
    try:
        hashes = prefix_hashes(allocation.prompt)
        cached = min(core.cache.match(hashes), allocation.prompt_tokens - 1)
        await _compute_prefill(core, allocation, allocation.prompt_tokens - cached)
    finally:
        core.prefill_lock.release()
    core.cache.insert(hashes)
    allocation.is_ready = True
    allocation.expires_at = core.now() + core.model.kv_lifetime
    core.schedule_expiry(allocation, allocation.expires_at)
    size = allocation.prompt_tokens * core.model.kv_bytes_per_token
    return PrefillResult(allocation.prompt_tokens, cached, size, core.model.kv_lifetime)


async def fetch_kv(
    core: EngineCore, allocation: Allocation, order: ImportOrder, source: KvSource
) -> None:
    """Fetch a KV cache over both engines' links; drop the allocation if that fails."""
    has_begun = False
    try:
        kv_export = await source.export_begin(order.request_id, order.kv_attempt)
        has_begun = True
        core.allocations.reserve(allocation, kv_export.prompt_tokens + allocation.max_tokens)
        core.recorder.record_run(
            order.request_id, order.attempt, Stage.TRANSFER, core.now(), core.orders.version
        )
        await _transfer(core, order, kv_export, source)
        await source.export_end(order.request_id, order.kv_attempt, True)
    except BaseException:
        core.allocations.drop(allocation, "the KV transfer failed")
        if has_begun and core.is_up:
            with contextlib.suppress(EngineLostError, EngineRefusedError):
                await source.export_end(order.request_id, order.kv_attempt, False)
        raise
    allocation.prompt = kv_export.prompt
    allocation.prompt_tokens = kv_export.prompt_tokens
    allocation.computed_tokens = kv_export.computed_tokens
    allocation.is_ready = True
    core.schedule_expiry(allocation, core.now() + core.model.kv_lifetime)


def start_decode(core: EngineCore, allocation: Allocation, chat: bool) -> DecodeStream:
    """Add an allocation to the decode batch and return its stream."""
    now = core.now()
    core.recorder.record_run(
        allocation.request_id, allocation.attempt, Stage.DECODE, now, core.orders.version
    )
    core.recorder.used_tokens += allocation.computed_tokens
    allocation.computed_tokens = 0
    allocation.stage = Stage.DECODE
    allocation.since = now
    if allocation.expiry_timer is not None:
        allocation.expiry_timer.cancel()
    tokens = answer_tokens(allocation.prompt, allocation.max_tokens)
    reason = "length" if len(tokens) == allocation.max_tokens else "stop"
    frames = FrameBuilder(allocation.request_id, core.model_name, chat, int(now))
    stream = DecodeStream(tokens, frames, reason, lambda: core.retain_finished(allocation))
    allocation.stream = stream
    core.batch.add(stream)
    return stream


async def _compute_prefill(core: EngineCore, allocation: Allocation, tokens: int) -> None:
    started = core.now()
    core.recorder.record_run(
        allocation.request_id, allocation.attempt, Stage.PREFILL, started, core.orders.version
    )
    duration = core.model.prefill_seconds + tokens * core.model.prefill_seconds_per_token
    duration /= core.speed
    try:
        await asyncio.sleep(duration)
    except asyncio.CancelledError:
        computed = int(tokens * min(1.0, (core.now() - started) / duration)) if duration else tokens
        core.recorder.prefilled_tokens += computed
        core.recorder.discarded_tokens += computed
        raise
    core.recorder.prefilled_tokens += tokens
    allocation.computed_tokens = tokens


async def _transfer(
    core: EngineCore, order: ImportOrder, kv_export: KvExport, source: KvSource
) -> None:
    ingress = asyncio.ensure_future(core.ingress.move(kv_export.kv_bytes))
    try:
        await source.export_move(order.request_id, order.kv_attempt)
        await ingress
    finally:
        ingress.cancel()
