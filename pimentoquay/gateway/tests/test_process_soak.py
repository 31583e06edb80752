"""A short soak of gateways in processes of their own; slowness alone is no fault."""

import pytest

from pimentoquay.gateway.tests.process_soak import soak


@pytest.mark.parametrize(
    ("seed", "play"), [(1, "planned"), (2, "engines"), (3, "tunnels"), (4, "rests")]
)
async def test_nothing_is_lost_by_planned_work_in_real_processes(seed, play, tmp_path):
    done = await soak(seed, 8.0, gateways=4, engines=5, callers=30, play=play, keep=tmp_path)
    assert done["faults"] == []
    assert done["counts"]["requests"] > 50
    assert done["counts"]["status 200"] > 0
