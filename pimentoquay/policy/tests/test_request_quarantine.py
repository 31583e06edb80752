"""Evidence of prompts that crash engines, and the quarantines that follow from it."""

import itertools
import random

import pytest

from pimentoquay.policy.crash_evidence import (
    MAX_TRIED_CRASHES,
    MIN_CRASHES,
    Clearance,
    CrashReport,
    begun_feature,
    request_feature,
)
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.request_quarantine import (
    CERTAIN_TRIAL_SECONDS,
    MAX_CRASHES,
    MAX_REPORTS_PER_CRASH,
    MAX_SOUND_FEATURES,
    RECENT_SUCCESS_SECONDS,
    RETENTION_SECONDS,
    TRIAL_SECONDS,
    TRIAL_TURN_SECONDS,
    RequestQuarantine,
)


def crash(number, *parts):
    return CrashReport(EngineStart(f"dec-{number}", 1), frozenset(parts))


def quarantine_of(*reports, clearances=(), now=0.0):
    known = RequestQuarantine()
    known.add(reports, clearances, now)
    return known


def test_what_enough_crashes_have_in_common_is_quarantined():
    known = quarantine_of(*(crash(number, "all", "bad") for number in range(MIN_CRASHES - 1)))
    assert known.quarantine_of(("all", "bad")) is None
    known.add((crash(7, "any", "bad"),), (), 1.0)
    assert known.quarantine_of(("other", "bad")).features == {"bad"}
    assert known.quarantine_of(("all", "any")) is None


def test_several_requests_at_one_engine_are_one_crash():
    reports = [crash(number % 2, f"all-{number}", "bad") for number in range(8)]
    assert quarantine_of(*reports).quarantines == ()


def test_a_part_that_always_comes_with_the_deadly_one_does_not_block_sound_requests():
    known = quarantine_of(*(crash(number, "all", "bad") for number in range(3)))
    assert known.quarantine_of(("all",)) is None
    assert known.quarantine_of(("all", "bad")) is not None


def test_a_sound_request_at_the_same_engines_is_not_blamed():
    reports = [crash(number, "all", "bad") for number in range(4)]
    bystanders = [crash(number, "all", "sound") for number in range(3)]
    known = quarantine_of(*bystanders, *reports)
    assert known.quarantine_of(("all", "sound")) is None
    assert known.quarantine_of(("all", "bad")) is not None


def test_a_bystander_with_the_first_part_only_does_not_make_that_the_cause():
    reports = [crash(number, "all", "bad") for number in range(3)]
    known = quarantine_of(*reports, crash(0, "all"))
    assert known.quarantine_of(("all", "other")) is None


def test_several_deadly_parts_are_quarantined_each():
    reports = [crash(number, "all", f"bad-{number % 3}") for number in range(9)]
    known = RequestQuarantine()
    known.record_success(("all",), 0.0)
    known.add(reports, (), 1.0)
    assert {each.features for each in known.quarantines} == {
        frozenset({f"bad-{number}"}) for number in range(3)
    }


def test_deadly_parts_that_crash_engines_together_stay_in_quarantine():
    """Each new crash of one released the other, whose crashes it seemed to explain."""
    shared = [crash(n, f"bad-{k}") for n in range(2) for k in range(2)]
    known = quarantine_of(*shared, *(crash(10 + k, f"bad-{k}") for k in range(2)))
    for number in range(20, 24):
        assert known.quarantine_of(("bad-0",)) and known.quarantine_of(("bad-1",))
        known.add((crash(number, f"bad-{number % 2}"),), (), 1.0)


def test_an_answer_that_begins_clears_the_crashes_before_it():
    known = quarantine_of(*(crash(number, "all") for number in range(3)))
    assert known.quarantine_of(("all",)) is not None
    cleared = known.record_success(("all",), 1.0)
    assert {each.engine.id for each in cleared} == {"dec-0", "dec-1", "dec-2"}
    assert known.quarantine_of(("all",)) is None
    later = [crash(10 + number, "all") for number in range(3)]
    known.add(later, (), 1.0 + RECENT_SUCCESS_SECONDS + 0.1)
    assert known.quarantine_of(("all",)) is not None


def test_a_part_that_succeeded_lately_is_cleared_of_the_crashes_that_others_report():
    known = RequestQuarantine()
    known.record_success(("all",), 5.0)
    _, clearances = known.add((crash(1, "all", "bad"),), (), 5.0 + RECENT_SUCCESS_SECONDS)
    assert clearances == (Clearance(EngineStart("dec-1", 1), "all"),)
    _, clearances = known.add((crash(2, "all", "bad"),), (), 5.1 + RECENT_SUCCESS_SECONDS)
    assert clearances == ()


