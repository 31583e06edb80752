from pimentoquay.bench.mutations import Switch, switch_of
from pimentoquay.bench.mutations.command import check_switch


def test_disabled_mechanism_fails_its_test():
    assert check_switch(switch_of("hysteresis of roles")).is_caught


def test_mechanism_whose_test_still_passes_is_reported():
    switch = switch_of("hysteresis of roles")
    test = "pimentoquay/policy/tests/test_roles.py::test_last_engine_of_a_stage_never_changes"
    verdict = check_switch(Switch(switch.name, switch.target, switch.make_replacement, test))
    assert verdict.with_mechanism == verdict.without_mechanism == "passed"
    assert not verdict.is_caught
