"""Whether engines are asked when they started, before streams go on there."""

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.gateway.tests.test_software_versions import (
    Streams,
    is_listed,
    resume,
    runs_at,
    streams_before_restart_at_second_version,
)

DECODING = ("dec-1", "dec-2")


def count_reports(env, monkeypatch, answers=()):
    """Count the reports of decode engines; ``answers`` replaces what each of them says."""
    asked: list[object] = []
    for name in DECODING:
        link = env.gateway_by_vm["vm-1"].links.link_to(entry_of(env, name))
        monkeypatch.setattr(link, "call", counted(link.call, asked, answers))
    return asked


def entry_of(env, name):
    return next(each for each in env.gateway_by_vm["vm-1"].fleet.engines() if each.id == name)


def counted(call, asked, answers):
    async def count(what, *args):
        status, body = await call(what, *args)
        if what.target.endswith(b"report"):
            asked.append(what)
            return answers or (status, body)
        return status, body

    return count


async def test_an_engine_is_asked_once_while_a_connection_to_it_stays_open(monkeypatch):
    async with rig() as env:
        asked = count_reports(env, monkeypatch)
        streams = Streams(env)
        await streams.begin(6)
        used = [name for name in DECODING if runs_at(env, name)]
        assert len(asked) == len(used), "six streams began there"
        for request_id in await streams.leave():
            assert (await resume(env, request_id)).status == 200
        assert len(asked) <= len(used) + len(DECODING), "all connections were closed in between"


@pytest.mark.parametrize("answer", [(200, b"{}"), (200, b"no JSON"), (404, b"")])
async def test_a_stream_goes_on_at_an_engine_that_does_not_say_when_it_started(answer, monkeypatch):
    async with rig() as env:
        asked = count_reports(env, monkeypatch, answer)
        streams = Streams(env)
        await streams.begin(2)
        for request_id in await streams.leave():
            assert (await resume(env, request_id)).status == 200
        assert asked


async def test_streams_go_on_at_an_engine_that_is_back_at_their_version_once_its_entry_is_read():
    async with rig() as env:
        ids = await streams_before_restart_at_second_version(env)
        for name in DECODING:
            engine = env.engine_by_id[name]
            engine.software = "v1"
            await env.store.put("keyed.servers", name, engine.entry())
        await until(lambda: all(entry_of(env, name).incarnation == 2 for name in DECODING), "read")
        assert all(is_listed(env, name, "v1") for name in DECODING)
        for request_id in ids:
            assert (await resume(env, request_id)).status == 200
        assert runs_at(env, *DECODING)


async def restart(env, name, software):
    """Let an engine crash and start again at a version; its entry is not written."""
    engine = env.engine_by_id[name]
    engine.crash()
    engine.software = software
    await engine.restart()
    return engine


async def list_engine(env, name, vms=("vm-1",)):
    """Write the entry of an engine, and wait until the gateways have read it."""
    engine = env.engine_by_id[name]
    await env.store.put("keyed.servers", name, engine.entry())
    fleets = [env.gateway_by_vm[vm].fleet for vm in vms]

    def is_read(fleet):
        return any((e.id, e.incarnation) == (name, engine.born) for e in fleet.engines())

    await until(lambda: all(map(is_read, fleets)), "entry read")


async def begin_at_unlisted(env, software, count=6):
    """Begin streams while dec-1 is back at a version unread; return the ids of those there."""
    await restart(env, "dec-1", software)
    streams = Streams(env)
    await streams.begin(count)
    ids = await streams.leave()
    began_there = {each.headers["pimentoquay-request-id"] for each in runs_at(env, "dec-1")}
    assert began_there
    return sorted(began_there.intersection(ids))


async def test_a_new_stream_at_an_engine_that_is_back_at_another_version_goes_on_at_that_version():
    """It is recorded as one of the version that the entry named when it began."""
    async with rig() as env:
        ids = await begin_at_unlisted(env, "v2")
        await list_engine(env, "dec-1")
        assert is_listed(env, "dec-1", "v2")
        before = len(runs_at(env, "dec-2"))
        for request_id in ids:
            assert (await resume(env, request_id)).status == 200
        assert len(runs_at(env, "dec-2")) == before


async def test_a_stream_at_an_engine_that_is_back_waits_with_its_caller_until_the_entry_is_read():
    async with rig() as env:
        ids = await begin_at_unlisted(env, "v2")
        before = len(runs_at(env, *DECODING))
        for request_id in ids:
            response = await resume(env, request_id)
            assert (response.status, float(response.headers["retry-after"]) > 0) == (503, True)
        assert len(runs_at(env, *DECODING)) == before
        await list_engine(env, "dec-1")
        assert (await resume(env, ids[0])).status == 200


async def test_a_stream_at_an_engine_that_is_back_at_its_version_goes_on_at_any_engine_of_it():
    async with rig() as env:
        ids = await begin_at_unlisted(env, "v1")
        await list_engine(env, "dec-1")
        env.engine_by_id["dec-1"].crash()
        before = len(runs_at(env, "dec-2"))
        for request_id in ids:
            assert (await resume(env, request_id)).status == 200
        assert len(runs_at(env, "dec-2")) == before + len(ids)


async def test_a_stream_at_an_engine_that_started_twice_unlisted_is_refused():
    """Nothing tells the version of the start in between."""
    async with rig() as env:
        ids = await begin_at_unlisted(env, "v2")
        await restart(env, "dec-1", "v1")
        await list_engine(env, "dec-1")
        before = len(runs_at(env, *DECODING))
        for request_id in ids:
            assert (await resume(env, request_id)).status == 503
        assert len(runs_at(env, *DECODING)) == before


async def test_a_stream_at_an_engine_that_is_back_goes_on_at_its_version_by_another_gateway():
    async with rig() as env:
        await env.add_gateway("vm-2")
        ids = await begin_at_unlisted(env, "v2")
        await list_engine(env, "dec-1", ("vm-1", "vm-2"))
        origins = env.gateway_by_vm["vm-2"].origins
        await until(lambda: origins.known_streams >= len(ids), "told")
        before = len(runs_at(env, "dec-2"))
        for request_id in ids:
            assert (await resume(env, request_id, vm="vm-2")).status == 200
        assert len(runs_at(env, "dec-2")) == before


async def test_a_stream_at_an_engine_that_is_back_waits_at_another_gateway_for_the_entry():
    """That gateway knows one version only, and took it for the one that began the stream."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        ids = await begin_at_unlisted(env, "v2")
        origins = env.gateway_by_vm["vm-2"].origins
        await until(lambda: origins.known_streams >= len(ids), "told")
        before = len(runs_at(env, *DECODING))
        for request_id in ids:
            assert (await resume(env, request_id, vm="vm-2")).status == 503
        assert len(runs_at(env, *DECODING)) == before
        await list_engine(env, "dec-1", ("vm-1", "vm-2"))
        assert (await resume(env, ids[0], vm="vm-2")).status == 200


async def test_an_answer_does_not_go_on_at_another_version_than_that_of_an_unlisted_engine():
    async with rig() as env:
        engine = await restart(env, "dec-1", "v2")
        streams = Streams(env)
        await streams.begin(6)
        began_there = len(runs_at(env, "dec-1"))
        await list_engine(env, "dec-1")
        assert began_there
        before = len(runs_at(env, "dec-2"))
        engine.crash()
        await streams.finish()
        assert len(runs_at(env, "dec-2")) == before