def test_evidence_in_any_order_leads_to_the_same_quarantines():
    random_source = random.Random(26)
    reports = [crash(n % 6, "all", f"bad-{n % 2}", f"own-{n}") for n in range(12)]
    clearances = [Clearance(EngineStart(f"dec-{n}", 1), "all") for n in range(4)]
    seen = set()
    for _ in range(30):
        events = [*reports, *clearances]
        random_source.shuffle(events)
        known = RequestQuarantine()
        for event in events:
            if isinstance(event, CrashReport):
                known.add((event,), (), 0.0)
            else:
                known.add((), (event,), 0.0)
        seen.add(known.quarantines)
    assert len(seen) == 1


def test_known_evidence_is_not_new_again():
    known = RequestQuarantine()
    report, clearance = crash(1, "all", "bad"), Clearance(EngineStart("dec-1", 1), "all")
    assert known.add((report,), (clearance,), 0.0) == ((report,), (clearance,))
    assert known.add((report,), (clearance,), 1.0) == ((), ())
    other = RequestQuarantine()
    other.add(known.reports, known.clearances, 2.0)
    assert (other.reports, other.clearances) == (known.reports, known.clearances)


def test_a_doubtful_quarantine_is_tried_soon_by_one_vm_at_a_time():
    """Three deadly parts each crashed an engine, under requests of one sound kind."""
    reports = [crash(n, "all", f"bad-{n}") for n in range(3)]
    known = [quarantine_of(*reports, now=10.0) for _ in range(5)]
    (quarantine,) = known[0].quarantines
    assert quarantine.features == {"all"} and not quarantine.is_certain
    times = [10.0 + 0.1 * step for step in range(100)]
    tried = [
        (now, rank)
        for now in times
        for rank in range(5)
        if known[rank].begin_trial(quarantine, ("all", "own"), rank, 5, now)
    ]
    assert tried[0][0] == pytest.approx(10.0 + TRIAL_SECONDS, abs=0.11)
    assert [rank for _, rank in tried[:6]] == [0, 1, 2, 3, 4, 0]
    gaps = [later - earlier for (earlier, _), (later, _) in itertools.pairwise(tried)]
    assert min(gaps) > TRIAL_TURN_SECONDS - 0.11
    assert not any(
        known[rank].begin_trial(quarantine, ("all", "bad-1"), rank, 5, now)
        for now in times
        for rank in range(5)
    )
    known[0].record_success(("all", "own"), 20.0)
    assert known[0].quarantines == ()


def test_a_certain_quarantine_is_tried_late_and_not_after_many_crashes():
    known = quarantine_of(*(crash(n, "bad") for n in range(3)), now=10.0)
    (quarantine,) = known.quarantines
    assert quarantine.is_certain
    assert not known.begin_trial(quarantine, ("bad",), 0, 1, 10.0 + CERTAIN_TRIAL_SECONDS - 0.1)
    assert known.begin_trial(quarantine, ("bad",), 0, 1, 10.0 + CERTAIN_TRIAL_SECONDS)
    known.add((crash(n, "bad") for n in range(3, MAX_TRIED_CRASHES)), (), 50.0)
    (quarantine,) = known.quarantines
    assert not any(
        known.begin_trial(quarantine, ("bad",), 0, 1, 10.0 * step) for step in range(1000)
    )


def test_requests_with_other_suspected_features_leave_a_quarantine_in_doubt():
    """Either request may have crashed the engine if neither part has been cleared."""
    reports = [crash(n, "all", f"bad-{n}") for n in range(3)]
    known = quarantine_of(*reports, *(crash(n, "all") for n in range(3)))
    assert known.quarantines[0].features == {"all"} and not known.quarantines[0].is_certain


def test_a_bystander_at_every_crash_leaves_a_quarantine_in_doubt():
    reports = [crash(n, "bad") for n in range(4)]
    known = quarantine_of(*reports, *(crash(n, f"own-{n}") for n in range(3)))
    assert not known.quarantines[0].is_certain
    known.add((), (Clearance(EngineStart("dec-1", 1), "own-1"),), 1.0)
    assert known.quarantines[0].is_certain


