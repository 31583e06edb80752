from pimentoquay.bench.mutations import Switch, switch_of
from pimentoquay.bench.mutations.command import check_switch


def test_loss_of_a_mechanism_is_caught():
    assert check_switch(switch_of("hysteresis of roles")).is_caught


def test_a_test_that_does_not_notice_is_reported():
    switch = switch_of("hysteresis of roles")
    test = "pimentoquay/policy/tests/test_roles.py::test_last_engine_of_a_stage_never_changes"
    verdict = check_switch(Switch(switch.name, switch.target, switch.make_replacement, test))
    assert verdict.with_mechanism == verdict.without_mechanism == "passed"
    assert not verdict.is_caught
