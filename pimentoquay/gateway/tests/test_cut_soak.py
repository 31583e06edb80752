import pytest

from pimentoquay.gateway.tests.cut_soak import soak


@pytest.mark.looptime(start=1000)
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_nothing_runs_twice_or_looks_whole_while_links_are_cut_and_gateways_end(seed):
    faults, share, count = await soak(seed, seconds=5.0)
    assert faults == []
    assert count > 50
    assert share > 0.5
