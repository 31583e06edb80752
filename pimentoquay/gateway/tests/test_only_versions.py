"""Streams that nobody has told of, taken up after all gateways were killed beside a release."""

import asyncio
import json

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_rejoined_streams import (
    OLD,
    kill_all,
    let_store,
    let_unrecorded_version_serve_alone,
    refuse_to_record,
    remove,
    resumed_after_all_were_killed,
)
from pimentoquay.gateway.tests.test_software_versions import (
    NEW,
    Streams,
    add_version,
    begin_release,
    resume,
    runs_at,
)
from pimentoquay.platform.store import STREAM_TOPIC, VERSION_TOPIC, StoreClient
from pimentoquay.policy.only_versions import RETURN_SECONDS
from pimentoquay.standin.platform_engine import PlatformEngine

# In virtual time, as a version may wait for seconds.
pytestmark = pytest.mark.looptime(start=1000)

VMS = ("vm-1", "vm-2")


def record_puts(monkeypatch):
    """Return the list of the topics and values that gateways write from now on."""
    puts, put = [], StoreClient.put

    async def record(client, topic, key, value):
        puts.append((topic, value))
        await put(client, topic, key, value)

    monkeypatch.setattr(StoreClient, "put", record)
    return puts


async def records(env, topic):
    """Return the values of a topic by key."""
    page = await env.gateway_by_vm["vm-1"].store.read_latest(topic)
    return {each.key: each.value for each in page.records if each.value}


async def test_streams_go_on_after_a_kill_while_the_store_takes_no_record_of_the_version(
    monkeypatch,
):
    refuse_to_record(monkeypatch, b"v2")
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(4)
        await begin_release(env)
        assert await resumed_after_all_were_killed(env, streams, ("vm-1",)) == [200] * 4
        await asyncio.sleep(2 * RETURN_SECONDS)
        assert (await env.stream()).status == 200
        assert not runs_at(env, *NEW)


async def test_streams_go_on_if_the_second_version_joins_while_no_gateway_runs():
    async with rig() as env:
        await env.add_gateway("vm-2")
        streams = Streams(env)
        await streams.begin(4)
        await let_store(env)
        ids = await streams.leave()
        for engine_id in NEW:
            await env.add_engine(PlatformEngine(engine_id, "llm", software="v2", stage="decode"))
        await kill_all(env, VMS)
        for request_id in ids:
            assert (await resume(env, request_id, vm="vm-2")).status == 200
        assert not runs_at(env, *NEW)


async def test_streams_go_on_after_a_kill_if_the_second_version_joins_before_they_come_back():
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(4)
        await let_store(env)
        ids = await streams.leave()
        await kill_all(env, ("vm-1",))
        await begin_release(env)
        await asyncio.sleep(2.0)
        assert [(await resume(env, each)).status for each in ids] == [200] * 4
        assert not runs_at(env, *NEW)


async def test_streams_go_on_after_a_second_kill_while_the_version_waits():
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(4)
        await add_version(env, "v2", "new-1")
        await kill_all(env, ("vm-1",))
        await add_version(env, "v2", "new-2", "new-3")
        await asyncio.sleep(1.0)
        assert await resumed_after_all_were_killed(env, streams, ("vm-1",)) == [200] * 4
        assert not runs_at(env, *NEW)


async def test_new_streams_begin_at_the_second_version_soon_after_a_kill():
    async with rig() as env:
        await let_store(env)
        await env.add_engine(PlatformEngine("new-1", "llm", software="v2", stage="decode"))
        await kill_all(env, ("vm-1",))
        origins = env.gateway_by_vm["vm-1"].origins
        await asyncio.sleep(RETURN_SECONDS + 1.0)
        assert ("llm", "v2") in origins.recorded
        assert (await resume(env, "never-seen")).status == 503
        await Streams(env).begin(6)
        assert runs_at(env, "new-1")


async def test_the_second_version_is_used_at_once_after_a_kill_if_the_first_is_leaving():
    async with rig() as env:
        await let_store(env)
        await begin_release(env)
        await kill_all(env, ("vm-1",))
        await remove(env, *OLD)
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: not {*OLD} & {each.id for each in fleet.engines()}, "gone")
        assert (await env.stream()).status == 200
        assert runs_at(env, *NEW)


