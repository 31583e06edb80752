"""Streams that callers take up after all gateways were killed at once."""

import asyncio

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_software_versions import (
    NEW,
    Streams,
    add_version,
    begin_release,
    resume,
    runs_at,
    streams_before_release,
)
from pimentoquay.platform.store import STREAM_TOPIC, VERSION_TOPIC, StoreClient, StoreError
from pimentoquay.standin.platform_engine import PlatformEngine

OLD = ("dec-1", "dec-2")


async def kill_all(env, vms):
    """Kill all gateways, and start them again."""
    for vm in vms:
        await env.kill(vm)
    for vm in vms:
        await env.add_gateway(vm, wait=False)
    gateways = [env.gateway_by_vm[vm] for vm in vms]
    await until(lambda: all(each.dispatcher.is_ready for each in gateways), "ready again")


async def remove(env, *ids):
    """Let engines leave the list, while they go on serving."""
    for engine_id in ids:
        await env.store.put("keyed.servers", engine_id, b"")


async def let_store(env):
    """Give the gateways time to store what they know."""
    await asyncio.sleep(0.6)


async def test_streams_of_a_version_that_left_do_not_go_on_at_another_after_all_were_killed():
    """On the day rejoined, 5 streams went on at the only version that new gateways knew."""
    async with rig() as env:
        vms = ("vm-1", "vm-2")
        await env.add_gateway("vm-2")
        streams = await streams_before_release(env, 4)
        await let_store(env)
        await remove(env, "dec-1", "dec-2", "pre-1")
        ids = await streams.leave()
        await kill_all(env, vms)
        before = len(runs_at(env, *NEW))
        for request_id in ids:
            assert (await resume(env, request_id)).status == 503
        assert len(runs_at(env, *NEW)) == before


async def test_streams_of_both_versions_go_on_at_theirs_after_all_were_killed():
    async with rig() as env:
        vms = ("vm-1", "vm-2", "vm-3")
        for vm in vms[1:]:
            await env.add_gateway(vm)
        streams = await streams_before_release(env, 4)
        later = Streams(env)
        await later.begin(8, "vm-2")
        await let_store(env)
        engines_by_request = {
            each.headers["pimentoquay-request-id"]: engines
            for engines in (OLD, NEW)
            for each in runs_at(env, *engines)
        }
        assert {*engines_by_request.values()} == {OLD, NEW}
        ids = (*await streams.leave(), *await later.leave())
        await kill_all(env, vms)
        for request_id in ids:
            engines = engines_by_request[request_id]
            before = len(runs_at(env, *engines))
            response = await resume(env, request_id, vm="vm-3")
            assert (response.status, response.is_whole) == (200, True)
            assert len(runs_at(env, *engines)) == before + 1


async def test_new_streams_begin_as_soon_as_all_gateways_are_back():
    async with rig() as env:
        await begin_release(env)
        await kill_all(env, ("vm-1",))
        assert (await env.stream()).status == 200


async def test_a_stream_that_nobody_knows_does_not_go_on_at_the_only_version_that_is_left():
    """It may have begun at the version that left, in the moments that were not stored."""
    async with rig() as env:
        await begin_release(env)
        await let_store(env)
        await remove(env, *OLD, "pre-1")
        await kill_all(env, ("vm-1",))
        assert (await resume(env, "never-seen")).status == 503
        assert (await env.stream()).status == 200


def refuse_to_record(monkeypatch, version):
    """Let the store refuse to record a version."""
    put = StoreClient.put

    async def refuse(client, topic, key, value):
        if topic == VERSION_TOPIC and version in value:
            raise StoreError("busy")
        await put(client, topic, key, value)

    monkeypatch.setattr(StoreClient, "put", refuse)


