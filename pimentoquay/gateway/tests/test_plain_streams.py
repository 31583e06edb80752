"""Streams of services without memory settings, and of callers that name no model."""

import asyncio
import json
from dataclasses import dataclass, field

import pytest

from pimentoquay.gateway.tests.rig import (
    ROUTES,
    configuration,
    model_headers,
    rig,
    route,
    until,
)
from pimentoquay.gateway.tests.test_errors_in_streams import FOREIGN
from pimentoquay.gateway.tests.test_event_order import event
from pimentoquay.standin.platform_engine import Behaviour, PlatformEngine

SPLIT = [{"service": "llm", "weight": 50}, {"service": "feed", "weight": 50}]
FEED_ROUTES = (
    *ROUTES,
    route("once", "stream", "feed", maxAttempts=1, gapTargetMs=300),
    route("ticker", "stream", "feed", resumable=True, gapTargetMs=300),
    route("split", "stream", "llm", maxAttempts=1, gapTargetMs=300, trafficSplit=SPLIT),
)
EVENTS = b"".join(event(number) for number in range(1, 6))
FRAMINGS = ("none", "length", "chunks")


def feed_configuration(version=1):
    item = json.loads(configuration(version, FEED_ROUTES))
    item["services"].append({"name": "feed", "healthPath": "/health", "maxConns": 100})
    return json.dumps(item).encode()


@dataclass
class FeedEngine(PlatformEngine):
    """Server of a plain service that answers with events, whose data name its version.

    ``bodies`` holds the bodies of the first streams that begin there, ``framing`` how they end, and
    ``head_seconds`` the time until the head of a stream that begins there.
    """

    framing: str = "chunks"
    head_seconds: float = 0.0
    bodies: list[bytes] = field(default_factory=list)

    def event(self, number):
        return event(number, f"{self.software} piece {number}")

    async def _answer(self, arrival, headers, reply):
        headers = (*headers, (b"Content-Type", b"text/event-stream"))
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        numbers = range(first, self.events + 1)
        pieces = [self.event(each) for each in numbers]
        if self.bodies and first == 1:
            pieces = [self.bodies.pop(0)]
        if first == 1:
            await asyncio.sleep(self.head_seconds)
        if self.framing == "length":
            reply.send(200, headers, b"".join(pieces))
            return
        transport = reply._connection._transport
        if self.framing == "none":
            lines = [b"HTTP/1.1 200 OK", *(b": ".join(pair) for pair in headers), b"", b""]
            transport.write(b"\r\n".join(lines))
        else:
            reply.start(200, headers)
        for piece in pieces:
            (transport if self.framing == "none" else reply).write(piece)
            await asyncio.sleep(self.pause)
        if self.framing == "none":
            transport.close()
        else:
            reply.end()


async def add_feeds(env, *engines):
    """Add servers of the service that streams, and wait until the gateways know them."""
    for engine in engines:
        await env.add_engine(engine)
    names = {engine.id for engine in engines}
    for gateway in env.gateway_by_vm.values():
        await until(lambda fleet=gateway.fleet: names <= {e.id for e in fleet.engines()}, "listed")


def versions(body):
    return {line.split()[1] for line in body.splitlines() if line.startswith(b"data:")}


def last_ids(*engines):
    return sorted(a.headers.get("last-event-id", "") for e in engines for a in e.arrivals)


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_a_plain_stream_that_is_broken_off_inside_an_event_does_not_look_complete(framing):
    """Guards against a half event in an answer that looked whole."""
    async with rig(document=feed_configuration()) as env:
        half = EVENTS[:-4]
        await add_feeds(env, FeedEngine("feed-1", "feed", framing=framing, bodies=[half]))
        response = await env.send_request("/once/a")
        assert (response.status, response.is_whole) == (200, False)
        assert EVENTS.startswith(response.body) and response.body.endswith(b"\n\n")
        whole = await env.send_request("/once/a")
        assert (whole.status, whole.is_whole) == (200, True)
        assert len(env.engine_by_id["feed-1"].arrivals) == 2


