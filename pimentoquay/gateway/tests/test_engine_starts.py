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
        ids = await streams.leave()
        assert not asked, "new streams go anywhere"
        for request_id in ids:
            assert (await resume(env, request_id)).status == 200
        assert 1 <= len(asked) <= len(DECODING)


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


async def test_a_new_stream_at_an_engine_that_is_back_at_another_version_goes_on_at_that_version():
    """It is recorded as one of the version that the entry named when it began."""
    async with rig() as env:
        engine = env.engine_by_id["dec-1"]
        engine.crash()
        engine.software = "v2"
        await engine.restart()
        streams = Streams(env)
        await streams.begin(6)
        ids = await streams.leave()
        began_there = {each.headers["pimentoquay-request-id"] for each in runs_at(env, "dec-1")}
        await env.store.put("keyed.servers", "dec-1", engine.entry())
        await until(lambda: is_listed(env, "dec-1", "v2"), "v2")
        assert began_there
        before = len(runs_at(env, "dec-2"))
        for request_id in began_there.intersection(ids):
            await resume(env, request_id)
        assert len(runs_at(env, "dec-2")) == before
