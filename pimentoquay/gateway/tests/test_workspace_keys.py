"""Keys that versions add and withdraw, on kept connections and for requests that wait."""

import asyncio
import json

import pytest

from pimentoquay.gateway import plain, stream_runs
from pimentoquay.gateway.tests.rig import ROUTES, configuration, model_headers, route, until
from pimentoquay.gateway.tests.test_workspaces import KINDS, refusals
from pimentoquay.gateway.tests.workspace_rig import (
    ALL_ROUTES,
    KEY,
    NEW_KEY,
    OTHER_KEY,
    TENANTS,
    apply,
    arrivals,
    check_named,
    document,
    key_header,
    publish,
    send,
    tenant,
    workspace_rig,
)
from pimentoquay.http1 import ConnectionPool, ReusePolicy
from pimentoquay.standin.platform_engine import Behaviour
from pimentoquay.standin.virtual_links import Cut

pytestmark = pytest.mark.looptime(start=1000)

WITHDRAWN = (tenant("huka270", NEW_KEY), TENANTS[1])
"""Workspaces of a version that withdraws ``KEY`` and adds ``NEW_KEY``."""

APPLY_SECONDS = 2.0
"""Time within which a version takes effect in the settings of the rig."""


class KeptConnection:
    """One connection of a caller, on which it sends one request after the other."""

    def __init__(self, env, vm="vm-1"):
        port = env.gateway_by_vm[vm].caller_server.port
        self.opened = 0
        self._pool = ConnectionPool(f"127.0.0.1:{port}", 5.0, ReusePolicy(), self._count)

    def _count(self):
        self.opened += 1

    async def status(self, key, path="/look/a"):
        headers = ((b"Host", b"shop.example"), *key_header(key))
        if path.startswith("/digest"):
            headers += model_headers()
        async with self._pool.exchange(b"POST", path.encode(), headers, b"x") as exchange:
            await exchange.read_body(2**20)
            return exchange.status


@pytest.mark.parametrize("path", ["/look/a", "/digest/a"])
async def test_keys_are_added_and_withdrawn_on_kept_connections(path):
    async with workspace_rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        kept = [KeptConnection(env, vm) for vm in ("vm-1", "vm-2")]
        for each in kept:
            assert await each.status(KEY, path) == 200
            assert await each.status(NEW_KEY, path) == 401
        await env.store.put("keyed.op", "config", document(2, WITHDRAWN))
        await asyncio.sleep(APPLY_SECONDS)
        for engine in env.engine_by_id.values():
            engine.arrivals.clear()
        for each in kept:
            assert await each.status(KEY, path) == 401
            assert await each.status(NEW_KEY, path) == 200
            assert each.opened == 1
        check_named(env)


async def test_each_request_of_a_connection_is_decided_by_its_own_key():
    """The name of an earlier request on the connection must not be taken for the next one."""
    async with workspace_rig() as env:
        kept = KeptConnection(env)
        names = []
        for key in (KEY, OTHER_KEY, b"nobody's", KEY):
            before = {id(each) for each in arrivals(env)}
            await kept.status(key)
            new = [each for each in arrivals(env) if id(each) not in before]
            names.append([each.workspaces for each in new])
        assert names == [[("huka270",)], [("huka271",)], [], [("huka270",)]]
        assert kept.opened == 1


async def wait_for_memory(env, path, key=KEY):
    """Fill the decode engines, and return a task of a stream that waits, and of those that run."""
    for name in ("dec-1", "dec-2"):
        env.engine_by_id[name].pause = 0.3
        env.engine_by_id[name].events = 8
    filling = [
        asyncio.create_task(send(env, path, OTHER_KEY, request_id=f"full-{number}"))
        for number in range(20)
    ]
    await asyncio.sleep(0.3)
    waiting = asyncio.create_task(send(env, path, key, request_id="waits"))
    await asyncio.sleep(0.1)
    assert not waiting.done() and not ran(env, "waits"), "it waits"
    return waiting, filling


def ran(env, request_id):
    return [each for each in arrivals(env) if each.headers["pimentoquay-request-id"] == request_id]


async def leave(tasks):
    for each in tasks:
        each.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
