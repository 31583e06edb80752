import pytest

from pimentoquay.bench.fleet_copy_cost import GATEWAYS_BY_ENGINES, measure_fleet_copy
from pimentoquay.gateway.message_parts import MAX_PART_BYTES


@pytest.mark.parametrize(("engines", "gateways"), GATEWAYS_BY_ENGINES.items())
def test_no_message_grows_with_the_fleet(engines, gateways):
    cost = measure_fleet_copy(engines, gateways)
    assert cost.engines == engines
    assert cost.largest_message <= MAX_PART_BYTES