async def test_a_version_that_cannot_be_recorded_is_used_only_if_no_other_takes_work(monkeypatch):
    refuse_to_record(monkeypatch, b"v2")
    async with rig() as env:
        await let_store(env)
        await begin_release(env)
        for number in range(8):
            assert (await env.stream(f"/digest/{number}")).status == 200
        assert not runs_at(env, *NEW)
        await remove(env, *OLD)
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: not {*OLD} & {each.id for each in fleet.engines()}, "gone")
        assert (await env.stream("/digest/a")).status == 200
        assert runs_at(env, *NEW)


async def resumed_after_all_were_killed(env, streams, vms):
    """Kill all gateways, and return the states of the streams that are taken up."""
    ids = await streams.leave()
    await kill_all(env, vms)
    return [(await resume(env, request_id)).status for request_id in ids]


async def test_another_gateway_stores_origins_when_the_writer_is_killed():
    async with rig() as env:
        for vm in ("vm-2", "vm-3"):
            await env.add_gateway(vm)
        await begin_release(env)
        await let_store(env)
        await env.kill("vm-1")
        streams = Streams(env)
        await streams.begin(6, "vm-2")
        second = env.gateway_by_vm["vm-2"]
        await until(lambda: second.mesh.is_reader() and not second.origins.batches, "written")
        await env.add_gateway("vm-1")
        assert (
            await resumed_after_all_were_killed(env, streams, ("vm-1", "vm-2", "vm-3")) == [200] * 6
        )


async def test_versions_and_origins_are_stored_again_when_the_store_comes_back_older():
    async with rig() as env:
        env.store.make_copy()
        streams = await streams_before_release(env, 4)
        await let_store(env)
        env.store.restore()
        for engine in env.engine_by_id.values():
            await env.store.put("keyed.servers", engine.id, engine.entry())
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.store.era.value > 1, "restored")
        await until(lambda: ("llm", "v2") in gateway.origins.recorded, "recorded again")
        await let_store(env)
        assert await resumed_after_all_were_killed(env, streams, ("vm-1",)) == [200] * 4
        assert not runs_at(env, *NEW)
        assert (await resume(env, "never-seen")).status == 503


async def let_unrecorded_version_serve_alone(env, monkeypatch):
    """Let engines of a second version take the streams, which the store does not record."""
    refuse_to_record(monkeypatch, b"v2")
    await let_store(env)
    await begin_release(env)
    await remove(env, *OLD)
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: not {*OLD} & {each.id for each in fleet.engines()}, "gone")


async def test_garbled_records_of_versions_and_origins_are_ignored():
    async with rig(start_gateway=False) as env:
        for topic in (VERSION_TOPIC, STREAM_TOPIC):
            for number, value in enumerate((b"\xff", b"[]", b'{"service": 1}', b"\x81\x00", b"{}")):
                await env.store.put(topic, f"key-{number}", value)
        await env.add_gateway()
        assert (await env.stream()).status == 200


async def test_a_stream_goes_on_at_its_version_though_the_store_does_not_hold_it(monkeypatch):
    """In CI one got 429, as the store held the version of other engines by then and not its own."""
    async with rig() as env:
        await let_unrecorded_version_serve_alone(env, monkeypatch)
        streams = Streams(env)
        await streams.begin(2)
        assert len(runs_at(env, *NEW)) == 2
        await add_version(env, env.engine_by_id["dec-1"].software, "dec-3")
        for request_id in await streams.leave():
            assert (await resume(env, request_id)).status == 200
        assert len(runs_at(env, *NEW)) == 4
        assert (await env.stream("/digest/new")).status == 200
        assert len(runs_at(env, "dec-3")) == 1


async def test_streams_go_on_if_all_gateways_are_killed_as_soon_as_a_second_version_is_listed():
    """Nothing had been stored of them, as only one version served until then."""
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(4)
        engine = await env.add_engine(PlatformEngine("new-1", "llm", software="v2", stage="decode"))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: engine.id in {each.id for each in fleet.engines()}, "listed")
        assert await resumed_after_all_were_killed(env, streams, ("vm-1",)) == [200] * 4
        assert not runs_at(env, "new-1")
