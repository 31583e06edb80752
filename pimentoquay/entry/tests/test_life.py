import asyncio

import pytest

from pimentoquay.backends.base import (
    EngineLostError,
    EngineRefusedError,
    KvGoneError,
)
from pimentoquay.entry.tests.fakes import (
    KIND,
    SHARD,
    WHOLE,
    collect,
    engine_member,
    entry_rig,
    frame,
    grant,
    refuse,
    silence,
    spec_of,
)
from pimentoquay.kernel import Envelope, PimentoquayError, RefusedError, ResultCode
from pimentoquay.messages.cluster import ClusterView
from pimentoquay.messages.placement import (
    Grant,
    PlaceRequest,
    Release,
    ReplaceRequest,
    StageReport,
)

pytestmark = pytest.mark.looptime

ONCE = KIND.__class__(**{**KIND.__dict__, "idempotent": False})


async def failure_of(rig, spec) -> PimentoquayError:
    with pytest.raises(PimentoquayError) as caught:
        await collect(rig.service.run(spec))
    await rig.service.drained()
    return caught.value


@pytest.mark.parametrize("streaming", [True, False])
async def test_a_request_passes_all_stages_and_is_answered_whole(streaming):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        assert await collect(rig.service.run(spec_of(streaming=streaming))) == WHOLE
        await asyncio.sleep(0.1)
        assert [report.stage for report in rig.scheduler.of_type(StageReport)] == [0, 1]
        release = rig.scheduler.of_type(Release)[0]
        assert (release.code, release.tokens) == (ResultCode.OK, 5)
        assert rig.engine_by_name["d1"].calls == ["import:0", "source:p1:0", "decode:0"]
        assert rig.link.held(SHARD) == ()


async def test_one_engine_for_both_stages_needs_no_transfer():
    async with entry_rig() as rig:
        rig.next_answers(grant("d1", "d1"))
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.engine_by_name["d1"].calls == ["prefill:0", "decode:0"]


async def test_a_refusal_is_final_at_once_and_true():
    async with entry_rig() as rig:
        rig.next_answers(refuse(ResultCode.WORKSPACE_LIMIT))
        before = asyncio.get_running_loop().time()
        error = await failure_of(rig, spec_of())
        assert isinstance(error, RefusedError)
        assert (error.code, error.retry_after) == (ResultCode.WORKSPACE_LIMIT, 1.5)
        assert asyncio.get_running_loop().time() - before < 0.2
        assert not any(engine.calls for engine in rig.engine_by_name.values())


async def test_a_request_that_no_one_answers_ends_at_its_deadline_and_is_withdrawn():
    async with entry_rig() as rig:
        rig.next_answers(silence)
        error = await failure_of(rig, spec_of())
        assert error.code is ResultCode.DEADLINE_UNREACHABLE
        await asyncio.sleep(0.1)
        assert rig.scheduler.of_type(Release)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
@pytest.mark.parametrize("cause", [EngineLostError("reset"), EngineRefusedError("busy")])
async def test_an_engine_lost_before_the_first_token_is_replaced(stage, cause):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["p1" if stage == "prefill" else "d1"].fail[stage] = [cause]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        await rig.service.drained()
        assert rig.scheduler.of_type(ReplaceRequest)[0].attempt == 1
        assert rig.engine_by_name["d2"].calls == ["prefill:1", "decode:1"]
        assert ("r1", 0) not in rig.engine_by_name["d1"].held


async def test_a_stalled_transfer_is_retried_elsewhere_while_the_kv_lives():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"))
        rig.engine_by_name["d1"].fail["import"] = [EngineLostError("link")]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.scheduler.of_type(ReplaceRequest)[0].kv_engine == "p1"
        assert rig.engine_by_name["p1"].calls == ["prefill:0"]
        assert rig.engine_by_name["d2"].calls == ["import:1", "source:p1:0", "decode:1"]