@pytest.mark.parametrize("framing", FRAMINGS)
async def test_every_part_of_a_split_route_is_read_event_by_event(framing):
    """Guards against a route whose answers are read by the service that gets the request."""
    async with rig(document=feed_configuration()) as env:
        halves = [EVENTS[:-4]] * 20
        feed = FeedEngine("feed-1", "feed", framing=framing, bodies=halves)
        await add_feeds(env, feed)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].behaviour = lambda arrival: Behaviour.UNFRAMED_HALF_EVENT
        for _ in range(12):
            response = await env.stream("/split/a")
            assert not response.is_whole and response.body.endswith(b"\n\n")
        assert 0 < len(feed.arrivals) < 12


async def test_a_stream_of_a_caller_that_names_no_model_does_not_look_complete():
    """Guards against a half event of a model engine whose caller sent no token counts."""
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].behaviour = lambda arrival: Behaviour.UNFRAMED_HALF_EVENT
        response = await env.send_request("/sheet/a")
        assert not response.is_whole
        assert not env.engine_by_id["pre-1"].arrivals


async def test_the_events_of_a_plain_stream_are_passed_on_as_they_come():
    """Guards against events that are held back until the end of the stream."""
    async with rig(document=feed_configuration()) as env:
        await add_feeds(env, FeedEngine("feed-1", "feed", pause=0.3))
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        async with env.open("/once/a") as exchange:
            first = await exchange.read_chunk(5.0)
            assert first is not None and first.startswith(b"id: 1\n")
            assert loop.time() - began_at < 0.9


async def test_pauses_of_plain_streams_are_not_reported(monkeypatch):
    """Guards against messages on the memory of engines that reserve none."""
    async with rig(document=feed_configuration()) as env:
        await add_feeds(env, FeedEngine("feed-1", "feed", pause=0.4))
        reported = []
        shared = env.gateway_by_vm["vm-1"].dispatcher._shared
        monkeypatch.setattr(shared, "record_pause", lambda *pause: reported.append(pause))
        response = await env.send_request("/once/a")
        assert response.is_whole and not reported


@pytest.mark.parametrize("name", FOREIGN)
async def test_an_error_inside_a_plain_stream_does_not_reach_its_caller(name):
    """Guards against an engine's error that is passed on as a part of the stream."""
    async with rig(document=feed_configuration()) as env:
        body = event(1) + event(2) + FOREIGN[name]
        await add_feeds(env, FeedEngine("feed-1", "feed", bodies=[body]))
        response = await env.send_request("/once/a")
        assert (response.body, response.is_whole) == (event(1) + event(2), False)


@pytest.mark.parametrize("wrong", [event(2), event(4)], ids=["twice", "missing"])
async def test_an_event_out_of_order_ends_a_plain_stream_as_broken(wrong):
    """Guards against a stream with a missing or doubled event that looked whole."""
    async with rig(document=feed_configuration()) as env:
        await add_feeds(env, FeedEngine("feed-1", "feed", bodies=[event(1) + event(2) + wrong]))
        response = await env.send_request("/once/a")
        assert (response.body, response.is_whole) == (event(1) + event(2), False)


async def test_a_failure_of_a_plain_stream_reaches_its_caller():
    """Guards against another status than the engine's own."""
    async with rig(document=feed_configuration()) as env:
        await add_feeds(env, FeedEngine("feed-1", "feed", behaviour=lambda each: Behaviour.FAIL))
        response = await env.send_request("/once/a")
        assert (response.status, response.body) == (500, b"failed")


async def test_a_plain_stream_that_no_server_takes_is_refused_at_once():
    """Guards against a wait for a service that has no servers, or whose servers are full."""
    async with rig(document=feed_configuration()) as env:
        response = await env.send_request("/once/a")
        assert response.status == 503 and "retry-after" in response.headers
        full = FeedEngine("feed-1", "feed", behaviour=lambda each: Behaviour.SHED)
        await add_feeds(env, full)
        response = await env.send_request("/once/a")
        assert response.status == 503 and "retry-after" in response.headers
        assert len(full.arrivals) == 1


