import itertools

from hypothesis import example, given
from hypothesis import strategies as st

from pimentoquay.backends.base import EngineRole, EngineStatus
from pimentoquay.policy.roles import RoleBalance, RoleLimits, RoleUse

LIMITS = RoleLimits(0.85, 0.5, 30.0, 120.0, 1000.0)


def status(name, role, running=0, waiting=0):
    return EngineStatus(name, "m", "v", (), role, 20, running, 1, 0, waiting, 0, 0.0, ())


def pool_statuses(prefill_waiting, decode_running, prefill=3, decode=3):
    prefills = [
        status(f"p{n}", EngineRole.PREFILL, waiting=prefill_waiting) for n in range(prefill)
    ]
    decodes = [status(f"d{n}", EngineRole.DECODE, running=decode_running) for n in range(decode)]
    return tuple(prefills + decodes)


def test_lasting_shift_moves_one_engine_after_the_hold_time():
    balance = RoleBalance(LIMITS)
    assert balance.decide(pool_statuses(0, 20), 0.0) is None
    assert balance.decide(pool_statuses(0, 20), 29.0) is None
    changed = balance.decide(pool_statuses(0, 20), 30.0)
    assert changed is not None and changed.role is EngineRole.PREFILL
    assert balance.decide(pool_statuses(0, 20), 31.0) is None


def test_interrupted_shift_restarts_the_hold_time():
    balance = RoleBalance(LIMITS)
    balance.decide(pool_statuses(0, 20), 0.0)
    balance.decide(pool_statuses(0, 12), 20.0)
    assert balance.decide(pool_statuses(0, 20), 31.0) is None


def test_last_engine_of_a_stage_never_changes():
    balance = RoleBalance(LIMITS)
    for second in range(200):
        assert balance.decide(pool_statuses(0, 20, prefill=1), float(second)) is None


@given(st.lists(st.tuples(st.integers(0, 2000), st.integers(0, 20)), max_size=300))
def test_changes_are_never_closer_than_the_dwell_time(loads):
    balance = RoleBalance(LIMITS)
    changes = [
        second
        for second, (waiting, running) in enumerate(loads)
        if balance.decide(pool_statuses(waiting, running), float(second)) is not None
    ]
    assert all(later - earlier >= 120 for earlier, later in itertools.pairwise(changes))


@example(0.9, 0.9, 1, 2)
@given(st.floats(0, 8), st.floats(0, 8), st.integers(1, 5), st.integers(1, 5))
def test_steady_load_never_moves_an_engine_back(prefill_work, decode_work, prefill, decode):
    """Guards against engines that change back and forth although the load is constant.

    The work of a stage is the number of engines that it keeps busy; its utilisation is the work
    divided by the number of its engines.
    """
    balance = RoleBalance(LIMITS)
    directions = set()
    for second in range(0, 4000, 10):
        use = RoleUse(min(1.0, prefill_work / prefill), min(1.0, decode_work / decode))
        changed = balance.decide(pool_statuses(0, 0, prefill, decode), float(second), use)
        if changed is not None:
            step = 1 if changed.role is EngineRole.DECODE else -1
            prefill, decode = prefill + step, decode - step
            directions.add(step)
    assert len(directions) <= 1
    assert prefill >= 1 and decode >= 1


def test_stage_at_half_use_does_not_give_up_one_of_two_engines():
    balance = RoleBalance(LIMITS)
    for second in range(1000):
        loads = pool_statuses(0, 0, prefill=1, decode=2)
        assert balance.decide(loads, float(second), RoleUse(0.9, 0.45)) is None