async def test_a_source_that_died_after_its_prefill_is_left_after_one_more_transfer():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"), grant("d1", "d1"))
        for name in ("d1", "d2"):
            rig.engine_by_name[name].fail["import"] = [EngineLostError("no such source")] * 9
        assert await collect(rig.service.run(spec_of())) == WHOLE
        kept = [message.kv_engine for message in rig.scheduler.of_type(ReplaceRequest)]
        assert kept == ["p1", ""]


@pytest.mark.parametrize("kind", [KIND, ONCE])
async def test_kv_that_its_source_no_longer_holds_is_not_asked_for_again(kind):
    """A transfer that was given up may end well a moment later and free the source's copy."""
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"), grant("p1", "d1"))
        rig.engine_by_name["d1"].fail["import"] = [EngineLostError("no answer in time")]
        rig.engine_by_name["d2"].fail["import"] = [KvGoneError("attempt 0 is not held")] * 9
        if kind is ONCE:
            error = await failure_of(rig, spec_of(kind=ONCE))
            assert error.code is ResultCode.OUTCOME_UNKNOWN
        else:
            assert await collect(rig.service.run(spec_of())) == WHOLE
            assert "prefill:2" in rig.engine_by_name["p1"].calls
            kept = [message.kv_engine for message in rig.scheduler.of_type(ReplaceRequest)]
            assert kept == ["p1", ""]
        assert rig.engine_by_name["d2"].calls.count("import:1") == 1


async def test_a_transfer_that_outlasts_the_kv_is_prefilled_again():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"))
        rig.engine_by_name["d1"].fail["import"] = [30.0]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.scheduler.of_type(ReplaceRequest)[0].kv_engine == ""
        assert "prefill:1" in rig.engine_by_name["p1"].calls


async def test_kv_kept_for_a_retry_is_decoded_where_it_lies():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "p1"))
        rig.engine_by_name["d1"].fail["import"] = [EngineLostError("link")]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.engine_by_name["p1"].calls == ["prefill:0", "decode:0"]


async def test_a_refused_retry_after_work_does_not_say_not_run():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), refuse(ResultCode.QUEUE_FULL))
        rig.engine_by_name["p1"].fail["prefill"] = [EngineLostError("reset")]
        assert (await failure_of(rig, spec_of())).code is ResultCode.ENGINE_FAILED
        assert rig.nothing_held()


async def test_a_refused_retry_after_a_proven_refusal_says_not_run():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), refuse(ResultCode.QUEUE_FULL))
        rig.engine_by_name["p1"].fail["prefill"] = [EngineRefusedError("busy")]
        assert (await failure_of(rig, spec_of())).code is ResultCode.QUEUE_FULL


async def test_a_broken_stream_goes_on_at_the_token_reached():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        rig.engine_by_name["d1"].break_at = 3
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert "resume@3:0" in rig.engine_by_name["d1"].calls


def lose_first_engine(rig):
    rig.next_answers(grant("p1", "d1"), grant("d2", "d2"), grant("p1", "p1"))
    rig.engine_by_name["d1"].break_at = 3
    rig.engine_by_name["d1"].fail["resume@3"] = [EngineLostError("gone")] * 9


async def test_a_stream_whose_engine_is_lost_goes_on_from_a_run_that_gives_the_same():
    async with entry_rig() as rig:
        lose_first_engine(rig)
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert "decode:1" in rig.engine_by_name["d2"].calls
        await rig.service.drained()
        assert rig.nothing_held()


async def test_a_stream_whose_second_engine_is_lost_too_goes_on_from_a_third():
    async with entry_rig() as rig:
        lose_first_engine(rig)
        rig.engine_by_name["d2"].break_at = 2
        rig.engine_by_name["d2"].fail["resume@2"] = [EngineLostError("gone")] * 9
        assert await collect(rig.service.run(spec_of())) == WHOLE


async def test_a_stream_is_never_mixed_with_a_run_that_gives_another_answer():
    async with entry_rig() as rig:
        lose_first_engine(rig)
        rig.engine_by_name["d2"].frame_of = lambda index: frame(index + (index == 2))
        received = []
        with pytest.raises(PimentoquayError) as caught:
            async for chunk in rig.service.run(spec_of()):
                received.append(chunk)
        assert caught.value.code is ResultCode.STREAM_BROKEN
        assert received == [frame(0), frame(1), frame(2)]
        await rig.service.drained()
        assert rig.nothing_held()