@pytest.mark.parametrize("path", ["/once/a", "/ticker/a"])
async def test_a_plain_stream_waits_for_its_turn_at_a_busy_server(path):
    """Guards against a queue at a server that is taken for the silence of a stream."""
    async with rig(document=feed_configuration()) as env:
        feed = FeedEngine("feed-1", "feed", head_seconds=2.0)
        await add_feeds(env, feed)
        response = await env.send_request(path)
        assert (response.status, response.is_whole, len(feed.arrivals)) == (200, True, 1)


async def test_a_plain_stream_goes_on_at_another_server_of_its_version():
    """Guards against a stream whose pieces two software versions have written."""
    async with rig(document=feed_configuration()) as env:
        broken = [event(1, "v1 piece 1") + b"id: 2\nda"]
        first = FeedEngine("feed-1", "feed", bodies=list(broken))
        same = FeedEngine("feed-3", "feed", bodies=list(broken))
        other = FeedEngine("feed-2", "feed", software="v2")
        await add_feeds(env, first, same)
        origins = env.gateway_by_vm["vm-1"].origins
        await until(lambda: ("feed", "v1") in origins.recorded, "recorded")
        await add_feeds(env, other)
        for _ in range(3):
            response = await env.send_request("/ticker/a")
            assert response.is_whole
            assert len(versions(response.body)) == 1
        assert "1" in last_ids(first, same)
        assert "1" not in last_ids(other)


async def test_a_caller_takes_up_a_plain_stream_at_the_version_that_began_it():
    """Guards against a stream that its caller takes up at another version."""
    async with rig(document=feed_configuration()) as env:
        first = FeedEngine("feed-2", "feed", pause=0.02)
        await add_feeds(env, first)
        origins = env.gateway_by_vm["vm-1"].origins
        await until(lambda: ("feed", "v1") in origins.recorded, "recorded")
        begun = [f"begun-{number}" for number in range(8)]
        for request_id in begun:
            assert (await env.send_request("/ticker/a", request_id=request_id)).is_whole
        # Of two servers with the same cost, the one whose id sorts first is chosen.
        other = FeedEngine("feed-1", "feed", pause=0.02, software="v2")
        await add_feeds(env, other)

        async def take_up(request_id):
            headers = ((b"Last-Event-Id", b"2"), (b"Resumes", request_id.encode()))
            again = await env.send_request("/ticker/a", headers=headers)
            assert again.is_whole and versions(again.body) == {b"v1"}

        await asyncio.gather(*map(take_up, begun))
        assert last_ids(first).count("2") == len(begun)
        assert not other.arrivals


async def test_a_stream_goes_on_after_its_service_has_lost_its_memory_settings():
    """Guards against a run that reads the settings anew and fails."""
    async with rig() as env:
        without = json.loads(configuration(2))
        for service in without["services"]:
            service.pop("engineId", None)
        for name in ("dec-1", "dec-2"):
            engine = env.engine_by_id[name]
            engine.pause = 0.1
            engine.behaviour = lambda arrival: (
                Behaviour.SERVE if arrival.headers.get("last-event-id") else Behaviour.BREAK
            )
        fleet = env.gateway_by_vm["vm-1"].fleet
        async with env.open("/digest/a", headers=model_headers()) as exchange:
            body = await exchange.read_chunk(5.0)
            assert fleet.apply_configuration(10_000, json.dumps(without).encode())
            assert fleet.configuration.version == 2
            while (part := await exchange.read_chunk(5.0)) is not None:
                body += part
        assert body == EVENTS
        assert {"", "3"} == set(last_ids(*(env.engine_by_id[name] for name in ("dec-1", "dec-2"))))
