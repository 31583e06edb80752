"""What is decided by the head of a request: once, unless the configuration changes meanwhile."""

import asyncio

import pytest

from pimentoquay.gateway import dispatcher
from pimentoquay.gateway.tests.rig import read_response, until
from pimentoquay.gateway.tests.workspace_rig import (
    KEY,
    NEW_KEY,
    apply,
    arrivals,
    check_named,
    key_header,
    send,
    tenant,
    workspace_rig,
)
from pimentoquay.http1.tests.test_server import read_status
from pimentoquay.policy.route_choice import RouteTable

HEAD = (
    b"POST %s HTTP/1.1\r\nHost: shop.example\r\nPimentoquay-Request-Id: r1\r\n"
    b"Pimentoquay-Deadline-Ms: 9000\r\nPimentoquay-Key: " + KEY + b"\r\nContent-Length: 3\r\n\r\n"
)


def counted(monkeypatch, owner, name):
    """Return a list that gets the arguments of each call of a function."""
    calls, original = [], getattr(owner, name)

    def count(*arguments):
        calls.append(arguments)
        return original(*arguments)

    monkeypatch.setattr(owner, name, count)
    return calls


@pytest.mark.parametrize("path", ["/look/a", "/order/a", "/digest/a", "/open/a"])
async def test_a_request_takes_one_lookup_and_its_headers_are_decoded_once(path, monkeypatch):
    """The route was looked up four times, and the headers were decoded twice."""
    async with workspace_rig() as env:
        finds = counted(monkeypatch, RouteTable, "find")
        decoded = counted(monkeypatch, dispatcher, "parse_request")
        assert (await send(env, path)).status == 200
        assert (len(finds), len(decoded)) == (1, 1)
        assert (await send(env, "/nowhere/a")).status == 404
        assert (len(finds), len(decoded)) == (2, 2)


async def begun(env, path, monkeypatch):
    """Send a head whose body is awaited, and return its connection once it was examined."""
    gateway = env.gateway_by_vm["vm-1"]
    examined = counted(monkeypatch, gateway.caller_server, "refuse_head")
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.caller_server.port)
    writer.write(HEAD % path)
    await until(lambda: examined, "head examined")
    return reader, writer


@pytest.mark.parametrize(
    ("tenants", "status"),
    [
        ((tenant("huka270", NEW_KEY),), 401),
        ((tenant("renamed", KEY),), 200),
        ((tenant("huka270", KEY),), 200),
    ],
)
async def test_a_configuration_that_comes_before_the_body_decides(tenants, status, monkeypatch):
    """A decision that is reused must not outlive the configuration by which it was made."""
    async with workspace_rig() as env:
        reader, writer = await begun(env, b"/look/a", monkeypatch)
        apply(env, 2, tenants)
        writer.write(b"abc")
        assert await read_status(reader) == status
        if status == 200:
            check_named(env, tenants[0]["name"])
        else:
            assert arrivals(env) == []
        writer.close()


async def test_a_route_that_goes_before_the_body_comes_is_not_found(monkeypatch):
    async with workspace_rig() as env:
        reader, writer = await begun(env, b"/look/a", monkeypatch)
        apply(env, 2, routes=())
        writer.write(b"abc")
        assert await read_status(reader) == 404
        assert arrivals(env) == []
        writer.close()


async def test_a_path_of_thousands_of_segments_is_served_with_the_others():
    async with workspace_rig() as env:
        async with env.open("/look/" + "/" * 15_000, headers=key_header()) as exchange:
            assert (await read_response(exchange)).status == 200
        assert len(arrivals(env)) == 1
