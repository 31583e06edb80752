import asyncio
import json

import pytest

from pimentoquay.backends.base import (
    DecodeOrder,
    EngineLostError,
    EngineOrder,
    EngineRefusedError,
    EngineRole,
    KvGoneError,
)
from pimentoquay.kernel import PimentoquayError, ResultCode
from pimentoquay.messages.placement import Stage
from pimentoquay.standin import StandinWeights, answer_text

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]
PROMPT = "x" * 400


def answer_of(stream):
    lines = [line for line in stream.decode().split("\n\n") if line]
    assert lines.pop() == "data: [DONE]"
    chunks = [json.loads(line.removeprefix("data: "))["choices"][0] for line in lines]
    assert chunks[-1]["finish_reason"] in ("stop", "length")
    return "".join(chunk["delta"].get("content", "") for chunk in chunks)


async def first_frame(frames):
    async for frame in frames:
        return frame
    return None


async def test_answer_is_complete_after_a_transfer_between_engines(make_pair):
    pair = make_pair()
    result = await pair.prefill()
    await pair.transfer_kv()
    assert answer_of(await pair.decode()) == answer_text(PROMPT, 8)
    assert (result.prompt_tokens, result.cached_tokens) == (100, 0)
    assert pair.token_totals() == (100, 100, 0)
    assert (
        pair.prefill_engine.observed().held_tokens == pair.decode_engine.observed().held_tokens == 0
    )


async def test_kv_that_is_not_fetched_expires_and_counts_as_discarded(make_pair):
    pair = make_pair()
    await pair.prefill()
    await asyncio.sleep(0.79)
    assert pair.prefill_engine.observed().held_tokens == 100
    await asyncio.sleep(0.02)
    assert pair.prefill_engine.observed().held_tokens == 0
    assert pair.token_totals() == (100, 0, 100)
    with pytest.raises(EngineRefusedError):
        await pair.transfer_kv()


async def test_prefill_of_1000_tokens_takes_20_to_99_decode_steps(make_pair):
    pair = make_pair()
    loop = asyncio.get_running_loop()
    start = loop.time()
    await pair.prefill(prompt="x" * 4000)
    duration = loop.time() - start
    assert (
        20
        <= duration
        / (
            pair.prefill_engine.model.step_seconds
            + pair.prefill_engine.model.step_seconds_per_stream
        )
        <= 99
    )


async def test_prefills_run_one_at_a_time_by_priority(make_pair):
    pair = make_pair()
    finished = []

    async def run(name, priority):
        await pair.prefill(name, prompt=name * 400, priority=priority)
        finished.append(name)

    async with asyncio.TaskGroup() as group:
        for name, priority in (("a", 1), ("b", 2), ("c", 1), ("d", 0)):
            group.create_task(run(name, priority))
    assert finished == ["a", "d", "c", "b"]


async def test_cached_prefix_is_not_computed_and_its_events_are_delayed(make_pair):
    pair = make_pair(event_loss=0.0)
    await pair.prefill("a", prompt="x" * 1024)
    second = await pair.prefill("b", prompt="x" * 1024 + "y" * 256)
    assert second.cached_tokens == 256
    assert await pair.prefill_engine.cache_events(0) == ()
    await asyncio.sleep(1.1)
    events = await pair.prefill_engine.cache_events(0)
    assert [event.sequence for event in events] == [1, 2, 3, 4, 5]


async def test_lost_cache_events_leave_gaps_in_the_sequence_numbers(make_pair):
    pair = make_pair(event_loss=0.5)
    await pair.prefill(prompt="x" * 256 * 40)
    await asyncio.sleep(2)
    sequences = [event.sequence for event in await pair.prefill_engine.cache_events(0)]
    assert 0 < len(sequences) < 40


async def test_requests_are_refused_if_memory_or_slots_are_full(make_pair):
    pair = make_pair(kv_capacity_tokens=150, decode_slots=1)
    await pair.prefill("a")
    with pytest.raises(EngineRefusedError, match="memory"):
        await pair.prefill("b")
    await pair.transfer_kv("a")
    await pair.prefill("b")
    with pytest.raises(EngineRefusedError, match="slots"):
        await pair.transfer_kv("b")
    assert pair.prefill_engine.observed().held_tokens == 100


