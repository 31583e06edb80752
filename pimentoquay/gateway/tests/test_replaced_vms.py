"""Machines that are replaced: their records leave the store, and only VMs that run count."""

import asyncio
from dataclasses import replace

import pytest

from pimentoquay.gateway import dispatcher
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_invalid_records import vm_record
from pimentoquay.messages.fleet import VmAddress, VmNews
from pimentoquay.platform.store import VM_TOPIC
from pimentoquay.policy.vm_liveness import MINORITY_SECONDS, REMOVED_SECONDS
from pimentoquay.policy.workspaces import Allowance, Workspace

KEYED = Workspace("huka270", None, Allowance(1e6, 1e6, True, 200.0))


@pytest.fixture
def keyed(monkeypatch):
    """Let all requests have the key of a workspace with an allowance."""

    def make(*arguments, **options):
        return replace(Job(*arguments, **options), workspace=KEYED)

    monkeypatch.setattr(dispatcher, "Job", make)


async def start_gateways(env, count=3):
    for number in range(2, count + 1):
        await env.add_gateway(f"vm-{number}")
    meshes = [gateway.mesh for gateway in env.gateway_by_vm.values()]
    await until(lambda: all(each.gateway_count == count for each in meshes), "all known")


def recorded(env):
    return set(env.store._newest_by_topic[VM_TOPIC])


def known(env, vm):
    return set(env.gateway_by_vm[vm].mesh.addresses.by_vm)


async def check_served(env):
    statuses = [(await env.send_request("/look/a", vm=vm)).status for vm in env.gateway_by_vm]
    assert set(statuses) == {200}


@pytest.mark.looptime
async def test_calls_with_an_allowance_are_served_after_fifteen_replaced_machines(keyed):
    """Their names counted as voters for good: each call was refused with 429."""
    async with rig() as env:
        await start_gateways(env)
        for number in range(4, 19):
            await env.kill(next(iter(env.gateway_by_vm)))
            await asyncio.sleep(1.0)
            await env.add_gateway(f"vm-{number}")
        await asyncio.sleep(30.0)
        await check_served(env)
        alive = set(env.gateway_by_vm)
        assert recorded(env) == alive
        assert all(known(env, vm) == alive for vm in alive)


@pytest.mark.looptime
async def test_names_that_were_in_the_store_before_the_start_stop_counting(keyed):
    """Records of the build before, which removes none; there are enough of them for relays."""
    async with rig(start_gateway=False) as env:
        for number in range(100, 140):
            record = vm_record(address=f"vm-{number}:1", tunnel_address="")
            await env.store.put(VM_TOPIC, f"vm-{number}", record)
        await env.add_gateway("vm-1")
        await env.add_gateway("vm-2")
        await env.add_gateway("vm-3")
        await asyncio.sleep(2.0 * MINORITY_SECONDS)
        await check_served(env)
        alive = set(env.gateway_by_vm)
        assert recorded(env) == alive
        assert all(known(env, vm) == alive for vm in alive)


@pytest.mark.looptime
async def test_a_gateway_that_is_cut_off_writes_its_record_again_and_still_counts():
    async with rig() as env:
        await start_gateways(env)
        env.network.cut("vm-3", "vm-1")
        env.network.cut("vm-3", "vm-2")
        for _ in range(40):
            await asyncio.sleep(1.0)
            assert all(len(known(env, vm)) == 3 for vm in env.gateway_by_vm)
        assert recorded(env) == {"vm-1", "vm-2", "vm-3"}


@pytest.mark.looptime
async def test_a_gateway_of_an_older_build_counts_again_after_a_cut():
    """It does not write its record again, so those that hear it have to."""
    async with rig() as env:
        await start_gateways(env)
        old = env.gateway_by_vm["vm-3"].vm_registry
        old._observe, old._look = lambda: None, lambda: asyncio.sleep(0)
        old.receive = lambda message, source: None
        for vm in ("vm-1", "vm-2"):
            env.network.cut("vm-3", vm)
        await asyncio.sleep(30.0)
        assert recorded(env) == known(env, "vm-1") == {"vm-1", "vm-2"}
        for vm in ("vm-1", "vm-2"):
            env.network.heal("vm-3", vm)
        await asyncio.sleep(10.0)
        assert recorded(env) == known(env, "vm-1") == known(env, "vm-2") == {"vm-1", "vm-2", "vm-3"}


@pytest.mark.looptime
async def test_a_record_of_a_running_vm_that_was_removed_is_written_again(relays):
    """Also that of an older build, which does not do so itself."""
    async with rig() as env:
        vms, leaf = await env.add_gateways_behind_relays()
        old = env.gateway_by_vm[leaf].vm_registry
        old._apply = lambda listing: None
        old.receive = lambda message, source: None
        for vm in vms:
            await env.store.put(VM_TOPIC, vm, b"")
        position = max(
            each.position for each in env.gateway_by_vm[vms[0]].mesh.addresses.by_vm.values()
        )
        news = VmNews((), tuple(VmAddress(vm, "", "", position + len(vms)) for vm in vms))
        for vm in vms:
            env.gateway_by_vm[vms[0]].mesh.relays.send_to(vm, news)
        await asyncio.sleep(REMOVED_SECONDS + 5.0)
        assert recorded(env) == set(vms)
        assert {vm: known(env, vm) for vm in vms if vm != leaf} == {
            vm: set(vms) for vm in vms if vm != leaf
        }


@pytest.mark.looptime
async def test_nothing_is_written_or_read_while_all_vms_are_heard():
    async with rig() as env:
        await start_gateways(env)
        reads: list[str] = []
        for vm, gateway in env.gateway_by_vm.items():
            gateway.feed.read_vm_addresses = lambda vm=vm: reads.append(vm)
            gateway.feed.write_vm = lambda each: reads.append(each.vm)
        await asyncio.sleep(30.0)
        assert not reads
