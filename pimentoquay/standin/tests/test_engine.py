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


def text_of(stream):
    lines = [line for line in stream.decode().split("\n\n") if line]
    assert lines.pop() == "data: [DONE]"
    chunks = [json.loads(line.removeprefix("data: "))["choices"][0] for line in lines]
    assert chunks[-1]["finish_reason"] in ("stop", "length")
    return "".join(chunk["delta"].get("content", "") for chunk in chunks)


async def first_frame(frames):
    async for frame in frames:
        return frame
    return None


async def test_answer_comes_whole_over_two_engines(make_pair):
    pair = make_pair()
    result = await pair.prefill()
    await pair.move()
    assert text_of(await pair.decode()) == answer_text(PROMPT, 8)
    assert (result.prompt_tokens, result.cached_tokens) == (100, 0)
    assert pair.totals() == (100, 100, 0)
    assert pair.p.observed().held_tokens == pair.d.observed().held_tokens == 0


async def test_kv_that_nobody_fetches_expires_and_counts_as_discarded(make_pair):
    pair = make_pair()
    await pair.prefill()
    await asyncio.sleep(0.79)
    assert pair.p.observed().held_tokens == 100
    await asyncio.sleep(0.02)
    assert pair.p.observed().held_tokens == 0
    assert pair.totals() == (100, 0, 100)
    with pytest.raises(EngineRefusedError):
        await pair.move()


async def test_a_thousand_token_prefill_costs_tens_of_steps(make_pair):
    pair = make_pair()
    loop = asyncio.get_running_loop()
    start = loop.time()
    await pair.prefill(prompt="x" * 4000)
    took = loop.time() - start
    assert 20 <= took / (pair.p.model.step_seconds + pair.p.model.step_seconds_per_stream) <= 99


async def test_prefill_serves_the_most_urgent_first_one_at_a_time(make_pair):
    pair = make_pair()
    done = []

    async def run(name, priority):
        await pair.prefill(name, prompt=name * 400, priority=priority)
        done.append(name)

    async with asyncio.TaskGroup() as group:
        for name, priority in (("a", 1), ("b", 2), ("c", 1), ("d", 0)):
            group.create_task(run(name, priority))
    assert done == ["a", "d", "c", "b"]


async def test_cached_prefix_costs_nothing_and_its_events_come_late(make_pair):
    pair = make_pair(event_loss=0.0)
    await pair.prefill("a", prompt="x" * 1024)
    again = await pair.prefill("b", prompt="x" * 1024 + "y" * 256)
    assert again.cached_tokens == 256
    assert await pair.p.cache_events(0) == ()
    await asyncio.sleep(1.1)
    events = await pair.p.cache_events(0)
    assert [event.sequence for event in events] == [1, 2, 3, 4, 5]


async def test_lossy_events_leave_a_visible_gap(make_pair):
    pair = make_pair(event_loss=0.5)
    await pair.prefill(prompt="x" * 256 * 40)
    await asyncio.sleep(2)
    sequences = [event.sequence for event in await pair.p.cache_events(0)]
    assert 0 < len(sequences) < 40


async def test_full_memory_and_full_slots_refuse(make_pair):
    pair = make_pair(kv_capacity_tokens=150, decode_slots=1)
    await pair.prefill("a")
    with pytest.raises(EngineRefusedError, match="memory"):
        await pair.prefill("b")
    await pair.move("a")
    await pair.prefill("b")
    with pytest.raises(EngineRefusedError, match="slots"):
        await pair.move("b")
    assert pair.p.observed().held_tokens == 100