async def first_served_after(env, seconds):
    """Return the time until a new stream is served, tried every 0.1 s for some seconds."""
    clock = asyncio.get_running_loop().time
    began_at = clock()
    while (await env.stream()).status != 200:
        assert clock() - began_at < seconds, "not served in time"
        await asyncio.sleep(0.1)
    return clock() - began_at


async def test_the_second_version_is_used_soon_after_a_kill_if_the_engines_of_the_first_died_too():
    """It stayed closed until the entries of the dead engines expired."""
    async with rig() as env:
        await let_store(env)
        for engine_id, stage in (("pre-2", "prefill"), *((each, "decode") for each in NEW)):
            await env.add_engine(PlatformEngine(engine_id, "llm", software="v2", stage=stage))
        for engine_id in (*OLD, "pre-1"):
            env.engine_by_id[engine_id].crash()
        await kill_all(env, ("vm-1",))
        gateway = env.gateway_by_vm["vm-1"]
        assert {each.id for each in gateway.fleet.engines()}.issuperset(OLD)
        assert ("llm", "v2") not in gateway.origins.recorded
        await first_served_after(env, 1.0)
        assert runs_at(env, *NEW)


async def test_a_version_is_recorded_after_the_streams_that_ran_when_it_joined(monkeypatch):
    """In the other order, a kill between the writes left streams that nobody knew."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        streams = Streams(env)
        await streams.begin(2)
        await streams.begin(2, vm="vm-2")
        await let_store(env)
        puts = record_puts(monkeypatch)
        await begin_release(env)
        origins = env.gateway_by_vm["vm-1"].origins
        await until(lambda: ("llm", "v2") in origins.recorded, "recorded")
        topics = [topic for topic, _ in puts if topic in (STREAM_TOPIC, VERSION_TOPIC)]
        assert STREAM_TOPIC in topics[: topics.index(VERSION_TOPIC)]
        ids = await streams.leave()
        await kill_all(env, VMS)
        assert [(await resume(env, each)).status for each in ids] == [200] * 4


async def test_nothing_is_written_while_a_service_has_one_version(monkeypatch):
    puts = record_puts(monkeypatch)
    async with rig() as env:
        await env.add_gateway("vm-2")
        await asyncio.sleep(30.0)
        written = [value for topic, value in puts if topic in (STREAM_TOPIC, VERSION_TOPIC)]
        assert len(written) == len({json.loads(each)["service"] for each in written})


async def lose_statement(env):
    """Let the records of versions be as an older build writes them."""
    for key, value in (await records(env, VERSION_TOPIC)).items():
        stated = json.loads(value)
        assert stated.pop("only_in_era") == 1
        await env.store.put(VERSION_TOPIC, key, json.dumps(stated).encode())


async def test_streams_are_refused_if_an_older_build_wrote_the_versions():
    """Older builds still may begin streams at a version before they record it."""
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(2)
        await let_store(env)
        await lose_statement(env)
        await add_version(env, "v2", "new-1")
        assert await resumed_after_all_were_killed(env, streams, ("vm-1",)) == [503] * 2


async def test_streams_are_refused_once_an_older_build_has_recorded_the_second_version():
    async with rig() as env:
        streams = Streams(env)
        await streams.begin(2)
        await env.add_engine(PlatformEngine("new-1", "llm", software="v2", stage="decode"))
        ids = await streams.leave()
        await kill_all(env, ("vm-1",))
        version = json.dumps({"service": "llm", "version": "v2"}).encode()
        await env.store.put(VERSION_TOPIC, "of an older build", version)
        await env.add_gateway("vm-2")
        assert [(await resume(env, each, vm="vm-2")).status for each in ids] == [503] * 2


async def test_streams_are_refused_if_the_store_came_back_older_while_no_gateway_ran():
    """The store may have held the second version, at which streams had begun."""
    async with rig() as env:
        await let_store(env)
        env.store.make_copy()
        await begin_release(env)
        origins = env.gateway_by_vm["vm-1"].origins
        await until(lambda: ("llm", "v2") in origins.recorded, "recorded")
        streams = Streams(env)
        await streams.begin(6)
        assert runs_at(env, *NEW)
        ids = await streams.leave()
        env._task_by_vm["vm-1"].cancel()
        await asyncio.gather(env._task_by_vm["vm-1"], return_exceptions=True)
        env.store.restore()
        for engine in env.engine_by_id.values():
            await env.store.put("keyed.servers", engine.id, engine.entry())
        await kill_all(env, ("vm-1",))
        before = len(runs_at(env, *OLD, *NEW))
        assert [(await resume(env, each)).status for each in ids] == [503] * 6
        assert len(runs_at(env, *OLD, *NEW)) == before


async def test_streams_are_refused_if_others_began_at_a_version_that_is_not_recorded(monkeypatch):
    """They may, while no engine of the recorded version takes work."""
    async with rig() as env:
        await let_unrecorded_version_serve_alone(env, monkeypatch)
        assert (await env.stream()).status == 200
        assert runs_at(env, *NEW)
        await add_version(env, env.engine_by_id["dec-1"].software, "dec-3")
        assert (await resume(env, "never-seen")).status == 503


@pytest.mark.parametrize("vm", ["vm-1", "vm-3"])
async def test_streams_of_a_killed_gateway_go_on_if_the_second_version_joins_before_that(vm):
    """The other gateways lived on, and nobody had told them of the streams."""
    async with rig() as env:
        for each in ("vm-2", "vm-3"):
            await env.add_gateway(each)
        await asyncio.sleep(2 * RETURN_SECONDS)
        streams = Streams(env)
        await streams.begin(4, vm="vm-2")
        ids = await streams.leave()
        await env.kill("vm-2")
        await add_version(env, "v2", *NEW)
        await asyncio.sleep(1.0)
        assert [(await resume(env, each, vm=vm)).status for each in ids] == [200] * 4
        assert not runs_at(env, *NEW)
        origins = env.gateway_by_vm["vm-1"].origins
        await until(lambda: ("llm", "v2") in origins.recorded, "recorded")


async def test_streams_of_the_gateway_that_writes_go_on_if_it_is_killed():
    async with rig() as env:
        await env.add_gateway("vm-2")
        await asyncio.sleep(2 * RETURN_SECONDS)
        streams = Streams(env)
        await streams.begin(4)
        ids = await streams.leave()
        await env.kill("vm-1")
        for engine_id in NEW:
            await env.add_engine(PlatformEngine(engine_id, "llm", software="v2", stage="decode"))
        await asyncio.sleep(1.0)
        assert [(await resume(env, each, vm="vm-2")).status for each in ids] == [200] * 4
        assert not runs_at(env, *NEW)


async def test_a_version_that_is_back_is_recorded_again_if_another_gateway_had_removed_it():
    """The others took it for recorded, and its streams for ones of the version that is stored."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        first, second = (env.gateway_by_vm[vm].origins for vm in VMS)
        await add_version(env, "v2", "new-1")
        await until(lambda: ("llm", "v2") in second.recorded, "recorded")
        await remove(env, "new-1")
        await asyncio.sleep(first.life_seconds + 10.0)
        assert len(await records(env, VERSION_TOPIC)) == 2, "removed"
        await add_version(env, "v2", "new-2")
        await env.kill("vm-1")
        await asyncio.sleep(RETURN_SECONDS)
        page = await env.gateway_by_vm["vm-2"].store.read_latest(VERSION_TOPIC)
        assert len([each for each in page.records if each.value]) == 3


async def test_a_version_stays_recorded_while_it_is_listed_for_longer_than_any_stream_lasts():
    async with rig() as env:
        await env.add_gateway("vm-2")
        second = env.gateway_by_vm["vm-2"].origins
        await until(lambda: ("llm", "v1") in second.recorded, "recorded")
        await asyncio.sleep(3 * second.life_seconds)
        second.observe()
        assert ("llm", "v1") in second.recorded
        await add_version(env, "v2", "new-1")
        assert ("llm", "v1") in second.recorded
