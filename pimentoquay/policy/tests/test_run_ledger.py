from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.run_ledger import RunLedger


def engine(name, data_centre="hall"):
    return EngineEntry(name, "llm", "10.0.0.1:1", data_centre, False, 64, EngineStage.DECODE)


ENGINES = (engine("d1"), engine("d2"))
PLACER = Placer("vm-1", "hall")


def run_of_fixed_size(tokens):
    return GrowingRun(tokens, 0)


def candidate_ids(ledger, run, now=0.0):
    return [each.id for each in ledger.candidates(ENGINES, 100, run, now, PLACER)]


def test_engine_with_the_most_free_memory_comes_first_including_runs_of_peers():
    ledger = RunLedger()
    ledger.take("d1", run_of_fixed_size(40), 0.0)
    ledger.set_peer("vm-2", {"d2": (run_of_fixed_size(30), run_of_fixed_size(40))}, 0.0)
    assert candidate_ids(ledger, run_of_fixed_size(30)) == ["d1", "d2"]
    assert candidate_ids(ledger, run_of_fixed_size(31)) == ["d1"]
    assert candidate_ids(ledger, run_of_fixed_size(61)) == []
    ledger.mark_peer_lost("vm-2")
    assert candidate_ids(ledger, run_of_fixed_size(61)) == ["d2"]


def test_free_memory_is_judged_by_the_expected_peak():
    ledger = RunLedger()
    ledger.take("d1", GrowingRun(50, 30), 0.0)
    assert candidate_ids(ledger, GrowingRun(10, 20)) == ["d2", "d1"]
    assert candidate_ids(ledger, GrowingRun(10, 30)) == ["d2"]


def test_burst_over_many_vms_is_spread_evenly():
    """Seven gateways that each receive a seventh of a burst fill both engines evenly."""
    ledgers = {f"vm-{number}": RunLedger() for number in range(7)}
    for turn in range(14):
        vm = f"vm-{turn % 7}"
        chosen = candidate_ids(ledgers[vm], run_of_fixed_size(10))[0]
        ledgers[vm].take(chosen, run_of_fixed_size(10), 0.0)
        for other, ledger in ledgers.items():
            if other != vm:
                ledger.set_peer(vm, ledgers[vm].own(0.0), 0.0)
    assert ledgers["vm-0"].held("d1", 0.0) == ledgers["vm-0"].held("d2", 0.0) == 70


def test_runs_grow_between_two_reports():
    ledger = RunLedger()
    ledger.record_generation_rate(1300, 1.0)
    ledger.set_peer("vm-2", {"d1": (GrowingRun(10, 5000),)}, 1.0)
    assert ledger.held("d1", 2.0) == 1310
    key = ledger.take("d2", GrowingRun(5, 100), 1.0)
    ledger.progress(key, GrowingRun(50, 55), 2.0)
    assert ledger.own(2.0) == {"d2": (GrowingRun(50, 55),)}


def test_refusal_counts_until_a_run_ends_there_or_it_expires():
    ledger = RunLedger()
    ledger.set_peer("vm-2", {"d1": (run_of_fixed_size(5),)}, 0.0)
    ledger.record_refusal("d1", 20, until=1.0)
    assert candidate_ids(ledger, run_of_fixed_size(20)) == ["d2"]
    assert candidate_ids(ledger, run_of_fixed_size(19)) == ["d2", "d1"]
    assert "d1" in candidate_ids(ledger, run_of_fixed_size(20), now=1.0)
    ledger.set_peer("vm-2", {}, 0.0)
    assert "d1" in candidate_ids(ledger, run_of_fixed_size(20))


def test_ended_run_releases_its_memory():
    ledger = RunLedger()
    key = ledger.take("d1", run_of_fixed_size(40), 0.0)
    ledger.record_refusal("d1", 1, until=9.0)
    ledger.release(key)
    assert ledger.own(0.0) == {}
    assert candidate_ids(ledger, run_of_fixed_size(100)) == ["d1", "d2"]


def test_runs_of_a_lost_peer_count_until_their_expected_end():
    """Guards against overfilling engines when a data centre is cut off.

    The engines continue with the requests of gateways that are no longer reachable.
    """
    ledger = RunLedger()
    ledger.set_peer("vm-2", {"d1": (GrowingRun(50, 2600),)}, 0.0)
    ledger.mark_peer_lost("vm-2")
    assert ledger.held("d1", 1.0) == 1350
    assert ledger.held("d1", 2.5) == 0
    ledger.set_peer("vm-2", {"d1": (GrowingRun(7, 0),)}, 1.0)
    assert ledger.held("d1", 1.0) == 7


def test_local_engine_is_preferred_unless_a_remote_one_has_much_more_free_memory():
    """Guards against streams in other data centres than their gateways.

    Two thirds of the streams were in another data centre, and when one data centre was cut off, 14
    of them broke.
    """
    ledger = RunLedger()
    engines = (engine("a-far", "port"), engine("b-near", "hall"))

    def first():
        return ledger.candidates(engines, 100, run_of_fixed_size(10), 0.0, PLACER)[0].id

    ledger.take("b-near", run_of_fixed_size(14), 0.0)
    assert first() == "b-near"
    ledger.take("b-near", run_of_fixed_size(2), 0.0)
    assert first() == "a-far"
