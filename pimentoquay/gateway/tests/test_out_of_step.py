"""Streams that callers take up at a gateway that is out of step with the others in a release."""

import asyncio
import time
from dataclasses import replace

from pimentoquay.gateway import step_watch
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_software_versions import (
    NEW,
    Streams,
    is_listed,
    resume,
    runs_at,
)
from pimentoquay.platform.store import StoreError
from pimentoquay.policy import version_doubt
from pimentoquay.standin.platform_engine import PlatformEngine

OLD = ("dec-1", "dec-2")
OTHERS = ("vm-1", "vm-2")
LATE = "vm-3"
LONG_AGE = 60.0


def let_lists_grow_old(env, *vms):
    """Let gateways not poll the store by themselves, as between two of their polls."""
    for vm in vms:
        feed = env.gateway_by_vm[vm].feed
        feed._polling_schedule = replace(feed._polling_schedule, stale_age=LONG_AGE)
        feed._is_reader = lambda: False


async def three_gateways(env):
    for vm in (OTHERS[1], LATE):
        await env.add_gateway(vm)
    gateways = env.gateway_by_vm.values()
    await until(lambda: all(each.origins._is_loaded for each in gateways), "loaded")
    await until(lambda: all(each.mesh.gateway_count == 3 for each in gateways), "peers")
    # The reader has told what the store holds, and every gateway has heard every other.
    await asyncio.sleep(1.0)


def cut_off(env, vm=LATE):
    for other in env.gateway_by_vm:
        if other != vm:
            env.network.cut(vm, other)


def cut_off_from_store(env, vm):
    """Let the store answer no more calls of a gateway."""

    async def hang(*arguments, **options):
        await asyncio.sleep(1.5)
        raise StoreError("no response", True)

    env.gateway_by_vm[vm].store._call = hang


def stand_still(monkeypatch, seconds):
    """Let boot time run on alone, as while a VM is suspended."""
    gettime = time.clock_gettime

    def boot_time(clock):
        return gettime(clock) + (seconds if clock == time.CLOCK_BOOTTIME else 0.0)

    monkeypatch.setattr(time, "clock_gettime", boot_time)


async def release_elsewhere(env, late=(LATE,), begun_at="vm-1", leaving=()):
    """Let engines of a second version join, and streams begin at them through another gateway.

    Returns the ids of the requests that began at the second version and have broken.
    """
    for engine_id in NEW:
        await env.add_engine(PlatformEngine(engine_id, "llm", stage="decode", software="v2"))
    await env.add_engine(PlatformEngine("pre-2", "llm", stage="prefill", software="v2"))
    others = [each for vm, each in env.gateway_by_vm.items() if vm not in late]
    await until(
        lambda: all(
            {*NEW} <= {engine.id for engine in each.fleet.engines()}
            and each.origins.recorded.may_begin("llm", "v2", {"v1", "v2"})
            for each in others
        ),
        "listed by the others, and recorded",
    )
    streams = Streams(env)
    await streams.begin(9, begun_at)
    begun = {each.headers["pimentoquay-request-id"] for each in runs_at(env, *NEW)}
    assert len(begun) > 2
    if leaving:
        for engine_id in leaving:
            await env.store.put("keyed.servers", engine_id, b"")
        listed = env.gateway_by_vm[begun_at]
        await until(lambda: not is_in_list(listed, leaving), "gone")
    await streams.leave()
    return sorted(begun)


def is_in_list(gateway, ids):
    return bool({*ids} & {each.id for each in gateway.fleet.engines()})


async def taken_up(env, ids, vm=LATE):
    """Take streams up at a gateway; return the responses, none of which mixes versions."""
    before = len(runs_at(env, *OLD))
    responses = [await resume(env, each, vm=vm) for each in ids]
    assert len(runs_at(env, *OLD)) == before, "went on at another version"
    return responses


async def check_all_go_on(env, ids, vm=LATE):
    responses = await taken_up(env, ids, vm)
    assert [each.status for each in responses] == [200] * len(ids)


async def taken_up_until_they_go_on(env, ids):
    """Take streams up, once more if their origin is not stored yet; all go on at their version."""
    responses = await taken_up(env, ids)
    refused = [each for each in responses if each.status == 503]
    if refused:
        await asyncio.sleep(max(float(each.headers["retry-after"]) for each in refused))
    again = [each for each, answer in zip(ids, responses, strict=True) if answer in refused]
    responses = [each for each in responses if each not in refused] + await taken_up(env, again)
    assert [each.status for each in responses] == [200] * len(ids)


async def test_streams_do_not_change_their_version_at_a_gateway_that_is_cut_off_from_the_others():
    """Operators saw streams go on at another version at a machine that was cut off (issue 39)."""
    async with rig() as env:
        await three_gateways(env)
        let_lists_grow_old(env, LATE)
        cut_off(env)
        ids = await release_elsewhere(env)
        await asyncio.sleep(0.4)
        await check_all_go_on(env, ids)