def test_old_crashes_are_dropped_and_many_are_limited_without_those_of_a_quarantine():
    known = quarantine_of(*(crash(number, "bad") for number in range(3)))
    known.add((crash(n, f"own-{n}") for n in range(10, 10 + 2 * MAX_CRASHES)), (), 5.0)
    assert len(known.reports) == MAX_CRASHES
    assert known.quarantine_of(("bad",)) is not None
    known.expire(RETENTION_SECONDS + 1.0)
    assert known.quarantine_of(("bad",)) is None and known.reports


def test_many_requests_of_one_crash_are_limited():
    reports = [crash(1, f"own-{n}") for n in range(10 * MAX_REPORTS_PER_CRASH)]
    assert len(quarantine_of(*reports).reports) == MAX_REPORTS_PER_CRASH


REQUEST = request_feature("1234")
OTHER = request_feature("5678")


def test_a_request_that_alone_was_at_two_crashes_is_quarantined():
    known = quarantine_of(crash(1, REQUEST), crash(1, OTHER), crash(2, REQUEST))
    assert known.quarantine_of((REQUEST,)).request == REQUEST
    assert known.quarantine_of((OTHER,)) is None


def test_two_crashes_do_not_tell_which_of_two_requests_caused_them():
    known = quarantine_of(*(crash(number, each) for number in (1, 2) for each in (REQUEST, OTHER)))
    assert known.quarantines == ()
    known.record_success((OTHER,), 0.1)
    assert known.quarantine_of((REQUEST,)) is not None


def test_a_part_of_prompts_is_told_from_the_requests_that_have_it():
    reports = [crash(number, "bad", request_feature(f"{number}")) for number in range(3)]
    (found,) = quarantine_of(*reports).quarantines
    assert found.features == {"bad"} and found.is_certain and found.request is None


def test_an_engine_that_is_back_under_its_id_crashes_anew():
    known = RequestQuarantine()
    listed = EngineStart("desk-1", 7)
    for now in (0.0, 0.2, 4.0, 4.2):
        start = known.start_of_crash(listed, now)
        known.add((CrashReport(start, frozenset((REQUEST,))),), (), now)
    assert {each.engine.restarts for each in known.reports} == {0, 1}
    assert known.quarantine_of((REQUEST,)) is not None


def test_a_request_in_quarantine_is_tried_by_one_vm_and_more_and_more_seldom():
    known = quarantine_of(crash(1, REQUEST), crash(2, REQUEST))
    tried_at, now = [], 0.0
    for crashes in (3, 4, 5):
        while not known.begin_trial(known.quarantine_of((REQUEST,)), (REQUEST,), 3, 7, now):
            now += 0.5
        tried_at.append(now)
        assert not known.begin_trial(known.quarantine_of((REQUEST,)), (REQUEST,), 4, 7, now)
        known.add((crash(crashes, REQUEST),), (), now)
    assert tried_at == [30.0, 90.0, 210.0]
    quarantine = known.quarantine_of((REQUEST,))
    assert not known.begin_trial(quarantine, (REQUEST,), 3, 7, now + RETENTION_SECONDS / 2)


def test_peers_do_not_try_a_request_that_is_being_tried():
    known = quarantine_of(crash(1, REQUEST), crash(2, REQUEST))
    assert known.record_trial(REQUEST, 30.0)
    assert not known.begin_trial(known.quarantine_of((REQUEST,)), (REQUEST,), 3, 7, 30.1)


def test_bystanders_of_many_crashes_fill_no_memory():
    known = RequestQuarantine()
    for number in range(MAX_CRASHES * 2):
        reports = [crash(number, request_feature(f"{number}-{k}")) for k in range(200)]
        known.add(reports, (), float(number))
    assert len(known.reports) <= MAX_CRASHES * MAX_REPORTS_PER_CRASH
    assert len(known._crashes_by_feature) <= MAX_CRASHES * MAX_REPORTS_PER_CRASH
    for number in range(1_000_000):
        known.record_success((f"sound-{number}",), 1e4)
    assert len(known._succeeded_at_by_feature) <= MAX_SOUND_FEATURES


def test_a_request_whose_answer_had_begun_is_quarantined_after_three_crashes():
    begun = begun_feature("1234")
    known = quarantine_of(crash(1, begun), crash(2, begun))
    assert known.quarantines == ()
    known.add((crash(3, begun),), (), 1.0)
    assert known.quarantine_of((REQUEST, begun)).request == begun


def test_a_request_that_is_suspected_before_and_after_its_first_event_is_tried():
    begun = begun_feature("1234")
    known = quarantine_of(crash(1, REQUEST), crash(2, REQUEST), crash(3, begun))
    assert known.begin_trial(known.quarantine_of((REQUEST,)), (REQUEST, begun), 0, 7, 30.0)
