"""Tests that an entry whose control process is dead gets updates from another VM."""

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
MAX_MEMBERSHIP_SECONDS = 3.0
MAX_IN_FORCE_SECONDS = 6.0


def workspace() -> Workspace:
    models = (ModelSpec("diag-llm", "v1", ""),)
    return Workspace("rates", "t", ("0" * 64,), models, (KIND,), (), 10, 1)


async def test_entry_without_control_process_receives_membership_and_configuration():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()
    await cluster.kill_control(VM)
    cluster.membership.leave(ENGINE)
    record = ConfigurationRecord("c1", "rates", 0, 0, workspace(), "operator")
    await cluster.log.append("configuration", encode(record))
    await asyncio.sleep(MAX_MEMBERSHIP_SECONDS)
    entry = cluster.vm_by_name[VM].entry
    assert entry.service.link.directory.member_by_name[ENGINE].state is MemberState.LEAVING
    await asyncio.sleep(MAX_IN_FORCE_SECONDS - MAX_MEMBERSHIP_SECONDS)
    assert entry.http.configuration_offset == 1
    cluster.start_control(VM)
    await asyncio.sleep(4)
    cluster.membership.remove(ENGINE)
    await asyncio.sleep(MAX_MEMBERSHIP_SECONDS)
    assert ENGINE not in entry.service.link.directory.member_by_name
    await cluster.close()
