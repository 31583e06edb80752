"""The scheduler of one shard: grants, refusals, rescues, rebuild of the ledger, and sweeps."""

from dataclasses import replace

import pytest

from pimentoquay.backends.base import EngineRole, EngineStatus, RunningRequest
from pimentoquay.kernel import ResultCode
from pimentoquay.membership import Shard
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.messages.placement import (
    FindRequest,
    Grant,
    GrantRecord,
    Located,
    PlaceRequest,
    Refusal,
    Release,
    ReplaceRequest,
    Stage,
    StageReport,
    Urgency,
)
from pimentoquay.scheduler import EntryKey, SchedulerSection, ShardScheduler
from pimentoquay.scheduler.sweep import sweep

ENTRY = EntryKey("arima-1", "entry", 1)
SECTION = SchedulerSection(rebuild_grace=0.0)


def member(name):
    state = MemberState.LIVE
    return Member(name, MemberKind.ENGINE, state, "tt", "arima", f"{name}:1", "diag-llm", True)


def status(engine, role, running=(), slots=2, age=0.0):
    return EngineStatus(
        engine, "diag-llm", "v1", (), role, slots, 0, 20_000, 0, 0, 0, age, tuple(running)
    )


def shard_of(role_by_name, section=SECTION, slots=2):
    shard = Shard("s#0", "diag-llm", "arima", tuple(member(name) for name in role_by_name))
    scheduler = ShardScheduler(shard, section, 0.0)
    for name, role in role_by_name.items():
        scheduler.engines.update_status(status(name, role, slots=slots))
    return scheduler


def pair(slots=2):
    return shard_of({"p": EngineRole.PREFILL, "d": EngineRole.DECODE}, slots=slots)


def request(name, deadline_in=5.0, limit=0, workspace="w", prompt=200):
    return PlaceRequest(
        name, 0, "s#0", workspace, "k", Urgency.NORMAL, prompt, 50, (), deadline_in, 0.055, limit
    )


def messages(scheduler):
    return [outgoing.message for outgoing in scheduler.take_outbox()]


def run_to_decode(scheduler, name, now):
    scheduler.report(StageReport(name, 0, Stage.PREFILL, "p", ResultCode.OK, 200, 0, 0.1), now)
    scheduler.report(StageReport(name, 0, Stage.TRANSFER, "d", ResultCode.OK, 200, 0, 0.01), now)


def test_grant_names_both_engines_and_release_frees_everything():
    scheduler = pair()
    scheduler.place(ENTRY, request("a"), 1.0)
    assert messages(scheduler) == [Grant("a", 0, "p", "d")]
    run_to_decode(scheduler, "a", 1.2)
    assert scheduler.ledger.engine_by_name["d"].decoding == 1
    scheduler.release(Release("a", ResultCode.OK, 50, 2.0), 3.0)
    for load in scheduler.ledger.engine_by_name.values():
        assert (load.reserved, load.decoding, load.kv_reserved, load.prefill_count) == (0, 0, 0, 0)
        assert load.release_rate == pytest.approx(0.0)


def test_one_mixed_engine_does_both_stages():
    scheduler = shard_of({"m": EngineRole.MIXED})
    scheduler.place(ENTRY, request("a"), 1.0)
    assert messages(scheduler) == [Grant("a", 0, "m", "m")]
    scheduler.report(StageReport("a", 0, Stage.PREFILL, "m", ResultCode.OK, 200, 0, 0.1), 1.1)
    assert scheduler.ledger.engine_by_name["m"].decoding == 1


def test_no_prefill_starts_without_a_slot_for_it():
    scheduler = pair(slots=1)
    scheduler.place(ENTRY, request("a"), 1.0)
    run_to_decode(scheduler, "a", 1.2)
    scheduler.place(ENTRY, request("b"), 1.3)
    assert messages(scheduler) == [Grant("a", 0, "p", "d")]
    scheduler.release(Release("a", ResultCode.OK, 50, 2.0), 2.4)
    assert messages(scheduler) == [Grant("b", 0, "p", "d")]


def test_unreachable_deadline_is_refused_at_once_with_a_hint():
    scheduler = pair()
    scheduler.place(ENTRY, request("a", deadline_in=0.01), 1.0)
    (refusal,) = messages(scheduler)
    assert refusal.code is ResultCode.DEADLINE_UNREACHABLE
    assert refusal.retry_after > 0


