"""Tests that the cost of a head grows with its length, and not with what the length holds."""

import pytest

from pimentoquay.bench.head_cost import (
    HEAD_LENGTHS,
    SEGMENT_COUNTS,
    head_memory,
    lookup_seconds,
    measure_head,
)

LONGEST = HEAD_LENGTHS[-1]


def test_a_lookup_takes_no_longer_for_many_segments_than_for_one():
    """15,900 segments took 30,000 times as long; 50 times leave room for a busy machine."""
    least = {
        count: min(lookup_seconds(count) for _ in range(5))
        for count in (SEGMENT_COUNTS[0], SEGMENT_COUNTS[-1])
    }
    assert least[SEGMENT_COUNTS[-1]] <= 50 * least[SEGMENT_COUNTS[0]], least


@pytest.mark.parametrize("headers", [8, 250])
def test_heads_are_measured(headers):
    cost = measure_head(LONGEST, headers)
    assert cost.is_served
    assert cost.length == pytest.approx(LONGEST, abs=10)
    assert 0 < cost.median_us <= cost.longest_us
    assert head_memory(LONGEST, headers) > LONGEST / 2
