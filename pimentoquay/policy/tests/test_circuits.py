import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.policy.circuits import CircuitLimits, Circuits, CircuitState

LIMITS = CircuitLimits(first_wait=0.25, longest_wait=1.0, error_grace=1)


def test_one_probe_goes_when_the_wait_is_over():
    circuits = Circuits(LIMITS)
    circuits.refused("e", 0.0)
    assert circuits.state("e", 0.2) is CircuitState.WAITING
    assert circuits.state("e", 0.25) is CircuitState.PROBE_DUE
    circuits.begin_probe("e", "first", 0.25)
    assert circuits.state("e", 0.3) is CircuitState.PROBING
    with pytest.raises(ValueError, match="probing"):
        circuits.begin_probe("e", "second", 0.3)


def test_probe_without_outcome_is_followed_by_another_one():
    circuits = Circuits(LIMITS)
    circuits.refused("e", 0.0)
    circuits.begin_probe("e", "first", 1.0)
    circuits.end_probe("e", "other")
    assert circuits.state("e", 1.0) is CircuitState.PROBING
    circuits.end_probe("e", "first")
    assert circuits.state("e", 1.0) is CircuitState.PROBE_DUE


steps = st.lists(
    st.tuples(st.sampled_from(("refused", "failed", "succeeded", "probe")), st.floats(0, 2)),
    max_size=40,
)


@given(steps)
def test_at_most_one_probe_is_in_flight(history):
    circuits = Circuits(LIMITS)
    now, probing = 0.0, False
    for step, delay in history:
        now += delay
        if step == "probe":
            if circuits.state("e", now) is CircuitState.PROBE_DUE:
                assert not probing
                circuits.begin_probe("e", "probe", now)
                probing = True
        else:
            call = getattr(circuits, step)
            call("e") if step == "succeeded" else call("e", now)
            probing = False
