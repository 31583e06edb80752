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
    no_reply,
    refuse,
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
"""Kind of request that must run at most once."""


async def failure_of(rig, spec) -> PimentoquayError:
    """Run a request that must fail, and return its error."""
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


async def test_a_refusal_ends_the_request_at_once_and_nothing_runs():
    async with entry_rig() as rig:
        rig.next_answers(refuse(ResultCode.WORKSPACE_LIMIT))
        before = asyncio.get_running_loop().time()
        error = await failure_of(rig, spec_of())
        assert isinstance(error, RefusedError)
        assert (error.code, error.retry_after) == (ResultCode.WORKSPACE_LIMIT, 1.5)
        assert asyncio.get_running_loop().time() - before < 0.2
        assert not any(engine.calls for engine in rig.engine_by_name.values())


async def test_an_unanswered_place_request_ends_at_its_deadline_and_is_withdrawn():
    async with entry_rig() as rig:
        rig.next_answers(no_reply)
        error = await failure_of(rig, spec_of())
        assert error.code is ResultCode.DEADLINE_UNREACHABLE
        await asyncio.sleep(0.1)
        assert rig.scheduler.of_type(Release)


@pytest.mark.parametrize("stage", ["prefill", "decode"])
@pytest.mark.parametrize("cause", [EngineLostError("reset"), EngineRefusedError("busy")])
async def test_an_engine_lost_before_the_first_token_is_replaced(stage, cause):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["p1" if stage == "prefill" else "d1"].failures_by_call[stage] = [cause]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        await rig.service.drained()
        assert rig.scheduler.of_type(ReplaceRequest)[0].attempt == 1
        assert rig.engine_by_name["d2"].calls == ["prefill:1", "decode:1"]
        assert ("r1", 0) not in rig.engine_by_name["d1"].held


async def test_a_failed_transfer_is_retried_on_another_engine_with_the_same_kv_cache():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"))
        rig.engine_by_name["d1"].failures_by_call["import"] = [EngineLostError("link")]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.scheduler.of_type(ReplaceRequest)[0].kv_engine == "p1"
        assert rig.engine_by_name["p1"].calls == ["prefill:0"]
        assert rig.engine_by_name["d2"].calls == ["import:1", "source:p1:0", "decode:1"]


async def test_a_kv_source_is_given_up_after_a_second_failed_transfer():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"), grant("d1", "d1"))
        for name in ("d1", "d2"):
            rig.engine_by_name[name].failures_by_call["import"] = [
                EngineLostError("no such source")
            ] * 9
        assert await collect(rig.service.run(spec_of())) == WHOLE
        kv_engines = [message.kv_engine for message in rig.scheduler.of_type(ReplaceRequest)]
        assert kv_engines == ["p1", ""]


@pytest.mark.parametrize("kind", [KIND, ONCE])
async def test_a_kv_cache_that_its_source_has_freed_is_not_requested_again(kind):
    """A transfer may still succeed after its timeout; the source then frees its copy.

    Further transfers from that source would all fail, so the prompt has to be prefilled again.
    """
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"), grant("p1", "d1"))
        rig.engine_by_name["d1"].failures_by_call["import"] = [EngineLostError("no answer in time")]
        rig.engine_by_name["d2"].failures_by_call["import"] = [
            KvGoneError("attempt 0 is not held")
        ] * 9
        if kind is ONCE:
            error = await failure_of(rig, spec_of(kind=ONCE))
            assert error.code is ResultCode.OUTCOME_UNKNOWN
        else:
            assert await collect(rig.service.run(spec_of())) == WHOLE
            assert "prefill:2" in rig.engine_by_name["p1"].calls
            kv_engines = [message.kv_engine for message in rig.scheduler.of_type(ReplaceRequest)]
            assert kv_engines == ["p1", ""]
        assert rig.engine_by_name["d2"].calls.count("import:1") == 1


async def test_the_prompt_is_prefilled_again_if_its_kv_cache_expires_during_transfer():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "d2"))
        rig.engine_by_name["d1"].failures_by_call["import"] = [30.0]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.scheduler.of_type(ReplaceRequest)[0].kv_engine == ""
        assert "prefill:1" in rig.engine_by_name["p1"].calls


async def test_a_kept_kv_cache_is_decoded_on_the_engine_that_holds_it():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("p1", "p1"))
        rig.engine_by_name["d1"].failures_by_call["import"] = [EngineLostError("link")]
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert rig.engine_by_name["p1"].calls == ["prefill:0", "decode:0"]


