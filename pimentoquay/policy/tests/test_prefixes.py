from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.policy.prefixes import BLOCK_BYTES, prefix_hashes


@given(st.text(max_size=2000), st.text(max_size=600))
def test_hashes_of_a_prefix_are_a_prefix_of_the_hashes(start, rest):
    assert prefix_hashes(start + rest)[: len(prefix_hashes(start))] == prefix_hashes(start)


def test_a_change_in_one_block_changes_every_later_hash():
    first = prefix_hashes("a" * 4 * BLOCK_BYTES)
    second = prefix_hashes("a" * BLOCK_BYTES + "b" + "a" * (3 * BLOCK_BYTES - 1))
    assert first[0] == second[0]
    assert not set(first[1:]) & set(second[1:])


def test_hashes_are_capped():
    assert len(prefix_hashes("é" * 10_000, max_blocks=7)) == 7