async def test_streams_do_not_change_their_version_at_a_gateway_that_reaches_nobody():
    async with rig() as env:
        await three_gateways(env)
        cut_off_from_store(env, LATE)
        cut_off(env)
        ids = await release_elsewhere(env)
        started_at = time.monotonic()
        for response in await taken_up(env, ids[:3]):
            assert response.status == 503 and float(response.headers["retry-after"]) > 0
        assert time.monotonic() - started_at < 3 * 0.8


async def test_streams_do_not_change_their_version_at_a_gateway_that_has_stood_still(monkeypatch):
    # The clock of the event loop stands still with a VM, so its peers seem to be heard.
    monkeypatch.setattr(step_watch, "HEARTBEAT_SLACK", 20.0)
    async with rig() as env:
        await three_gateways(env)
        let_lists_grow_old(env, LATE)
        env.network.pause(LATE)
        ids = await release_elsewhere(env)
        stand_still(monkeypatch, 5.0)
        await taken_up_until_they_go_on(env, ids)


async def test_streams_do_not_change_their_version_when_engines_have_come_and_gone_unseen():
    async with rig() as env:
        await three_gateways(env)
        let_lists_grow_old(env, LATE)
        cut_off(env)
        ids = await release_elsewhere(env, leaving=(*NEW, "pre-2"))
        for response in await taken_up(env, ids):
            assert response.status == 503


async def test_streams_do_not_change_their_version_at_a_gateway_whose_channels_fall_silent():
    async with rig() as env:
        await three_gateways(env)
        env.network.pause(LATE)
        ids = await asyncio.gather(release_elsewhere(env), asyncio.sleep(0.7))
        await taken_up_until_they_go_on(env, ids[0])


async def test_streams_do_not_change_their_version_at_a_gateway_that_starts_beside_one_cut_off():
    """It was told that the versions which that one had listed were all."""
    async with rig() as env:
        await three_gateways(env)
        for vm in OTHERS[1:]:
            cut_off_from_store(env, vm)
            env.network.cut(vm, "vm-1")
        env.network.cut(LATE, "vm-1")
        ids = await release_elsewhere(env, (*OTHERS[1:], LATE))
        await env.kill(LATE)
        await env.add_gateway(LATE, store_address="127.0.0.1:1", seeds=("vm-2:1",))
        late = env.gateway_by_vm[LATE]
        await until(lambda: late.origins._is_loaded, "told")
        for response in await taken_up(env, ids[:3]):
            assert response.status == 503


async def test_streams_do_not_change_their_version_at_a_gateway_cut_off_from_its_relays(relays):
    async with rig() as env:
        _, leaf = await env.add_gateways_behind_relays()
        begun_at = next(vm for vm in env.gateway_by_vm if vm != leaf)
        await asyncio.sleep(1.0)
        let_lists_grow_old(env, leaf)
        cut_off(env, leaf)
        ids = await release_elsewhere(env, (leaf,), begun_at=begun_at)
        await asyncio.sleep(0.4)
        await check_all_go_on(env, ids, leaf)


async def test_streams_go_on_at_a_gateway_that_knows_both_versions_and_was_not_told_their_origin():
    """It answered 503 for good, though the store held where they began."""
    async with rig() as env:
        await three_gateways(env)
        cut_off(env)
        ids = await release_elsewhere(env)
        await until(lambda: is_listed(env, NEW[0]), "listed")
        await asyncio.sleep(0.4)
        await check_all_go_on(env, ids)


async def test_a_gateway_that_is_back_in_touch_has_been_told_what_it_missed():
    async with rig() as env:
        await three_gateways(env)
        cut_off_from_store(env, LATE)
        cut_off(env)
        ids = await release_elsewhere(env)
        for vm in OTHERS:
            env.network.heal(LATE, vm)
        late = env.gateway_by_vm[LATE]
        await until(lambda: late.origins.known_streams >= len(ids), "told")
        await check_all_go_on(env, ids)


async def test_resumptions_at_gateways_in_step_cost_no_call_to_the_store(monkeypatch):
    # Late heartbeats of a busy machine are no fault here.
    monkeypatch.setattr(step_watch, "HEARTBEAT_SLACK", 20.0)
    monkeypatch.setattr(version_doubt, "STANDSTILL_SECONDS", 10.0)
    async with rig() as env:
        await three_gateways(env)
        streams = Streams(env)
        await streams.begin(6, "vm-1")
        ids = await streams.leave()
        late = env.gateway_by_vm[LATE]
        calls = late.store.calls
        for each in ids:
            assert (await resume(env, each, vm=LATE)).status == 200
        assert late.store.calls == calls
        assert late.origins.resumed_by_origin == {"only version": 6}