def test_no_engine_and_workspace_limit():
    scheduler = shard_of({})
    scheduler.place(ENTRY, request("a"), 1.0)
    assert messages(scheduler)[0].code is ResultCode.NO_BACKEND
    scheduler = pair()
    scheduler.place(ENTRY, request("a", limit=1), 1.0)
    scheduler.place(ENTRY, request("b", limit=1), 1.0)
    scheduler.place(ENTRY, request("c", limit=1, workspace="other"), 1.0)
    limited = [item for item in messages(scheduler) if isinstance(item, Refusal)]
    assert [(item.request_id, item.code) for item in limited] == [("b", ResultCode.WORKSPACE_LIMIT)]


def test_stalled_transfer_moves_to_another_slot_without_prefill():
    roles = {"p": EngineRole.PREFILL, "d": EngineRole.DECODE, "e": EngineRole.DECODE}
    scheduler = shard_of(roles)
    scheduler.place(ENTRY, request("a"), 1.0)
    first = messages(scheduler)[0].decode_engine
    scheduler.report(StageReport("a", 0, Stage.PREFILL, "p", ResultCode.OK, 200, 0, 0.1), 1.1)
    for now in (1.2, 1.3):
        grant = scheduler.ledger.get("a")
        failure = ReplaceRequest(
            "a", int(now * 10), Stage.TRANSFER, first, "p", ResultCode.TRANSFER_FAILED, 3.0
        )
        scheduler.replace(ENTRY, failure, now)
    grant = messages(scheduler)[-1]
    assert grant.prefill_engine == "p"
    assert grant.decode_engine != first
    assert scheduler.ledger.engine_by_name["p"].prefill_count == 0


def test_one_probe_to_an_engine_that_refused():
    scheduler = pair(slots=8)
    scheduler.place(ENTRY, request("a"), 1.0)
    refused = ReplaceRequest("a", 1, Stage.PREFILL, "p", "", ResultCode.CIRCUIT_OPEN, 4.0)
    scheduler.replace(ENTRY, refused, 1.01)
    scheduler.place(ENTRY, request("b"), 1.02)
    scheduler.place(ENTRY, request("c"), 1.02)
    assert len(messages(scheduler)) == 1
    scheduler.dispatch(1.3)
    assert len(messages(scheduler)) == 1
    # A prefill takes less than 0.1 s, so the other requests wait only for the running probe.
    for tenth in range(14, 20):
        scheduler.dispatch(tenth / 10)
        assert messages(scheduler) == []
    probe = next(iter(scheduler.ledger)).request
    done = StageReport(
        probe.request_id, probe.attempt, Stage.PREFILL, "p", ResultCode.OK, 200, 0, 0.1
    )
    scheduler.report(done, 2.0)
    assert len(messages(scheduler)) == 1


def test_new_owner_counts_running_requests_and_accepts_announced_grants():
    scheduler = shard_of({"p": EngineRole.PREFILL, "d": EngineRole.DECODE}, slots=1)
    running = RunningRequest("old", 0, Stage.DECODE, True, 300, 2.0)
    sweep(scheduler.ledger, status("d", EngineRole.DECODE, [running], slots=1), 3.0, 0.5)
    scheduler.place(ENTRY, request("a"), 1.0)
    assert messages(scheduler) == []
    record = GrantRecord("old", 0, "w", "p", "d", Stage.DECODE, 200, 50)
    scheduler.reannounce(ENTRY, (record,), 1.1)
    sweep(scheduler.ledger, status("d", EngineRole.DECODE, [running], slots=1), 3.0, 1.2)
    scheduler.find(EntryKey("arima-2", "entry", 1), FindRequest("old", "s#0"), 1.2)
    assert messages(scheduler) == [Located("old", 0, "d")]
    assert scheduler.ledger.get("old").entry.vm == "arima-2"


@pytest.mark.parametrize(("waiting_for", "granted"), [(0, []), (1, ["a"])])
def test_a_request_announced_while_it_waits_is_not_granted_twice(waiting_for, granted):
    roles = {"p": EngineRole.PREFILL, "d": EngineRole.DECODE}
    scheduler = shard_of(roles, replace(SECTION, rebuild_grace=0.4))
    scheduler.place(ENTRY, replace(request("a"), attempt=waiting_for), 0.1)
    record = GrantRecord("a", 0, "w", "p", "d", Stage.DECODE, 200, 50)
    scheduler.reannounce(ENTRY, (record,), 0.2)
    scheduler.dispatch(0.41)
    assert [message.request_id for message in messages(scheduler)] == granted
    assert scheduler.ledger.get("a") is not None


