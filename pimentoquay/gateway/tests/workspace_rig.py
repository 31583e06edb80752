"""Workspaces in a test rig, and checks of what engines got of them."""

import contextlib

from pimentoquay.gateway.tests.rig import ROUTES, configuration, model_headers, rig, route, until

KEY = b"banf-0f41e6c2"
OTHER_KEY = b"k9m6-55ab0e17"
NEW_KEY = b"hupe-91c60b33"

OPEN_ROUTE = route("open", "idempotent", "desk", public=True)
OPEN_STREAM = route("openstream", "stream", "llm", public=True, stickySessions=True)
ALL_ROUTES = (*ROUTES, OPEN_ROUTE, OPEN_STREAM)

SPOOFED = (
    (b"Pimentoquay-Tenant", b"huka271"),
    (b"PIMENTOQUAY-TENANT", b"someone"),
    (b"pimentoquay-tenant", b""),
    (b"Connection", b"Pimentoquay-Tenant, Pimentoquay-Key"),
)
"""Headers with which a caller tries to be another workspace."""


def tenant(name, *keys, **more):
    return {"name": name, "apiKeys": [key.decode() for key in keys]} | more


TENANTS = (tenant("huka270", KEY, priority=1), tenant("huka271", OTHER_KEY))


def document(version=1, tenants=TENANTS, routes=ALL_ROUTES):
    return configuration(version, routes, tenants=list(tenants))


def key_header(key=KEY):
    return ((b"Pimentoquay-Key", key),)


@contextlib.asynccontextmanager
async def workspace_rig(tenants=TENANTS, **options):
    """Yield a rig whose configuration has workspaces, and check at its end that no key leaked."""
    async with rig(document=document(tenants=tenants), **options) as env:
        yield env
        check_no_key(env)


async def publish(env, version, tenants=TENANTS, routes=ALL_ROUTES):
    """Publish a version and wait until all gateways use it."""
    await env.store.put("keyed.op", "config", document(version, tenants, routes))
    fleets = [gateway.fleet for gateway in env.gateway_by_vm.values()]
    await until(lambda: all(each.configuration.version >= version for each in fleets), "applied")


def apply(env, version, tenants=TENANTS, routes=ALL_ROUTES, vm="vm-1"):
    """Let one gateway use a version at once, as if it had just been read."""
    position = env.gateway_by_vm[vm].fleet._configuration_position + 1
    data = document(version, tenants, routes)
    assert env.gateway_by_vm[vm].fleet.apply_configuration(position, data)


def arrivals(env):
    return [each for engine in env.engine_by_id.values() for each in engine.arrivals]


def check_no_key(env):
    """Check that no engine got a key, under whatever name."""
    for arrival in arrivals(env):
        assert not arrival.shows_key
        sent = "\n".join(f"{name}: {value}" for name, value in arrival.header_list)
        for key in (KEY, OTHER_KEY, NEW_KEY):
            assert key.decode() not in sent and key not in arrival.body


def check_named(env, name="huka270"):
    """Check that engines got requests, and each with one name of a workspace."""
    assert arrivals(env)
    assert {each.workspaces for each in arrivals(env)} == {(name,)}


async def send(env, path="/look/a", key=KEY, headers=(), **options):
    """Send a request of any kind with a key, or without one if it is None."""
    sent = (*headers, *(key_header(key) if key is not None else ()))
    if path.startswith(("/digest", "/sheet", "/openstream")):
        sent += model_headers()
    return await env.send_request(path, headers=sent, **options)
