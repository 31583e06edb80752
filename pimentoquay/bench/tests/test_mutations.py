from pathlib import Path

import pimentoquay
from pimentoquay.bench.mutations import Switch, switch_of
from pimentoquay.bench.mutations.command import check_switch
from pimentoquay.bench.mutations.switches import SWITCHES

REPOSITORY = Path(pimentoquay.__file__).parents[1]


def test_each_mechanism_names_a_test_that_exists():
    """A renamed test left its mechanism unchecked, reported as not run."""
    named = {switch.name: switch.test.partition("[")[0].split("::") for switch in SWITCHES}
    missing = [
        name
        for name, (path, *_, test) in named.items()
        if f"def {test}(" not in (REPOSITORY / path).read_text(encoding="utf-8")
    ]
    assert missing == []


def test_each_mechanism_can_be_found():
    """A function that had moved left its mechanism unchecked, reported as not run."""
    for switch in SWITCHES:
        owner, name = switch.find()
        assert hasattr(owner, name), switch.name


def test_disabled_mechanism_fails_its_test():
    assert check_switch(switch_of("hysteresis of roles")).is_caught


def test_mechanism_whose_test_still_passes_is_reported():
    switch = switch_of("hysteresis of roles")
    test = "pimentoquay/policy/tests/test_roles.py::test_last_engine_of_a_stage_never_changes"
    verdict = check_switch(Switch(switch.name, switch.target, switch.make_replacement, test))
    assert verdict.with_mechanism == verdict.without_mechanism == "passed"
    assert not verdict.is_caught
