"""Streams while engines of several software versions serve in one service."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, read_response, rig, until
from pimentoquay.standin.platform_engine import PlatformEngine


async def add_version(env, software, *ids, stage="decode"):
    """Add engines of a software version, and wait until all gateways list them."""
    for engine_id in ids:
        await env.add_engine(PlatformEngine(engine_id, "llm", stage=stage, software=software))
    await until(lambda: all(is_listed(env, each) for each in ids), "listed")


def is_listed(env, engine_id, software=None):
    entries = [
        {engine.id: engine.software for engine in gateway.fleet.engines()}
        for gateway in env.gateway_by_vm.values()
    ]
    return all(engine_id in each and software in (None, each[engine_id]) for each in entries)


def runs_at(env, *ids):
    """Return the streams that engines have run, as arrivals that are no prefills."""
    arrivals = [each for engine_id in ids for each in env.engine_by_id[engine_id].arrivals]
    return [each for each in arrivals if not each.is_prefill]


def resume_headers(resumes, last_event):
    headers = ((b"Last-Event-Id", str(last_event).encode()),)
    return (*headers, (b"Resumes", resumes.encode())) if resumes else headers


class Streams:
    """Slow streams of several callers, which take them up elsewhere when they break."""

    def __init__(self, env):
        self.env = env
        self._opened = {}
        self._set_pace(0.3)

    def _set_pace(self, pause):
        for engine in self.env.engine_by_id.values():
            engine.events, engine.pause = 20, pause

    async def begin(self, count, vm="vm-1", path="/digest/a"):
        """Begin streams and wait for the first event of each."""
        for number in range(count):
            request_id = f"{vm}-{number}"
            opened = self.env.open(path, vm=vm, headers=model_headers(), request_id=request_id)
            exchange = await opened.__aenter__()
            await exchange.read_chunk()
            self._opened[request_id] = (opened, exchange)

    async def finish(self):
        """Read the rest of all streams; return the number of those that were whole."""
        self._set_pace(0.02)
        whole = 0
        for opened, exchange in self._opened.values():
            whole += (await read_response(exchange)).is_whole
            await opened.__aexit__(None, None, None)
        return whole

    async def leave(self):
        """Close all connections of the callers, and let the engines go on faster."""
        self._set_pace(0.0)
        for opened, _ in self._opened.values():
            await opened.__aexit__(None, None, None)
        return tuple(self._opened)


NEW = ("new-1", "new-2", "new-3")


async def begin_release(env):
    """Add engines of both stages at a second version."""
    await add_version(env, "v2", "pre-2", stage="prefill")
    await add_version(env, "v2", *NEW)


async def streams_before_release(env, count, vm="vm-1"):
    """Begin streams at the first version, then a release; return the streams."""
    streams = Streams(env)
    await streams.begin(count, vm)
    await begin_release(env)
    return streams


async def test_streams_of_a_crashed_engine_go_on_at_their_version_only():
    """On the day second1 of huong-giang, 18 streams went on at another version."""
    async with rig() as env:
        streams = await streams_before_release(env, 6)
        busy = max(("dec-1", "dec-2"), key=lambda each: env.engine_by_id[each].running)
        env.engine_by_id[busy].crash()
        assert await streams.finish() == 6
        assert not runs_at(env, *NEW)


async def test_streams_taken_up_at_another_gateway_go_on_at_their_version_only():
    async with rig() as env:
        await env.add_gateway("vm-2")
        streams = await streams_before_release(env, 6)
        ids = await streams.leave()
        env._task_by_vm["vm-1"].cancel()
        for request_id in ids:
            headers = (*model_headers(), *resume_headers(request_id, 1))
            response = await env.send_request("/digest/a", vm="vm-2", headers=headers)
            assert (response.status, response.is_whole) == (200, True)
            assert response.body.startswith(b"id: 2")
        assert not runs_at(env, *NEW)


async def resume(env, resumes, last_event=1, vm="vm-1"):
    headers = (*model_headers(), *resume_headers(resumes, last_event))
    return await env.send_request("/digest/a", vm=vm, headers=headers)


async def kill(env, vm):
    """End a gateway without a drain."""
    env._task_by_vm[vm].cancel()
    await asyncio.gather(env._task_by_vm[vm], return_exceptions=True)
    await env.gateway_by_vm[vm].caller_server.close()


async def test_a_resumption_at_the_same_gateway_goes_on_at_its_version():
    async with rig() as env:
        streams = await streams_before_release(env, 4)
        for request_id in await streams.leave():
            assert (await resume(env, request_id)).status == 200
        assert not runs_at(env, *NEW)


async def test_a_stream_that_began_during_a_release_goes_on_at_its_version_after_a_kill():
    async with rig() as env:
        await env.add_gateway("vm-2")
        await begin_release(env)
        streams = Streams(env)
        await streams.begin(8)
        await asyncio.sleep(0.1)
        version_by_request = {
            each.headers["pimentoquay-request-id"]: ids
            for ids in (("dec-1", "dec-2"), NEW)
            for each in runs_at(env, *ids)
        }
        ids = await streams.leave()
        await kill(env, "vm-1")
        for request_id in ids:
            before = len(runs_at(env, *version_by_request[request_id]))
            assert (await resume(env, request_id, vm="vm-2")).status == 200
            assert len(runs_at(env, *version_by_request[request_id])) == before + 1


async def test_a_gateway_that_starts_during_a_release_is_told_where_streams_began():
    async with rig() as env:
        await env.add_gateway("vm-2")
        streams = await streams_before_release(env, 4)
        third = await env.add_gateway("vm-3")
        await until(lambda: third.origins.known_streams == 4, "told")
        for request_id in await streams.leave():
            assert (await resume(env, request_id, vm="vm-3")).status == 200
        assert not runs_at(env, *NEW)


async def test_gateways_behind_relays_are_told_where_streams_began(relays):
    async with rig() as env:
        vms, leaf = await env.add_gateways_behind_relays()
        streams = await streams_before_release(env, 4, leaf)
        others = [env.gateway_by_vm[vm] for vm in vms if vm != leaf]
        await until(lambda: all(each.origins.known_streams == 4 for each in others), "told")
        ids = await streams.leave()
        await kill(env, leaf)
        for number, request_id in enumerate(ids):
            vm = others[number].settings.vm
            assert (await resume(env, request_id, vm=vm)).status == 200
        assert not runs_at(env, *NEW)


async def test_nothing_is_told_while_a_service_has_one_version():
    async with rig() as env:
        second = await env.add_gateway("vm-2")
        streams = Streams(env)
        await streams.begin(4)
        ids = await streams.leave()
        await asyncio.sleep(0.1)
        assert second.origins.known_streams == 0 and not second.origins.mixed_services
        await kill(env, "vm-1")
        for request_id in ids:
            response = await resume(env, request_id, vm="vm-2")
            assert (response.status, response.body[:5]) == (200, b"id: 2")


@pytest.mark.parametrize("resumes", ["", "never-seen"])
async def test_a_stream_whose_origin_nobody_knows_is_refused_at_once(resumes):
    async with rig() as env:
        await begin_release(env)
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        response = await resume(env, resumes)
        assert response.status == 503 and "retry-after" not in response.headers
        assert gateway.origins.refused == 1
        assert not runs_at(env, "dec-1", "dec-2", *NEW)
        assert (await env.stream("/digest/a")).status == 200


async def test_a_gateway_that_has_just_started_lets_a_caller_come_back():
    async with rig() as env:
        await begin_release(env)
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        gateway.origins._is_loaded = False
        response = await resume(env, "never-seen")
        assert response.status == 503 and float(response.headers["retry-after"]) > 0


async def test_streams_of_a_version_that_is_gone_are_refused_at_once():
    async with rig() as env:
        streams = await streams_before_release(env, 4)
        for engine_id in ("dec-1", "dec-2"):
            await env.store.put("keyed.servers", engine_id, b"")
        await until(lambda: not is_listed(env, "dec-2") and not is_listed(env, "dec-1"), "gone")
        started_at = asyncio.get_running_loop().time()
        for engine_id in ("dec-1", "dec-2"):
            env.engine_by_id[engine_id].crash()
        assert await streams.finish() == 0
        response = await resume(env, "vm-1-0")
        assert asyncio.get_running_loop().time() - started_at < 1.0
        assert response.status == 503 and "retry-after" not in response.headers
        assert not runs_at(env, *NEW)


async def write_version(env, version):
    """Let the decode engines write entries with another version."""
    for engine_id in ("dec-1", "dec-2"):
        engine = env.engine_by_id[engine_id]
        engine.software = version
        await env.store.put("keyed.servers", engine_id, engine.entry())


@pytest.mark.parametrize("version", [None, 3, ["v1"], {}, True])
async def test_an_entry_whose_version_is_missing_or_no_text_names_no_engine(version):
    """Guards against another writer's entry that is used as one of unknown version."""
    async with rig() as env:
        await write_version(env, version)
        await env.add_engine(PlatformEngine("dec-3", "llm", stage="decode", software=version))
        await asyncio.sleep(2.0)
        assert is_listed(env, "dec-1", "v1") and is_listed(env, "dec-2", "v1")
        assert not is_listed(env, "dec-3")
        assert (await env.stream()).status == 200
        assert not runs_at(env, "dec-3")