async def test_a_waiting_stream_whose_key_is_withdrawn_gets_401_and_never_runs(path):
    async with workspace_rig() as env:
        waiting, filling = await wait_for_memory(env, path)
        apply(env, 2, WITHDRAWN)
        response = await waiting
        assert (response.status, response.body) == (401, b"")
        assert ran(env, "waits") == []
        assert refusals(env) == {"key withdrawn while the request waited": 1}
        await leave(filling)


async def test_a_waiting_stream_whose_key_moves_has_the_name_of_the_new_workspace():
    async with workspace_rig() as env:
        waiting, filling = await wait_for_memory(env, "/digest/a")
        apply(env, 2, (tenant("huka900", KEY), TENANTS[1]))
        assert (await waiting).status == 200
        assert {each.workspaces for each in ran(env, "waits")} == {("huka900",)}
        await leave(filling)


async def test_a_key_that_is_withdrawn_and_given_back_while_a_stream_waits_is_accepted():
    async with workspace_rig() as env:
        waiting, filling = await wait_for_memory(env, "/digest/a")
        apply(env, 2, WITHDRAWN)
        apply(env, 3)
        assert (await waiting).status == 200
        await leave(filling)


@pytest.mark.parametrize("path", KINDS)
async def test_a_key_withdrawn_while_a_connection_opens_is_not_sent(path):
    """The decision on arrival is up to a second old when a slow connection is there."""
    async with workspace_rig() as env:
        env.links.cut("vm-1", Cut.NEW_SILENT)
        asked = asyncio.create_task(send(env, path))
        await asyncio.sleep(0.1)
        apply(env, 2, WITHDRAWN)
        env.links.heal("vm-1")
        assert (await asked).status == 401
        assert arrivals(env) == []


async def test_a_key_withdrawn_during_the_prefill_ends_the_stream_before_it_runs():
    async with workspace_rig() as env:

        def withdraw(arrival):
            apply(env, 2, WITHDRAWN)
            return Behaviour.SERVE

        env.engine_by_id["pre-1"].behaviour = withdraw
        assert (await send(env, "/digest/a")).status == 401
        assert [each.is_prefill for each in arrivals(env)] == [True]
        assert not env.engine_by_id["dec-1"].running + env.engine_by_id["dec-2"].running


@pytest.mark.parametrize(
    ("path", "behaviour", "status"),
    [
        ("/look/a", Behaviour.SHED, 401),
        ("/look/a", Behaviour.RESET, 502),
        ("/look/a", Behaviour.FAIL, 500),
        ("/order/a", Behaviour.SHED, 401),
        ("/digest/a", Behaviour.SHED, 401),
        ("/digest/a", Behaviour.RESET, 502),
        ("/digest/a", Behaviour.FAIL, 500),
    ],
)
async def test_nothing_is_repeated_with_a_withdrawn_key(path, behaviour, status):
    """401 says that the request has not run, so one that may have run gets its own failure."""
    async with workspace_rig() as env:

        def withdraw(arrival):
            if arrival.is_prefill:
                return Behaviour.SERVE
            apply(env, 2, WITHDRAWN)
            return behaviour

        for engine in env.engine_by_id.values():
            engine.behaviour = withdraw
        assert (await send(env, path)).status == status
        assert len([each for each in arrivals(env) if not each.is_prefill]) == 1


@pytest.mark.parametrize("path", KINDS)
async def test_a_key_withdrawn_at_the_last_send_gives_401(path, monkeypatch):
    """No further send would check the key, and 503 would make the caller come back with it."""
    for module in (plain, stream_runs):
        monkeypatch.setattr(module, "MAX_SENDS", 1)
    async with workspace_rig() as env:

        def withdraw(arrival):
            if arrival.is_prefill:
                return Behaviour.SERVE
            apply(env, 2, WITHDRAWN)
            return Behaviour.SHED

        for engine in env.engine_by_id.values():
            engine.behaviour = withdraw
        assert (await send(env, path)).status == 401
        assert len([each for each in arrivals(env) if not each.is_prefill]) == 1


