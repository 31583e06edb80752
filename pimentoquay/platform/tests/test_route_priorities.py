import json

import pytest

from pimentoquay.gateway.tests.rig import configuration, route
from pimentoquay.kernel.input_checks import refused_by_kind
from pimentoquay.platform import decode_configuration


@pytest.mark.parametrize("priority", ["1", 1.5, -1, True, [0], 2**63, 2**70])
def test_an_invalid_priority_is_passed_over_with_a_counter(priority):
    """The whole version was refused for it, so none of its other changes took effect."""
    document = json.loads(configuration(7, (route("look", "idempotent", "desk"),)))
    document["routes"][0]["priority"] = priority
    before = refused_by_kind["priority of a route"]
    decoded = decode_configuration(json.dumps(document).encode())
    assert decoded.version == 7 and decoded.routes[0].rank == 0
    assert refused_by_kind["priority of a route"] == before + 1