async def test_a_stream_that_may_not_repeat_is_never_run_again():
    async with entry_rig() as rig:
        lose_first_engine(rig)
        assert (await failure_of(rig, spec_of(kind=ONCE))).code is ResultCode.STREAM_BROKEN
        assert rig.engine_by_name["d2"].calls == []
        assert rig.nothing_held()


async def test_a_whole_answer_that_broke_is_run_again_without_mixing():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["d1"].break_at = 3
        rig.engine_by_name["d1"].fail["resume@3"] = [EngineLostError("gone")] * 9
        assert await collect(rig.service.run(spec_of(streaming=False))) == WHOLE


@pytest.mark.parametrize("stage", ["prefill", "import", "decode"])
async def test_a_call_that_may_not_repeat_ends_as_outcome_unknown(stage):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        engine = rig.engine_by_name["p1" if stage == "prefill" else "d1"]
        engine.fail[stage] = [30.0 if stage == "import" else EngineLostError("reset")]
        error = await failure_of(rig, spec_of(kind=ONCE))
        assert error.code is ResultCode.OUTCOME_UNKNOWN
        assert rig.engine_by_name["d2"].calls == []


async def test_a_call_that_may_not_repeat_is_retried_after_proof_that_nothing_ran():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["p1"].fail["prefill"] = [EngineRefusedError("busy")]
        assert await collect(rig.service.run(spec_of(kind=ONCE))) == WHOLE


@pytest.mark.parametrize("after", [0.001, 0.008, 0.018, 0.03, 0.06])
async def test_a_caller_that_leaves_frees_everything_in_every_stage(after):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        task = asyncio.create_task(collect(rig.service.run(spec_of())))
        await asyncio.sleep(after)
        task.cancel()
        await asyncio.wait([task])
        await asyncio.sleep(0.1)
        assert rig.nothing_held()
        assert rig.link.held(SHARD) == ()
        assert rig.scheduler.of_type(Release)[-1].code is ResultCode.CANCELLED
        assert rig.service.metrics.count_by_code == {ResultCode.CANCELLED: 1}


async def test_late_and_crossed_answers_are_dropped():
    def crossed(message: PlaceRequest) -> tuple[Grant, ...]:
        return (
            Grant("other", message.attempt, "p1", "p1"),
            Grant(message.request_id, message.attempt + 7, "d2", "d2"),
            Grant(message.request_id, message.attempt, "p1", "d1"),
            Grant(message.request_id, message.attempt, "d2", "d2"),
        )

    async with entry_rig() as rig:
        rig.next_answers(crossed)
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.engine_by_name["d2"].calls == []


async def test_the_scheduler_is_told_the_weight_of_the_workspace():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        assert await collect(rig.service.run(spec_of(workspace_weight=4))) == WHOLE
        assert rig.scheduler.of_type(PlaceRequest)[0].workspace_weight == 4


async def test_a_request_id_in_progress_is_not_run_twice():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        first = asyncio.create_task(collect(rig.service.run(spec_of())))
        await asyncio.sleep(0.02)
        with pytest.raises(RefusedError) as caught:
            await collect(rig.service.run(spec_of()))
        assert caught.value.code is ResultCode.KEY_IN_USE
        assert await first == WHOLE


async def test_clients_of_engines_that_are_gone_are_forgotten():
    async with entry_rig() as rig:
        view = rig.link.directory.view
        first = engine_member("p1")
        client = rig.service.engine_of(first)
        assert rig.service.engine_of(first) is client
        rig.link.inbox.put_nowait(Envelope(ClusterView(2, view.members[:1], view.live_vms, ())))
        await asyncio.sleep(0.01)
        rig.service.engine_of(engine_member("d1"))
        assert list(rig.service._client_by_member) == [("d1", "d1")]
