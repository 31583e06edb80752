import pytest

from pimentoquay.policy.poll_timing import poll_timing


@pytest.mark.parametrize("drain, config", [(2.0, 2.0), (3.0, 3.0), (1.0, 5.0), (6.0, 0.5)])
def test_a_lost_reader_is_replaced_within_the_shorter_bound(drain, config):
    """Guards against fixed intervals that keep a bound of 2 s but not a shorter configured one."""
    timing = poll_timing(drain, config, "vm-1")
    assert 2 * timing.period < min(drain, config)
    assert timing.period < timing.stale_age < min(drain, config)


def test_vms_do_not_all_read_at_once_when_the_reader_is_lost():
    ages = sorted(poll_timing(3.0, 3.0, f"vm-{number}").stale_age for number in range(82))
    assert ages[0] >= 1.875 and ages[-1] <= 2.175
    assert sum(age < ages[0] + 0.05 for age in ages) < 30
