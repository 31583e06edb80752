"""Errors of an engine inside a stream, in the run that began it or one that goes on with it."""

from typing import ClassVar

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, until
from pimentoquay.gateway.tests.test_event_order import event, runs
from pimentoquay.gateway.tests.test_streams import WHOLE
from pimentoquay.standin.platform_engine import PlatformEngine

BEGINNING = event(1) + event(2)
HALF_EVENT = b"id: 3\nda"

FOREIGN = {
    "head and text": b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 8\r\n\r\nfailed\n\n",
    "head only": b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\r\n",
    "head within an event": b"id: 3\nHTTP/1.1 500 Internal Server Error\ndata: piece 3\n\n",
    "head after an event's data": b"id: 3\ndata: piece 3\nHTTP/1.1 502 Bad Gateway\r\n\r\n",
    "text": b"upstream connect error\n\n",
    "JSON": b'{"error": {"code": 500}}\n\n',
    "HTML": b"<html><h1>502 Bad Gateway</h1></html>\r\n\r\n",
}
"""Lines that cannot stand in an event stream."""

ERROR_FIELDS = {
    "field without an id": b"error: overloaded\n\n",
    "event without an id": b'event: error\ndata: {"code": 500}\n\n',
}
"""Lines that can, in an event that has no place in the order of the pieces."""


class ScriptedEngine(PlatformEngine):
    """Writes one body of ``bodies`` in each stream, and sound events once all are used up."""

    bodies: ClassVar[list[bytes]] = []

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        sound = b"".join(event(number) for number in range(first, self.events + 1))
        reply.write(self.bodies.pop(0) if self.bodies else sound)
        reply.end()


async def add_scripted_engines(env, monkeypatch, bodies, count=2, max_engines=2):
    """Replace the decode engines by ``count`` scripted ones."""
    monkeypatch.setattr(ScriptedEngine, "bodies", list(bodies))
    names = [f"dec-{number}" for number in range(1, count + 1)]
    for name in names:
        if name in env.engine_by_id:
            await env.engine_by_id[name].close()
        await env.add_engine(ScriptedEngine(name, "llm", stage="decode", born=2))
    routes = [
        each | {"maxAttempts": max_engines} if each["name"] == "digest" else each for each in ROUTES
    ]
    await env.store.put("keyed.op", "config", configuration(2, routes))
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: sum(e.incarnation == 2 for e in fleet.engines()) == count, "listed")
    await until(lambda: fleet.configuration.version == 2, "configured")
    return names


@pytest.mark.parametrize("name", FOREIGN | ERROR_FIELDS)
async def test_an_error_inside_a_stream_does_not_reach_its_caller(name, monkeypatch):
    """Heads and texts were passed on, and the stream ended as whole."""
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [BEGINNING + (FOREIGN | ERROR_FIELDS)[name]])
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert sorted(after or "" for after in runs(env)) == ["", "2"]


@pytest.mark.parametrize("name", FOREIGN | ERROR_FIELDS)
async def test_an_error_of_the_next_engine_does_not_reach_the_caller(name, monkeypatch):
    """A stream that had broken off went on with the error of the engine that took it up."""
    error = (FOREIGN | ERROR_FIELDS)[name]
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [BEGINNING + HALF_EVENT, error])
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, BEGINNING, False)


@pytest.mark.parametrize("name", FOREIGN)
async def test_an_error_inside_a_stream_that_may_not_be_resumed_ends_it_as_broken(
    name, monkeypatch
):
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [BEGINNING + FOREIGN[name]])
        response = await env.stream("/sheet/a")
        assert (response.body, response.is_whole) == (BEGINNING, False)
        assert len(runs(env)) == 1


async def test_fields_of_any_name_are_passed_on_in_an_event(monkeypatch):
    """Such as that with which an engine states a new version of its weights."""
    pieces = [
        b": wait\n\n",
        b"retry: 100\n\n",
        event(1),
        b"weight-versions: 3\nid: 2\ndata: piece 2\n\n",
        b"id:3\r\ndata\r\nevent:x\r\n\r\n",
        event(4) + event(5),
    ]
    async with rig() as env:
        await add_scripted_engines(env, monkeypatch, [b"".join(pieces)])
        response = await env.stream()
        assert (response.body, response.is_whole) == (b"".join(pieces), True)
