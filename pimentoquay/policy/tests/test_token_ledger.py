from pimentoquay.policy.token_ledger import TokenLedger


def test_tokens_of_all_vms_are_summed_and_released():
    ledger = TokenLedger()
    ledger.take("p1", 40)
    ledger.set_peer("vm-2", {"p1": 30, "p2": 5})
    assert (ledger.held("p1"), ledger.held("p2")) == (70, 5)
    assert ledger.own() == {"p1": 40}
    ledger.remove_peer("vm-2")
    ledger.release("p1", 40)
    assert ledger.held("p1") == 0 and ledger.own() == {}
