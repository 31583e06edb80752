"""Parts of bounded size: nothing is lost, doubled or moved, whatever the sizes of the items."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.policy.message_parts import split_by_size


@given(st.lists(st.integers(0, 50)), st.integers(1, 40))
def test_parts_hold_all_items_in_order_and_none_exceeds_the_bound(sizes, max_bytes):
    items = list(enumerate(sizes))
    parts = split_by_size(items, lambda item: item[1], max_bytes)
    assert [item for part in parts for item in part] == items
    for part in parts:
        assert len(part) == 1 or sum(size for _, size in part) <= max_bytes


@given(st.lists(st.integers(1, 40)), st.integers(40, 80))
def test_two_parts_after_each_other_would_not_fit_into_one(sizes, max_bytes):
    parts = split_by_size(sizes, lambda size: size, max_bytes)
    for first, second in itertools.pairwise(parts):
        assert sum(first) + second[0] > max_bytes


def test_no_items_are_no_parts():
    assert split_by_size((), len, 10) == ()
