from collections.abc import Iterator

import pytest

from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.policy import mesh_plan


@pytest.fixture
def relays(monkeypatch):
    """Use relays in deployments of more than two VMs, to keep the tests small."""
    monkeypatch.setattr(mesh_plan, "FULL_MESH_VMS", 2)


@pytest.fixture(autouse=True)
def all_messages_sent() -> Iterator[None]:
    """Fail a test in which a message was too large to be sent, unless it clears the counter."""
    refused_messages.clear()
    yield
    assert not refused_messages["sent"]