async def test_stream_without_reader_continues_and_resumes_at_a_token(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.transfer_kv()
    frames = pair.decode_engine.decode(DecodeOrder("r", 1, True))
    assert await first_frame(frames)
    await frames.aclose()
    (running,) = pair.decode_engine.observed().held
    assert (running.stage, running.has_reader) == (Stage.DECODE, False)
    await asyncio.sleep(1)
    rest = b"".join([frame async for frame in pair.decode_engine.resume("r", 1, 2)])
    assert answer_text(PROMPT, 8).endswith(answer_of(rest))
    assert len(answer_of(rest).split()) == len(answer_text(PROMPT, 8).split()) - 2
    assert pair.decode_engine.observed().decodes_started == 1


async def test_resume_of_a_token_not_emitted_or_another_attempt_is_refused(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.transfer_kv()
    await pair.decode()
    for attempt, offset in ((1, 99), (2, 0)):
        with pytest.raises(EngineRefusedError):
            await first_frame(pair.decode_engine.resume("r", attempt, offset))


async def test_cancel_of_any_attempt_frees_memory_and_fails_the_stream(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.transfer_kv()
    frames = pair.decode_engine.decode(DecodeOrder("r", 1, True))
    await first_frame(frames)
    await pair.decode_engine.cancel("r", -1)
    assert pair.decode_engine.observed().held_tokens == 0
    with pytest.raises(EngineLostError):
        await first_frame(frames)


async def test_tokens_computed_before_a_cancel_count_as_discarded(make_pair):
    pair = make_pair()
    task = asyncio.create_task(pair.prefill(prompt="x" * 4000))
    await asyncio.sleep(0.25)
    await pair.prefill_engine.cancel("r", 1)
    with pytest.raises(EngineLostError):
        await task
    prefilled, used, discarded = pair.token_totals()
    assert used == 0
    assert 400 < prefilled == discarded < 600


async def test_a_newer_attempt_replaces_an_older_one_which_is_then_refused(make_pair):
    pair = make_pair()
    await pair.prefill(attempt=1)
    await pair.prefill(attempt=2)
    assert [item.attempt for item in pair.prefill_engine.observed().held] == [2]
    with pytest.raises(EngineRefusedError):
        await pair.prefill(attempt=1)


async def test_transfers_share_the_link_and_are_delayed_by_a_stall(make_pair):
    pair = make_pair(link_rate=160_000.0 * 1000, kv_lifetime=5.0, export_hold=30.0)
    await pair.prefill("a")
    await pair.prefill("b")
    loop = asyncio.get_running_loop()
    start = loop.time()
    await asyncio.gather(pair.transfer_kv("a"), pair.transfer_kv("b"))
    assert loop.time() - start == pytest.approx(0.2, abs=0.001)
    await pair.prefill("c")
    pair.prefill_engine.stall_link(1.0)
    start = loop.time()
    await pair.transfer_kv("c")
    assert loop.time() - start == pytest.approx(1.1, abs=0.001)


async def test_kv_expires_if_its_transfer_stalls_longer_than_export_hold(make_pair):
    pair = make_pair()
    await pair.prefill()
    pair.prefill_engine.stall_link(10.0)
    with pytest.raises(EngineLostError):
        await pair.transfer_kv()
    assert (
        pair.prefill_engine.observed().held_tokens == pair.decode_engine.observed().held_tokens == 0
    )


async def test_kv_that_was_transferred_after_its_caller_left_is_gone(make_pair):
    pair = make_pair(link_rate=160_000.0 * 1000)
    await pair.prefill()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await pair.transfer_kv()
    await asyncio.sleep(0.1)
    await pair.decode_engine.cancel("r", 1)
    with pytest.raises(KvGoneError):
        await pair.transfer_kv(attempt=2, kv_attempt=1)


async def test_kv_can_be_decoded_locally_after_a_failed_transfer(make_pair):
    pair = make_pair()
    await pair.prefill()
    pair.decode_engine.stall_link(10.0)
    task = asyncio.create_task(pair.transfer_kv())
    await asyncio.sleep(0.2)
    await pair.decode_engine.cancel("r", 1)
    with pytest.raises(EngineLostError):
        await task
    assert answer_of(await pair.decode(engine=pair.prefill_engine)) == answer_text(PROMPT, 8)


async def test_crash_fails_calls_and_streams_and_frees_memory(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.transfer_kv()
    frames = pair.decode_engine.decode(DecodeOrder("r", 1, True))
    await first_frame(frames)
    pair.decode_engine.crash()
    with pytest.raises(EngineLostError):
        await first_frame(frames)
    with pytest.raises(EngineLostError):
        await pair.decode_engine.status()
    pair.decode_engine.restart()
    assert (await pair.decode_engine.status()).running == ()


async def test_prefill_is_refused_in_the_decode_role(make_pair):
    pair = make_pair()
    await pair.prefill_engine.order(EngineOrder(1, "v1", (), EngineRole.DECODE))
    with pytest.raises(EngineRefusedError, match="role"):
        await pair.prefill()


async def test_old_fencing_number_is_refused_only_if_checked(make_pair):
    for is_checked in (True, False):
        engine = make_pair(checks_fencing=is_checked).prefill_engine
        await engine.order(EngineOrder(7, "v1", (), EngineRole.MIXED))
        old_order = EngineOrder(6, "v1", ("a",), EngineRole.MIXED)
        if is_checked:
            with pytest.raises(PimentoquayError) as caught:
                await engine.order(old_order)
            assert caught.value.code is ResultCode.FENCED
        else:
            await engine.order(old_order)
        numbers = [item.order.fencing_number for item in engine.observed().orders]
        assert numbers == ([7] if is_checked else [7, 6])


async def test_loads_take_the_time_of_reading_from_the_weight_store(make_pair):
    weights = StandinWeights(1e9, {"v2": 3_000_000_000, "a": 1_000_000_000})
    pair = make_pair(weights, status_lag=0.0)
    order = EngineOrder(1, "v2", ("a",), EngineRole.MIXED)
    await pair.prefill_engine.order(order)
    await asyncio.sleep(3.9)
    await pair.prefill_engine.order(order)
    assert (await pair.prefill_engine.status()).version == "v1"
    await asyncio.sleep(0.2)
    assert (await pair.prefill_engine.status()).version == "v2"
    await asyncio.sleep(2.1)
    assert (await pair.prefill_engine.status()).adapters == ("a",)
    assert weights.bytes_read == 4_000_000_000


async def test_status_is_delayed_by_status_lag(make_pair):
    pair = make_pair(status_lag=0.5)
    assert (await pair.prefill_engine.status()).kv_used_tokens == 0
    await pair.prefill()
    assert (await pair.prefill_engine.status()).kv_used_tokens == 0
    await asyncio.sleep(0.5)
    assert (await pair.prefill_engine.status()).kv_used_tokens == 100


async def test_refusals_end_after_the_requested_count(make_pair):
    pair = make_pair()
    pair.prefill_engine.refuse(count=1)
    with pytest.raises(EngineRefusedError):
        await pair.prefill()
    await pair.prefill()
    assert pair.prefill_engine.observed().refused == 1
