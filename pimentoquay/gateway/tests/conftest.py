import pytest

from pimentoquay.policy import mesh_plan


@pytest.fixture
def relays(monkeypatch):
    """Use relays in deployments of more than two VMs, to keep the tests small."""
    monkeypatch.setattr(mesh_plan, "FULL_MESH_VMS", 2)