async def test_a_refused_retry_after_work_does_not_say_not_run():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), refuse(ResultCode.QUEUE_FULL))
        rig.engine_by_name["p1"].failures_by_call["prefill"] = [EngineLostError("reset")]
        assert (await failure_of(rig, spec_of())).code is ResultCode.ENGINE_FAILED
        assert rig.nothing_is_held()


async def test_a_refused_retry_after_a_proven_refusal_says_not_run():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), refuse(ResultCode.QUEUE_FULL))
        rig.engine_by_name["p1"].failures_by_call["prefill"] = [EngineRefusedError("busy")]
        assert (await failure_of(rig, spec_of())).code is ResultCode.QUEUE_FULL


async def test_a_broken_stream_is_resumed_at_the_token_reached():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"))
        rig.engine_by_name["d1"].break_at = 3
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert "resume@3:0" in rig.engine_by_name["d1"].calls


def break_first_stream(rig):
    """Let the stream on engine ``d1`` break after 3 tokens and every resumption of it fail."""
    rig.next_answers(grant("p1", "d1"), grant("d2", "d2"), grant("p1", "p1"))
    rig.engine_by_name["d1"].break_at = 3
    rig.engine_by_name["d1"].failures_by_call["resume@3"] = [EngineLostError("gone")] * 9


async def test_a_stream_whose_engine_is_lost_continues_from_an_identical_run():
    async with entry_rig() as rig:
        break_first_stream(rig)
        assert await collect(rig.service.run(spec_of())) == WHOLE
        assert "decode:1" in rig.engine_by_name["d2"].calls
        await rig.service.drained()
        assert rig.nothing_is_held()


async def test_a_stream_whose_second_engine_is_lost_too_continues_on_a_third():
    async with entry_rig() as rig:
        break_first_stream(rig)
        rig.engine_by_name["d2"].break_at = 2
        rig.engine_by_name["d2"].failures_by_call["resume@2"] = [EngineLostError("gone")] * 9
        assert await collect(rig.service.run(spec_of())) == WHOLE


async def test_a_stream_ends_with_an_error_if_another_run_gives_a_different_answer():
    async with entry_rig() as rig:
        break_first_stream(rig)
        rig.engine_by_name["d2"].frame_of = lambda index: frame(index + (index == 2))
        received = []
        with pytest.raises(PimentoquayError) as caught:
            async for chunk in rig.service.run(spec_of()):
                received.append(chunk)
        assert caught.value.code is ResultCode.STREAM_BROKEN
        assert received == [frame(0), frame(1), frame(2)]
        await rig.service.drained()
        assert rig.nothing_is_held()


async def test_a_non_idempotent_stream_is_never_run_again():
    async with entry_rig() as rig:
        break_first_stream(rig)
        assert (await failure_of(rig, spec_of(kind=ONCE))).code is ResultCode.STREAM_BROKEN
        assert rig.engine_by_name["d2"].calls == []
        assert rig.nothing_is_held()


async def test_a_non_streamed_answer_that_broke_is_run_again_from_its_start():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["d1"].break_at = 3
        rig.engine_by_name["d1"].failures_by_call["resume@3"] = [EngineLostError("gone")] * 9
        assert await collect(rig.service.run(spec_of(streaming=False))) == WHOLE


@pytest.mark.parametrize("stage", ["prefill", "import", "decode"])
async def test_a_failed_non_idempotent_request_ends_as_outcome_unknown(stage):
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        engine = rig.engine_by_name["p1" if stage == "prefill" else "d1"]
        engine.failures_by_call[stage] = [30.0 if stage == "import" else EngineLostError("reset")]
        error = await failure_of(rig, spec_of(kind=ONCE))
        assert error.code is ResultCode.OUTCOME_UNKNOWN
        assert rig.engine_by_name["d2"].calls == []


async def test_a_non_idempotent_request_is_retried_after_proof_that_nothing_ran():
    async with entry_rig() as rig:
        rig.next_answers(grant("p1", "d1"), grant("d2", "d2"))
        rig.engine_by_name["p1"].failures_by_call["prefill"] = [EngineRefusedError("busy")]
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
        assert rig.nothing_is_held()
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


async def test_a_place_request_holds_the_weight_of_the_workspace():
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


async def test_clients_of_unlisted_engines_are_dropped():
    async with entry_rig() as rig:
        view = rig.link.directory.view
        first = engine_member("p1")
        client = rig.service.engine_of(first)
        assert rig.service.engine_of(first) is client
        rig.link.inbox.put_nowait(Envelope(ClusterView(2, view.members[:1], view.live_vms, ())))
        await asyncio.sleep(0.01)
        rig.service.engine_of(engine_member("d1"))
        assert list(rig.service._client_by_member) == [("d1", "d1")]