@pytest.mark.parametrize("version", ["", "v" * 100])
async def test_engines_without_a_known_version_go_on_only_with_their_own_streams(version):
    async with rig() as env:
        await write_version(env, version)
        await until(lambda: is_listed(env, "dec-1", "") and is_listed(env, "dec-2", ""), "unknown")
        streams = Streams(env)
        await streams.begin(3)
        own = {
            each.headers["pimentoquay-request-id"]: engine_id
            for engine_id in ("dec-1", "dec-2")
            for each in runs_at(env, engine_id)
        }
        for request_id in await streams.leave():
            before = len(runs_at(env, own[request_id]))
            assert (await resume(env, request_id)).status == 200
            assert len(runs_at(env, own[request_id])) == before + 1


async def streams_before_restart_at_second_version(env):
    """Begin streams, let both engines crash and start again at v2; return the requests' ids."""
    streams = Streams(env)
    await streams.begin(4)
    ids = await streams.leave()
    for engine_id in ("dec-1", "dec-2"):
        engine = env.engine_by_id[engine_id]
        engine.crash()
        engine.software = "v2"
        await engine.restart()
    return ids


async def test_an_engine_that_is_back_under_its_id_at_another_version_gets_no_stream_of_the_first():
    async with rig() as env:
        ids = await streams_before_restart_at_second_version(env)
        for engine_id in ("dec-1", "dec-2"):
            entry = env.engine_by_id[engine_id].entry()
            await env.store.put("keyed.servers", engine_id, entry)
        await until(lambda: is_listed(env, "dec-1", "v2") and is_listed(env, "dec-2", "v2"), "v2")
        for request_id in ids:
            assert (await resume(env, request_id)).status == 503


