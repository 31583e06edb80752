import pytest

from pimentoquay.policy.idle_limits import HOLD_FACTOR, IdleLimits

APPLY_SECONDS = 3.0


def limits_of(*changes):
    limits = IdleLimits(APPLY_SECONDS, 15.0)
    for seconds, now in changes:
        limits.record(seconds, now)
    return limits


def test_a_smaller_limit_counts_once_all_callers_know_it():
    limits = limits_of((2.0, 100.0))
    assert limits.held(100.5, 102.9) == HOLD_FACTOR * 15.0
    assert limits.held(100.5, 103.1) == HOLD_FACTOR * 2.0


def test_a_connection_keeps_the_limit_under_which_its_last_answer_ended():
    limits = limits_of((2.0, 100.0))
    assert limits.held(99.0, 110.0) == HOLD_FACTOR * 15.0


def test_a_larger_limit_counts_at_once():
    limits = limits_of((60.0, 100.0))
    assert limits.held(80.0, 100.0) == HOLD_FACTOR * 60.0


def test_a_limit_that_was_in_force_for_a_moment_counts():
    limits = limits_of((60.0, 100.0), (15.0, 100.5))
    assert limits.held(99.0, 130.0) == HOLD_FACTOR * 60.0
    assert limits.held(110.0, 130.0) == HOLD_FACTOR * 15.0


def test_what_is_kept_of_a_long_series_of_changes_is_bounded():
    alternating = ((5.0 + number % 2, float(number)) for number in range(10_000))
    falling = ((100.0 - number / 100.0, 1e5 + number) for number in range(9_000))
    assert len(limits_of(*alternating)) <= 1
    assert len(limits_of(*falling)) <= 204


@pytest.mark.parametrize("late", [0.0, 1.0])
@pytest.mark.parametrize("gap", [0.05, 0.3, 1.0, 4.0])
def test_no_caller_that_goes_by_a_limit_in_force_lately_meets_a_close(gap, late):
    """Replay: configurations in quick succession beside callers that keep their connections.

    A caller knows each configuration between its sending and ``APPLY_SECONDS`` after it, and uses a
    connection again up to four fifths of the limit that it knows, counted from when it has read its
    answer: ``late`` limits after that was delivered.
    """
    seconds_by_step = [15.0, 3.0, 8.0, 2.0, 30.0, 5.0, 15.0, 1.0] * 3
    changes = [(seconds, 50.0 + step * gap) for step, seconds in enumerate(seconds_by_step)]
    limits = limits_of()
    pending = list(changes)
    for tick in range(9000):
        now = 50.0 + tick * 0.01
        while pending and pending[0][1] <= now:
            limits.record(*pending.pop(0))
        known = [(15.0, 0.0), *(change for change in changes if change[1] <= now)]
        lately = [
            seconds
            for (seconds, _), (_, ended_at) in zip(
                known, [*known[1:], (0.0, now + 1.0)], strict=True
            )
            if ended_at >= now - APPLY_SECONDS
        ]
        for seconds in lately:
            idle = 0.8 * seconds + late * seconds
            assert limits.held(now - idle, now) >= idle
