from pimentoquay.policy.engine_preference import Placer
from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.memory_forecast import GrowingRun
from pimentoquay.policy.run_ledger import RunLedger


def engine(name, data_centre="hall"):
    return EngineEntry(name, "llm", "10.0.0.1:1", data_centre, False, 64, EngineStage.DECODE)


ENGINES = (engine("d1"), engine("d2"))
PLACER = Placer("vm-1", "hall")


def still(tokens):
    return GrowingRun(tokens, 0)


def names(ledger, run, now=0.0):
    return [each.id for each in ledger.candidates(ENGINES, 100, run, now, PLACER)]


def test_the_emptiest_engine_comes_first_counting_the_runs_of_peers():
    ledger = RunLedger()
    ledger.take("d1", still(40), 0.0)
    ledger.set_peer("vm-2", {"d2": (still(30), still(40))}, 0.0)
    assert names(ledger, still(30)) == ["d1", "d2"]
    assert names(ledger, still(31)) == ["d1"]
    assert names(ledger, still(61)) == []
    ledger.lose_peer("vm-2")
    assert names(ledger, still(61)) == ["d2"]


def test_room_is_judged_by_the_peak_to_come_and_not_by_what_is_held_now():
    ledger = RunLedger()
    ledger.take("d1", GrowingRun(50, 30), 0.0)
    assert names(ledger, GrowingRun(10, 20)) == ["d2", "d1"]
    assert names(ledger, GrowingRun(10, 30)) == ["d2"]


def test_a_burst_over_many_vms_is_spread_by_what_they_tell_each_other():
    """Seven gateways that each see a seventh of a burst fill both engines evenly."""
    ledgers = {f"vm-{number}": RunLedger() for number in range(7)}
    for turn in range(14):
        vm = f"vm-{turn % 7}"
        chosen = names(ledgers[vm], still(10))[0]
        ledgers[vm].take(chosen, still(10), 0.0)
        for other, ledger in ledgers.items():
            if other != vm:
                ledger.set_peer(vm, ledgers[vm].own(0.0), 0.0)
    assert ledgers["vm-0"].held("d1", 0.0) == ledgers["vm-0"].held("d2", 0.0) == 70


def test_runs_grow_between_two_accounts_of_them():
    ledger = RunLedger()
    ledger.note_pace(1300, 1.0)
    ledger.set_peer("vm-2", {"d1": (GrowingRun(10, 5000),)}, 1.0)
    assert ledger.held("d1", 2.0) == 1310
    key = ledger.take("d2", GrowingRun(5, 100), 1.0)
    ledger.progress(key, GrowingRun(50, 55), 2.0)
    assert ledger.own(2.0) == {"d2": (GrowingRun(50, 55),)}


def test_a_refusal_is_believed_until_a_run_ends_there_or_time_is_over():
    ledger = RunLedger()
    ledger.set_peer("vm-2", {"d1": (still(5),)}, 0.0)
    ledger.note_refused("d1", 20, until=1.0)
    assert names(ledger, still(20)) == ["d2"]
    assert names(ledger, still(19)) == ["d2", "d1"]
    assert "d1" in names(ledger, still(20), now=1.0)
    ledger.set_peer("vm-2", {}, 0.0)
    assert "d1" in names(ledger, still(20))


def test_a_run_that_ended_gives_its_memory_back():
    ledger = RunLedger()
    key = ledger.take("d1", still(40), 0.0)
    ledger.note_refused("d1", 1, until=9.0)
    ledger.release(key)
    assert ledger.own(0.0) == {}
    assert names(ledger, still(100)) == ["d1", "d2"]


def test_runs_of_a_peer_that_is_cut_off_count_until_they_should_have_ended():
    """In a zone cut the engines go on with requests of gateways that are not heard any more."""
    ledger = RunLedger()
    ledger.set_peer("vm-2", {"d1": (GrowingRun(50, 2600),)}, 0.0)
    ledger.lose_peer("vm-2")
    assert ledger.held("d1", 1.0) == 1350
    assert ledger.held("d1", 2.5) == 0
    ledger.set_peer("vm-2", {"d1": (GrowingRun(7, 0),)}, 1.0)
    assert ledger.held("d1", 1.0) == 7


def test_a_near_engine_is_preferred_unless_one_elsewhere_is_much_emptier():
    """pos-printfleet, scale-1: two thirds of the streams ran in other data centres than their
    gateways, and the cut of one data centre broke 14 of them."""
    ledger = RunLedger()
    engines = (engine("a-far", "port"), engine("b-near", "hall"))

    def first():
        return ledger.candidates(engines, 100, still(10), 0.0, PLACER)[0].id

    ledger.take("b-near", still(14), 0.0)
    assert first() == "b-near"
    ledger.take("b-near", still(2), 0.0)
    assert first() == "a-far"
