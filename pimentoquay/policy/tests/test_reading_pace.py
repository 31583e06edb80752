import pytest

from pimentoquay.policy.reading_pace import reading_pace


@pytest.mark.parametrize("drain, config", [(2.0, 2.0), (3.0, 3.0), (1.0, 5.0), (6.0, 0.5)])
def test_a_lost_reader_is_replaced_within_the_shorter_bound(drain, config):
    """The periods were fixed for a bound of 2 s, whatever the deployment's settings said."""
    pace = reading_pace(drain, config)
    assert 2 * pace.period < min(drain, config)
    assert pace.period < pace.stale_age < min(drain, config)