async def test_stream_without_reader_goes_on_and_resumes_at_a_token(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.move()
    frames = pair.d.decode(DecodeOrder("r", 1, True))
    assert await first_frame(frames)
    await frames.aclose()
    (running,) = pair.d.observed().held
    assert (running.stage, running.has_reader) == (Stage.DECODE, False)
    await asyncio.sleep(1)
    rest = b"".join([frame async for frame in pair.d.resume("r", 1, 2)])
    assert answer_text(PROMPT, 8).endswith(text_of(rest))
    assert len(text_of(rest).split()) == len(answer_text(PROMPT, 8).split()) - 2
    assert pair.d.observed().decodes_started == 1


async def test_resume_beyond_what_was_emitted_or_of_another_attempt_refuses(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.move()
    await pair.decode()
    for attempt, offset in ((1, 99), (2, 0)):
        with pytest.raises(EngineRefusedError):
            await first_frame(pair.d.resume("r", attempt, offset))


async def test_cancel_of_every_attempt_frees_memory_and_breaks_the_stream(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.move()
    frames = pair.d.decode(DecodeOrder("r", 1, True))
    await first_frame(frames)
    await pair.d.cancel("r", -1)
    assert pair.d.observed().held_tokens == 0
    with pytest.raises(EngineLostError):
        await first_frame(frames)


async def test_cancelled_prefill_counts_the_part_that_ran_as_discarded(make_pair):
    pair = make_pair()
    task = asyncio.create_task(pair.prefill(prompt="x" * 4000))
    await asyncio.sleep(0.25)
    await pair.p.cancel("r", 1)
    with pytest.raises(EngineLostError):
        await task
    prefilled, used, discarded = pair.totals()
    assert used == 0
    assert 400 < prefilled == discarded < 600


async def test_newer_attempt_replaces_an_older_one_but_not_the_reverse(make_pair):
    pair = make_pair()
    await pair.prefill(attempt=1)
    await pair.prefill(attempt=2)
    assert [item.attempt for item in pair.p.observed().held] == [2]
    with pytest.raises(EngineRefusedError):
        await pair.prefill(attempt=1)


async def test_transfers_share_the_link_and_a_stall_holds_them(make_pair):
    pair = make_pair(link_rate=160_000.0 * 1000, kv_lifetime=5.0, export_hold=30.0)
    await pair.prefill("a")
    await pair.prefill("b")
    loop = asyncio.get_running_loop()
    start = loop.time()
    await asyncio.gather(pair.move("a"), pair.move("b"))
    assert loop.time() - start == pytest.approx(0.2, abs=0.001)
    await pair.prefill("c")
    pair.p.stall_link(1.0)
    start = loop.time()
    await pair.move("c")
    assert loop.time() - start == pytest.approx(1.1, abs=0.001)


async def test_stalled_transfer_loses_the_kv_after_the_hold(make_pair):
    pair = make_pair()
    await pair.prefill()
    pair.p.stall_link(10.0)
    with pytest.raises(EngineLostError):
        await pair.move()
    assert pair.p.observed().held_tokens == pair.d.observed().held_tokens == 0


async def test_kv_that_moved_after_its_caller_left_is_gone(make_pair):
    pair = make_pair(link_rate=160_000.0 * 1000)
    await pair.prefill()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.05):
            await pair.move()
    await asyncio.sleep(0.1)
    await pair.d.cancel("r", 1)
    with pytest.raises(KvGoneError):
        await pair.move(attempt=2, kv_attempt=1)


async def test_failed_transfer_leaves_the_kv_for_a_local_decode(make_pair):
    pair = make_pair()
    await pair.prefill()
    pair.d.stall_link(10.0)
    task = asyncio.create_task(pair.move())
    await asyncio.sleep(0.2)
    await pair.d.cancel("r", 1)
    with pytest.raises(EngineLostError):
        await task
    assert text_of(await pair.decode(engine=pair.p)) == answer_text(PROMPT, 8)


async def test_crash_loses_calls_streams_and_memory(make_pair):
    pair = make_pair()
    await pair.prefill()
    await pair.move()
    frames = pair.d.decode(DecodeOrder("r", 1, True))
    await first_frame(frames)
    pair.d.crash()
    with pytest.raises(EngineLostError):
        await first_frame(frames)
    with pytest.raises(EngineLostError):
        await pair.d.status()
    pair.d.restart()
    assert (await pair.d.status()).running == ()


async def test_role_refuses_the_other_stage(make_pair):
    pair = make_pair()
    await pair.p.order(EngineOrder(1, "v1", (), EngineRole.DECODE))
    with pytest.raises(EngineRefusedError, match="role"):
        await pair.prefill()


async def test_old_fencing_number_is_refused_only_where_checked(make_pair):
    for checks in (True, False):
        engine = make_pair(checks_fencing=checks).p
        await engine.order(EngineOrder(7, "v1", (), EngineRole.MIXED))
        old = EngineOrder(6, "v1", ("a",), EngineRole.MIXED)
        if checks:
            with pytest.raises(PimentoquayError) as caught:
                await engine.order(old)
            assert caught.value.code is ResultCode.FENCED
        else:
            await engine.order(old)
        numbers = [item.order.fencing_number for item in engine.observed().orders]
        assert numbers == ([7] if checks else [7, 6])


async def test_version_loads_take_the_weight_stores_time(make_pair):
    weights = StandinWeights(1e9, {"v2": 3_000_000_000, "a": 1_000_000_000})
    pair = make_pair(weights, status_lag=0.0)
    order = EngineOrder(1, "v2", ("a",), EngineRole.MIXED)
    await pair.p.order(order)
    await asyncio.sleep(3.9)
    await pair.p.order(order)
    assert (await pair.p.status()).version == "v1"
    await asyncio.sleep(0.2)
    assert (await pair.p.status()).version == "v2"
    await asyncio.sleep(2.1)
    assert (await pair.p.status()).adapters == ("a",)
    assert weights.bytes_read == 4_000_000_000


async def test_status_lags_by_its_period(make_pair):
    pair = make_pair(status_lag=0.5)
    assert (await pair.p.status()).kv_used_tokens == 0
    await pair.prefill()
    assert (await pair.p.status()).kv_used_tokens == 0
    await asyncio.sleep(0.5)
    assert (await pair.p.status()).kv_used_tokens == 100


async def test_refusals_end_after_their_count(make_pair):
    pair = make_pair()
    pair.p.refuse(count=1)
    with pytest.raises(EngineRefusedError):
        await pair.prefill()
    await pair.prefill()
    assert pair.p.observed().refused == 1
