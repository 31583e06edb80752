"""Configurations with thousands of workspaces are decoded in several passes of the event loop."""

import asyncio
import time

import pytest

from pimentoquay.gateway import configuration_update
from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.tests.rig import until
from pimentoquay.gateway.tests.workspace_rig import (
    KEY,
    NEW_KEY,
    TENANTS,
    document,
    send,
    tenant,
    workspace_rig,
)
from pimentoquay.platform import ConfigurationDecoder
from pimentoquay.platform.configuration import WORKSPACES_AT_ONCE

pytestmark = pytest.mark.looptime(start=1000)

COUNT = 8500


def version_of(fleet):
    return fleet.configuration.version if fleet.configuration is not None else None


def many(key=KEY, count=COUNT):
    others = [tenant(f"w{each}", b"key-%d" % each, b"more-%d" % each) for each in range(count - 1)]
    return (*others, tenant("huka270", key))


@pytest.fixture
def pieces(monkeypatch):
    """Decode the least in each pass, and count the pieces in each."""
    monkeypatch.setattr(configuration_update, "PIECE_SECONDS", 0.0)
    counts = []
    decode_more = ConfigurationDecoder.decode_more

    def count(decoder):
        counts.append(asyncio.get_running_loop().time())
        return decode_more(decoder)

    monkeypatch.setattr(ConfigurationDecoder, "decode_more", count)
    return counts


async def test_8500_workspaces_are_decoded_in_many_passes(pieces):
    """All at once took 0.15 s, and three times that on the smallest machines."""
    fleet = Fleet(time.monotonic)
    assert fleet.apply_configuration(1, document(1, many()))
    passes = 0
    while fleet.configuration is None:
        before = len(pieces)
        await asyncio.sleep(0)
        assert len(pieces) <= before + 1
        passes += 1
    assert passes >= COUNT // WORKSPACES_AT_ONCE
    table = fleet.configuration.workspaces
    assert table is not None and len(table.workspace_by_name) == COUNT


async def test_requests_are_served_by_the_version_before_while_one_is_decoded(pieces):
    async with workspace_rig() as env:
        fleet = env.gateway_by_vm["vm-1"].fleet
        position = fleet._configuration_position + 1
        assert fleet.apply_configuration(position, document(2, many(NEW_KEY)))
        assert version_of(fleet) == 1
        assert (await send(env)).status == 200
        await until(lambda: version_of(fleet) == 2, "in force")
        assert (await send(env)).status == 401
        assert (await send(env, key=NEW_KEY)).status == 200


async def test_a_newer_version_replaces_one_that_is_being_decoded(pieces):
    """The older one must not be put in force after it, whichever has more workspaces."""
    fleet = Fleet(time.monotonic)
    assert fleet.apply_configuration(1, document(1, many(NEW_KEY)))
    await asyncio.sleep(0)
    assert fleet.apply_configuration(2, document(2, TENANTS))
    assert version_of(fleet) == 2
    for _ in range(2 * COUNT // WORKSPACES_AT_ONCE):
        await asyncio.sleep(0)
        assert version_of(fleet) == 2


async def test_an_older_version_does_not_replace_one_that_is_being_decoded(pieces):
    fleet = Fleet(time.monotonic)
    assert fleet.apply_configuration(2, document(3, many()))
    assert not fleet.apply_configuration(3, document(3, TENANTS))
    assert not fleet.apply_configuration(4, document(2, TENANTS))
    assert not fleet.apply_configuration(1, document(4, TENANTS))
    await until(lambda: fleet.configuration is not None, "in force")
    assert version_of(fleet) == 3


async def test_8500_workspaces_reach_gateways_over_the_store_and_over_peers():
    """Such a configuration has 1.2 MB, which is one record of the store and one message."""
    async with workspace_rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await env.store.put("keyed.op", "config", document(2, many(NEW_KEY)))
        fleets = [each.fleet for each in env.gateway_by_vm.values()]
        await until(lambda: all(version_of(each) == 2 for each in fleets), "in force")
        await env.add_gateway("vm-3")
        await env.add_gateway("vm-4", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        for vm in env.gateway_by_vm:
            assert (await send(env, vm=vm)).status == 401
            assert (await send(env, key=NEW_KEY, vm=vm)).status == 200
            assert (await send(env, key=b"more-8000", vm=vm)).status == 200