def test_nothing_is_granted_before_the_rebuild_grace():
    roles = {"p": EngineRole.PREFILL, "d": EngineRole.DECODE}
    scheduler = shard_of(roles, replace(SECTION, rebuild_grace=0.4))
    scheduler.place(ENTRY, request("a"), 0.1)
    assert messages(scheduler) == []
    scheduler.dispatch(0.41)
    assert len(messages(scheduler)) == 1


def test_sweep_cancels_only_old_holdings_that_nobody_reads():
    scheduler = pair()
    running = [
        RunningRequest("read", 0, Stage.DECODE, True, 10, 9.0),
        RunningRequest("young", 0, Stage.DECODE, False, 10, 1.0),
        RunningRequest("lost", 2, Stage.DECODE, False, 10, 9.0),
    ]
    result = sweep(scheduler.ledger, status("d", EngineRole.DECODE, running), 3.0, 10.0)
    assert [item.request_id for item in result.cancellations] == ["lost"]


def test_grant_that_its_engine_lost_is_freed():
    scheduler = pair()
    scheduler.place(ENTRY, request("a"), 1.0)
    run_to_decode(scheduler, "a", 1.2)
    empty = status("d", EngineRole.DECODE)
    assert sweep(scheduler.ledger, empty, 3.0, 2.0).lost == ()
    assert sweep(scheduler.ledger, empty, 3.0, 3.0).lost == ("a",)


def test_grant_that_its_entry_never_used_is_freed():
    scheduler = pair()
    scheduler.place(ENTRY, request("a", deadline_in=1.0), 1.0)
    empty = status("p", EngineRole.PREFILL)
    for second in (2.0, 3.0, 4.0, 5.0):
        assert sweep(scheduler.ledger, empty, 3.0, second).lost == ()
    assert sweep(scheduler.ledger, empty, 3.0, 6.0).lost == ()
    assert sweep(scheduler.ledger, empty, 3.0, 7.0).lost == ("a",)


def test_missing_reports_of_one_stage_do_not_count_in_the_next():
    scheduler = pair()
    scheduler.place(ENTRY, request("a", deadline_in=1.0), 1.0)
    assert sweep(scheduler.ledger, status("p", EngineRole.PREFILL), 3.0, 6.0).lost == ()
    run_to_decode(scheduler, "a", 6.1)
    empty = status("d", EngineRole.DECODE)
    assert sweep(scheduler.ledger, empty, 3.0, 7.0).lost == ()
    assert sweep(scheduler.ledger, empty, 3.0, 8.0).lost == ("a",)


def test_late_transfer_is_not_freed_by_reports_from_before_it():
    scheduler = pair()
    scheduler.place(ENTRY, request("a", deadline_in=1.0), 1.0)
    prefilled = StageReport("a", 0, Stage.PREFILL, "p", ResultCode.OK, 200, 0, 6.0)
    scheduler.report(prefilled, 7.0)
    before = status("d", EngineRole.DECODE)
    for tenth in range(6):
        assert sweep(scheduler.ledger, before, 3.0, 7.0 + tenth / 10).lost == ()


def test_a_transfer_does_not_delay_another_until_its_kv_expires():
    scheduler = shard_of({"p": EngineRole.PREFILL, "d": EngineRole.DECODE}, slots=8)
    # At the initially assumed speed, the transfer takes 0.7 s on an idle link. The scheduler
    # assumes that a KV cache is kept for 0.75 s, so a second transfer would delay it too long.
    scheduler.place(ENTRY, request("long", prompt=7000), 1.0)
    prefilled = StageReport("long", 0, Stage.PREFILL, "p", ResultCode.OK, 7000, 0, 3.5)
    scheduler.report(prefilled, 4.5)
    scheduler.place(ENTRY, request("late", prompt=1000), 4.5)
    assert [item.request_id for item in messages(scheduler)] == ["long"]
    moved = StageReport("long", 0, Stage.TRANSFER, "d", ResultCode.OK, 7000, 0, 0.7)
    scheduler.report(moved, 5.2)
    assert [item.request_id for item in messages(scheduler)] == ["late"]
    scheduler.release(Release("late", ResultCode.CANCELLED, 0, 0.0), 5.3)
    assert not any(len(load.link) for load in scheduler.ledger.engine_by_name.values())