async def test_a_stream_that_runs_when_its_key_is_withdrawn_ends_but_is_not_resumed():
    async with workspace_rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.05
        whole = asyncio.create_task(send(env, "/digest/a"))
        await until(lambda: arrivals(env) and not arrivals(env)[-1].is_prefill, "runs")
        apply(env, 2, WITHDRAWN)
        assert (await whole).is_whole
        for engine in env.engine_by_id.values():
            engine.arrivals.clear()
            engine.behaviour = lambda arrival: (
                Behaviour.SERVE if arrival.is_prefill else Behaviour.BREAK
            )
        broken = asyncio.create_task(send(env, "/digest/a", NEW_KEY))
        await until(lambda: arrivals(env) and not arrivals(env)[-1].is_prefill, "runs")
        apply(env, 3)
        assert not (await broken).is_whole
        assert len([each for each in arrivals(env) if not each.is_prefill]) == 1


async def test_a_route_that_closes_while_a_request_waits_needs_a_key():
    closed = (*ROUTES, route("open", "idempotent", "desk"))
    for key, status in ((None, 401), (KEY, 200)):
        async with workspace_rig() as env:
            env.links.cut("vm-1", Cut.NEW_SILENT)
            asked = asyncio.create_task(send(env, "/open/a", key))
            await asyncio.sleep(0.1)
            apply(env, 2, routes=closed)
            env.links.heal("vm-1")
            assert (await asked).status == status
            if status == 200:
                check_named(env)


async def test_a_request_that_waits_as_workspaces_are_introduced_needs_a_key():
    for key, status in ((None, 401), (KEY, 200)):
        async with workspace_rig() as env:
            await until(lambda: env.gateway_by_vm["vm-1"].fleet.is_loaded, "loaded")
            fleet = env.gateway_by_vm["vm-1"].fleet
            data = configuration(2, ALL_ROUTES)
            assert fleet.apply_configuration(fleet._configuration_position + 1, data)
            env.links.cut("vm-1", Cut.NEW_SILENT)
            asked = asyncio.create_task(send(env, "/look/a", key))
            await asyncio.sleep(0.1)
            apply(env, 3)
            env.links.heal("vm-1")
            assert (await asked).status == status
            if status == 200:
                check_named(env)


@pytest.mark.parametrize("path", ["/order/a", "/digest/a"])
async def test_a_request_that_waits_as_workspaces_are_given_up_is_sent_without_its_key(path):
    async with workspace_rig() as env:
        env.links.cut("vm-1", Cut.NEW_SILENT)
        asked = asyncio.create_task(send(env, path))
        await asyncio.sleep(0.1)
        fleet = env.gateway_by_vm["vm-1"].fleet
        position = fleet._configuration_position + 1
        assert fleet.apply_configuration(position, configuration(2, ALL_ROUTES))
        env.links.heal("vm-1")
        assert (await asked).status == 200
        check_named(env)


async def test_an_older_version_that_arrives_late_gives_no_key_back():
    """It may come at a newer position, from a peer, or from a store restored from a copy."""
    async with workspace_rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        env.store.make_copy()
        await publish(env, 3, WITHDRAWN)
        assert (await send(env)).status == 401
        await env.store.put("keyed.op", "config", document(2))
        await asyncio.sleep(APPLY_SECONDS)
        env.store.restore()
        await asyncio.sleep(2 * APPLY_SECONDS)
        fleet = env.gateway_by_vm["vm-2"].fleet
        position = fleet._configuration_position
        assert not fleet.apply_configuration(position - 1, document(4))
        assert not fleet.apply_configuration(position + 1, document(3))
        for vm in ("vm-1", "vm-2"):
            assert (await send(env, vm=vm)).status == 401
            assert (await send(env, key=NEW_KEY, vm=vm)).status == 200
        check_named(env)


async def test_a_refused_version_changes_no_keys():
    async with workspace_rig() as env:
        for wrong in ("null", '"huka270"', "7", "{}", "true"):
            item = json.loads(configuration(9, ALL_ROUTES)) | {"tenants": json.loads(wrong)}
            data = json.dumps(item).encode()
            await env.store.put("keyed.op", "config", data)
        await asyncio.sleep(APPLY_SECONDS)
        assert env.gateway_by_vm["vm-1"].fleet.configuration.version == 1
        assert (await send(env)).status == 200
        assert (await send(env, key=None)).status == 401
