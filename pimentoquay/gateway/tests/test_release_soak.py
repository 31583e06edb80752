import pytest

from pimentoquay.gateway.tests.release_soak import soak


@pytest.mark.looptime(start=1000)
@pytest.mark.parametrize("seed", [1, 3, 5])
async def test_streams_go_on_at_their_version_during_releases_while_gateways_end(seed):
    done = await soak(seed, seconds=8.0)
    assert done.faults == []
    assert len(done.streams) > 100
    went_on = done.served[True] / max(1, done.asked[True])
    begun = done.served[False] / done.asked[False]
    assert went_on >= 0.5 * begun or done.asked[True] < 12
