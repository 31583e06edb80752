"""An entry whose own control process is gone is kept up to date by another VM's."""

import asyncio

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.test_memory_cluster import KIND
from pimentoquay.messages import encode
from pimentoquay.messages.cluster import MemberState
from pimentoquay.messages.workspaces import ConfigurationRecord, ModelSpec, Workspace

pytestmark = pytest.mark.looptime

VM = "tt-north-vm-1"
ENGINE = "diag-llm-city-hall-d1"
LEAVING_SECONDS = 3.0
IN_FORCE_SECONDS = 6.0


def workspace() -> Workspace:
    models = (ModelSpec("diag-llm", "v1", ""),)
    return Workspace("rates", "t", ("0" * 64,), models, (KIND,), (), 10, 1)


async def test_an_entry_without_its_control_learns_of_leaving_engines_and_changes():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()
    await cluster.kill_control(VM)
    cluster.membership.leave(ENGINE)
    record = ConfigurationRecord("c1", "rates", 0, 0, workspace(), "operator")
    await cluster.log.append("configuration", encode(record))
    await asyncio.sleep(LEAVING_SECONDS)
    entry = cluster.vm_by_name[VM].entry
    assert entry.service.link.directory.member_by_name[ENGINE].state is MemberState.LEAVING
    await asyncio.sleep(IN_FORCE_SECONDS - LEAVING_SECONDS)
    assert entry.http.configuration_offset == 1
    cluster.start_control(VM)
    await asyncio.sleep(4)
    cluster.membership.remove(ENGINE)
    await asyncio.sleep(LEAVING_SECONDS)
    assert ENGINE not in entry.service.link.directory.member_by_name
    await cluster.close()