async def test_an_engine_that_is_back_at_another_version_gets_no_stream_before_its_entry_is_read():
    async with rig() as env:
        ids = await streams_before_restart_at_second_version(env)
        before = len(runs_at(env, "dec-1", "dec-2"))
        for request_id in ids:
            await resume(env, request_id)
        assert len(runs_at(env, "dec-1", "dec-2")) == before


async def test_the_prompt_of_a_stream_that_goes_on_is_read_by_its_version_only():
    async with rig() as env:
        streams = await streams_before_release(env, 4)
        for request_id in await streams.leave():
            assert (await resume(env, request_id)).status == 200
        assert not env.engine_by_id["pre-2"].arrivals
        await env.store.put("keyed.servers", "pre-1", b"")
        await until(lambda: not is_listed(env, "pre-1"), "gone")
        assert (await resume(env, "vm-1-0")).status == 200
        assert not env.engine_by_id["pre-2"].arrivals


async def add_gateways_with_pools(env):
    """Add two gateways, with the fixture ``relays``, and wait until all know the pools."""
    for vm in ("vm-2", "vm-3"):
        await env.add_gateway(vm)
    gateways = env.gateway_by_vm.values()
    await until(lambda: all(each.pool_client._known_by_key for each in gateways), "pools")


async def test_streams_of_a_version_go_on_at_an_engine_that_a_coordinator_grants(relays):
    async with rig() as env:
        await add_gateways_with_pools(env)
        streams = await streams_before_release(env, 4)
        second = env.gateway_by_vm["vm-2"]
        await until(lambda: second.origins.known_streams == 4, "told")
        for request_id in await streams.leave():
            assert (await resume(env, request_id, vm="vm-2")).status == 200
        assert not runs_at(env, *NEW)


async def test_a_request_that_begins_anew_is_the_one_that_brings_the_first_event():
    async with rig() as env:
        await begin_release(env)
        headers = (*model_headers(), (b"Resumes", b"first"))
        await env.send_request("/digest/a", headers=headers, request_id="second")
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        assert (await resume(env, "second")).status == 200
        assert (await resume(env, "first")).status == 503


async def test_a_late_stream_that_waits_to_go_on_does_not_hold_up_new_ones():
    """Neither was placed: the late one let the new ones pass, which left its version to it."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        await until(lambda: gateway.origins._is_loaded, "loaded")
        engines = [env.engine_by_id["dec-1"], env.engine_by_id["dec-2"]]
        for engine in engines:
            engine.pause = 2.0
        streams = [asyncio.create_task(env.stream(f"/digest/{number}")) for number in range(24)]
        reservations = gateway.dispatcher._streams._reservations
        await until(lambda: len(reservations._waiting) >= 4, "new ones wait")
        new = len(reservations._waiting)
        headers = (*model_headers(), *resume_headers("first", 1))
        late = env.send_request("/digest/a", headers=headers, deadline_ms=9000)
        streams.append(asyncio.create_task(late))
        await until(lambda: len(reservations._waiting) > new, "the late one waits")
        for engine in engines:
            engine.pause = 0.0
        async with asyncio.timeout(4.0):
            responses = await asyncio.gather(*streams)
        assert {each.status for each in responses} == {200}
