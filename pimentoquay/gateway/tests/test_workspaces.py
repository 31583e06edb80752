"""Engines get the name of the caller's workspace and never a key, whatever is sent and how."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import configuration, model_headers, rig, until
from pimentoquay.gateway.tests.test_unreachable_engines import gateways
from pimentoquay.gateway.tests.workspace_rig import (
    KEY,
    NEW_KEY,
    OTHER_KEY,
    SPOOFED,
    TENANTS,
    apply,
    arrivals,
    check_named,
    key_header,
    send,
    tenant,
    workspace_rig,
)
from pimentoquay.http1 import HeadRefusal
from pimentoquay.standin.platform_engine import Behaviour, PlatformEngine
from pimentoquay.standin.virtual_links import Cut

# In virtual time, as nothing here depends on the time that it takes.
pytestmark = pytest.mark.looptime(start=1000)

KINDS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")


def refusals(env, vm="vm-1"):
    return dict(env.gateway_by_vm[vm].dispatcher._shared.metrics.unauthenticated_by_reason)


def first_run(behaviour):
    """Return a behaviour of engines at the first request that is no prefill, of all of them."""
    seen = []

    def behave(arrival):
        if arrival.is_prefill:
            return Behaviour.SERVE
        seen.append(arrival)
        return behaviour if len(seen) == 1 else Behaviour.SERVE

    return behave


@pytest.mark.parametrize("path", KINDS)
@pytest.mark.parametrize("spoofed", [(), SPOOFED], ids=["plain", "spoofed"])
async def test_engines_get_the_name_by_the_key_whatever_the_caller_states(path, spoofed):
    async with workspace_rig() as env:
        assert (await send(env, path, headers=spoofed)).status == 200
        check_named(env)
        assert len(arrivals(env)) == (2 if path in ("/digest/a", "/sheet/a") else 1)


@pytest.mark.parametrize("behaviour", [Behaviour.SHED, Behaviour.RESET, Behaviour.FAIL])
@pytest.mark.parametrize("path", ["/look/a", "/digest/a"])
async def test_repeats_carry_the_name(path, behaviour):
    async with workspace_rig() as env:
        behave = first_run(behaviour)
        for engine in env.engine_by_id.values():
            engine.behaviour = behave
        assert (await send(env, path, headers=SPOOFED)).status == 200
        assert len(arrivals(env)) >= 2
        check_named(env)


async def test_a_repeated_prefill_carries_the_name():
    async with workspace_rig() as env:
        await env.add_engine(PlatformEngine("pre-2", "llm", stage="prefill"))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: len(fleet.accepting_engines("llm")) == 4, "listed")
        failed = []

        def behave(arrival):
            failed.append(arrival)
            return Behaviour.RESET if len(failed) == 1 else Behaviour.SERVE

        for name in ("pre-1", "pre-2"):
            env.engine_by_id[name].behaviour = behave
        assert (await send(env, "/digest/a", headers=SPOOFED)).status == 200
        assert sum(each.is_prefill for each in arrivals(env)) == 2
        check_named(env)


@pytest.mark.parametrize("behaviour", [Behaviour.BREAK, Behaviour.HALF_EVENT])
async def test_a_stream_that_is_resumed_within_its_answer_carries_the_name(behaviour):
    async with workspace_rig() as env:
        behave = first_run(behaviour)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].behaviour = behave
        response = await send(env, "/digest/a", headers=SPOOFED)
        assert response.is_whole and response.body.count(b"id:") == 5
        runs = [each for each in arrivals(env) if not each.is_prefill]
        assert "last-event-id" in runs[1].headers
        check_named(env)


async def test_a_stream_that_its_caller_takes_up_elsewhere_carries_the_name():
    async with workspace_rig() as env:
        await env.add_gateway("vm-2")
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.2
        headers = (*model_headers(), *key_header())
        async with env.open("/digest/a", headers=headers, request_id="first") as exchange:
            await exchange.read_chunk()
            await env.kill("vm-1")
        resumed = ((b"Last-Event-Id", b"1"), (b"Resumes", b"first"), *SPOOFED)
        response = await send(env, "/digest/a", headers=resumed, vm="vm-2")
        assert response.status == 200 and response.is_whole
        assert any("last-event-id" in each.headers for each in arrivals(env))
        check_named(env)


@pytest.mark.parametrize("how", [Cut.REFUSED, Cut.SILENT])
async def test_requests_through_the_tunnels_of_peers_carry_the_name(how):
    async with workspace_rig() as env:
        await gateways(env, 3)
        env.links.cut("vm-1", how)
        paths = env.gateway_by_vm["vm-1"].paths
        for _ in range(40):
            await asyncio.gather(*(send(env, path, headers=SPOOFED) for path in KINDS))
            if paths.cut_engines == 5:
                break
            await asyncio.sleep(0.05)
        for engine in env.engine_by_id.values():
            engine.arrivals.clear()
        opened = sum(env.gateway_by_vm[vm].tunnel_server.opened for vm in ("vm-2", "vm-3"))
        assert opened
        for path in KINDS:
            assert (await send(env, path, headers=SPOOFED)).status == 200
        check_named(env)


async def test_streams_that_coordinators_place_carry_the_name(relays):
    async with workspace_rig() as env:
        vms, leaf = await env.add_gateways_behind_relays()
        client = env.gateway_by_vm[leaf].pool_client
        await until(lambda: client.is_active, "pools")
        for vm in (vms[0], leaf):
            assert (await send(env, "/digest/a", headers=SPOOFED, vm=vm)).status == 200
        check_named(env)


@pytest.mark.parametrize("path", ["/open/a", "/openstream/a"])
@pytest.mark.parametrize("key", [None, KEY, b"nobody's", b"\xff\xfe"])
async def test_a_public_route_needs_no_key_and_passes_neither_header_on(path, key):
    async with workspace_rig() as env:
        assert (await send(env, path, key, SPOOFED)).status == 200
        assert arrivals(env)
        assert {each.workspaces for each in arrivals(env)} == {()}
        assert refusals(env) == {}


NO_KEYS = {
    "missing": (None, "key missing"),
    "empty": (b"", "key missing"),
    "unknown": (b"nobody's", "key unknown"),
    "a part": (KEY[:-1], "key unknown"),
    "more": (KEY + b"0", "key unknown"),
    "in another case": (KEY.upper(), "key unknown"),
    "with a scheme": (b"Bearer " + KEY, "key unknown"),
    "not UTF-8": (b"\xff\x80" + KEY, "key unknown"),
    "a name": (b"huka270", "key unknown"),
    "long": (b"k" * 12_000, "key unknown"),
}


@pytest.mark.parametrize("name", NO_KEYS)
@pytest.mark.parametrize("path", KINDS)
async def test_a_request_without_a_known_key_gets_401_and_reaches_no_engine(path, name):
    key, reason = NO_KEYS[name]
    async with workspace_rig() as env:
        response = await send(env, path, key, SPOOFED)
        assert (response.status, response.body) == (401, b"")
        assert "retry-after" not in response.headers
        assert arrivals(env) == [] and refusals(env) == {reason: 1}
        assert sum(each.calls for each in env.engine_by_id.values()) == 0


@pytest.mark.parametrize("keys", [(KEY, OTHER_KEY), (KEY, KEY), (b"", KEY), (KEY, b"")])
async def test_a_request_with_several_keys_is_refused(keys):
    """One of them would be checked, and it is not clear which one the caller means."""
    async with workspace_rig() as env:
        headers = tuple(pair for key in keys for pair in key_header(key))
        assert (await send(env, key=None, headers=headers)).status == 401
        assert arrivals(env) == []


async def test_the_head_alone_decides_as_the_request_does():
    async with workspace_rig(start_gateway=False) as env:
        gateway = await env.add_gateway()
        seen, handled = [], []
        server, dispatcher = gateway.caller_server, gateway.dispatcher
        handle, refuse_head = server.handler, server.refuse_head

        def record_head(request):
            seen.append((refuse_head(request), request))
            return seen[-1][0]

        async def record(request, reply):
            handled.append(dispatcher.refuse_head(request))
            await handle(request, reply)

        server.refuse_head, server.handler = record_head, record
        statuses = [
            (await send(env, path, key)).status
            for path, key in (("/nowhere/a", KEY), ("/look/a", None), ("/look/a", KEY))
        ]
        assert statuses == [404, 401, 200]
        refused = [HeadRefusal(404, ()), HeadRefusal(401, ()), None]
        assert [refusal for refusal, _ in seen] == refused
        assert handled == [None]
        before = refusals(env)
        assert refuse_head(seen[1][1]) == HeadRefusal(401, ())
        assert refusals(env) == {"key missing": before["key missing"] + 1}
        assert dispatcher.refuse_head(seen[2][1]) is None
        gateway.fleet.route_table = None
        not_ready = dispatcher.refuse_head(seen[2][1])
        assert not_ready.status == 503 and not_ready.headers[0][0] == b"Retry-After"


async def test_a_gateway_that_knows_no_configuration_answers_503_whatever_the_key():
    async with rig(start_gateway=False) as env:
        await env.add_gateway(store_address="127.0.0.1:1", wait=False)
        await asyncio.sleep(0.5)
        for key in (None, KEY, b"nobody's"):
            response = await send(env, key=key)
            assert response.status == 503 and "retry-after" in response.headers


@pytest.mark.parametrize("path", ["/look/a", "/digest/a"])
async def test_without_workspaces_both_headers_are_forwarded_as_any_other(path):
    async with rig() as env:
        headers = (*key_header(), (b"Pimentoquay-Tenant", b"a"), (b"Pimentoquay-Tenant", b"b"))
        assert (await send(env, path, key=None, headers=headers)).status == 200
        for each in arrivals(env):
            assert each.workspaces == ("a", "b") and each.headers["pimentoquay-key"] == KEY.decode()
            names = [name for name, _ in each.header_list]
            first = names.index("pimentoquay-key")
            assert names[first + 1 : first + 3] == ["pimentoquay-tenant"] * 2
        assert (await send(env, path, key=None)).status == 200


@pytest.mark.parametrize("key", [KEY, None])
async def test_routes_are_closed_if_the_list_of_workspaces_is_empty(key):
    async with workspace_rig(tenants=()) as env:
        assert (await send(env, key=key)).status == 401
        assert (await send(env, "/open/a", key=key)).status == 200


async def test_routes_are_open_again_when_a_version_has_no_workspaces():
    async with workspace_rig() as env:
        assert (await send(env, key=None)).status == 401
        fleet = env.gateway_by_vm["vm-1"].fleet
        assert fleet.apply_configuration(fleet._configuration_position + 1, configuration(2))
        assert (await send(env, key=None)).status == 200


async def test_a_name_is_sent_in_utf_8():
    async with workspace_rig(tenants=(tenant('büro "7" \\', KEY),)) as env:
        assert (await send(env)).status == 200
        check_named(env, 'büro "7" \\')
        text = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.text()
        assert 'workspace_requests_total{workspace="büro \\"7\\" \\\\"} 1\n' in text


async def test_a_request_whose_workspace_is_renamed_while_it_waits_has_the_new_name():
    async with workspace_rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.5
        env.links.cut("vm-1", Cut.NEW_SILENT)
        asked = asyncio.create_task(send(env, "/order/a"))
        await asyncio.sleep(0.1)
        apply(env, 2, (tenant("huka900", KEY), tenant("huka270", NEW_KEY), TENANTS[1]))
        env.links.heal("vm-1")
        assert (await asked).status == 200
        check_named(env, "huka900")
