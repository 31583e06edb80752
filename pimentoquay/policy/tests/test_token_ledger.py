from pimentoquay.policy.fleet import EngineEntry, EngineStage
from pimentoquay.policy.token_ledger import TokenLedger, in_blocks


def engine(name):
    return EngineEntry(name, "llm", "10.0.0.1:1", "hall", False, 64, EngineStage.DECODE)


ENGINES = (engine("d1"), engine("d2"))


def names(ledger, tokens, now=0.0):
    return [each.id for each in ledger.candidates(ENGINES, 100, tokens, now)]


def test_the_emptiest_engine_comes_first_counting_what_peers_hold():
    ledger = TokenLedger()
    ledger.take("d1", 40)
    ledger.set_peer("vm-2", {"d2": 70})
    assert names(ledger, 30) == ["d1", "d2"]
    assert names(ledger, 31) == ["d1"]
    assert names(ledger, 61) == []
    ledger.drop_peer("vm-2")
    assert names(ledger, 61) == ["d2"]


def test_a_burst_over_many_vms_is_spread_by_what_they_tell_each_other():
    """Seven gateways that each see a seventh of a burst fill both engines evenly."""
    ledgers = {f"vm-{number}": TokenLedger() for number in range(7)}
    for turn in range(14):
        vm = f"vm-{turn % 7}"
        chosen = names(ledgers[vm], 10)[0]
        ledgers[vm].take(chosen, 10)
        for other, ledger in ledgers.items():
            if other != vm:
                ledger.set_peer(vm, ledgers[vm].own())
    assert ledgers["vm-0"].held("d1") == ledgers["vm-0"].held("d2") == 70


def test_a_refusal_is_believed_until_something_is_released_or_time_is_over():
    ledger = TokenLedger()
    ledger.set_peer("vm-2", {"d1": 5})
    ledger.note_refused("d1", 20, until=1.0)
    assert names(ledger, 20) == ["d2"]
    assert names(ledger, 19) == ["d2", "d1"]
    assert "d1" in names(ledger, 20, now=1.0)
    ledger.set_peer("vm-2", {})
    assert "d1" in names(ledger, 20)


def test_memory_of_a_request_that_outgrew_its_reservation_is_counted_and_given_back():
    ledger = TokenLedger()
    ledger.take("d1", 40)
    ledger.grow("d1", 30)
    assert ledger.held("d1") == 70
    ledger.release("d1", 70)
    assert ledger.own() == {}


def test_memory_is_counted_in_blocks():
    assert [in_blocks(tokens) for tokens in (1, 16, 17)] == [16, 16, 32]
