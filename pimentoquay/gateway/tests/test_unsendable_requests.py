"""Requests of callers that cannot be written to engines, or only without what engines need."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import ROUTES, configuration, model_headers, rig, until
from pimentoquay.gateway.tests.test_streams import WHOLE
from pimentoquay.standin.platform_engine import PlatformEngine

PATHS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")
NEEDED = (
    "Host",
    "Content-Length",
    "Pimentoquay-Request-Id",
    "Pimentoquay-Deadline-Ms",
    "Pimentoquay-Expect-Instance",
    "Pimentoquay-Model",
    "Pimentoquay-Token-Counts",
    "Pimentoquay-Length-Hint",
    "Pimentoquay-Prompt-Prefix",
    "Pimentoquay-Key",
    "Resumes",
)
"""Headers of a request that engines get, whatever the caller's ``Connection`` names."""


def arrivals(env):
    return [each for engine in env.engine_by_id.values() for each in engine.arrivals]


def check_nobody_blamed(env):
    gateway = env.gateway_by_vm["vm-1"]
    assert not gateway.links.circuits.open_keys()
    experience = gateway.dispatcher._shared.experience_by_engine
    assert not any(each.failure_share for each in experience.values())


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("name", NEEDED)
async def test_an_option_of_a_connection_removes_nothing_that_engines_need(name, path):
    """Without its Host a request cannot be written, which was taken for refusals of engines."""
    async with rig() as env:
        own = (("Resumes", "r"), ("Pimentoquay-Key", "k"), ("X-Hop", "1"))
        headers = (
            (b"Connection", b"X-Hop, " + name.lower().encode()),
            *((key.encode(), value.encode()) for key, value in own),
            *model_headers(),
        )
        response = await env.send_request(path, headers=headers)
        assert (response.status, response.is_whole) == (200, True)
        for arrival in arrivals(env):
            assert arrival.headers[name.lower()]
            assert "x-hop" not in arrival.headers
            assert arrival.body == b"x"
        assert arrivals(env)
        check_nobody_blamed(env)


@pytest.mark.parametrize("name", ["Host", "Pimentoquay-Request-Id"])
async def test_callers_that_name_such_an_option_stop_no_streams_of_others(name):
    async with rig() as env:
        headers = ((b"Connection", name.encode()), *model_headers())
        for number in range(4):
            await env.send_request(f"/sheet/own-{number}", headers=headers)
            response = await env.stream(f"/sheet/{number}")
            assert (response.status, response.body) == (200, WHOLE)


async def test_the_last_event_of_a_caller_is_told_to_engines_whatever_it_names():
    async with rig() as env:
        headers = ((b"Connection", b"Last-Event-Id"), (b"Last-Event-Id", b"2"), *model_headers())
        response = await env.send_request("/digest/a", headers=headers)
        assert response.body == b"".join(PlatformEngine("x", "llm").event(n) for n in (3, 4, 5))


async def send_without_host(env, path):
    """Return the head of the answer to a request that has no ``Host``, as HTTP/1.0 allows."""
    port = env.gateway_by_vm["vm-1"].caller_server.port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    lines = [b"POST " + path.encode() + b" HTTP/1.0", b"Pimentoquay-Request-Id: old"]
    lines += [b": ".join(pair) for pair in model_headers()]
    writer.write(b"\r\n".join((*lines, b"Content-Length: 1", b"", b"x")))
    answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("has_prefill_engine", [True, False])
async def test_a_request_that_cannot_be_written_is_the_error_of_its_caller(
    has_prefill_engine, path
):
    """A route without a host leads a request of HTTP/1.0 to engines, to which it cannot be sent."""
    routes = [each | {"host": ""} for each in ROUTES]
    async with rig(document=configuration(1, routes)) as env:
        if not has_prefill_engine:
            await env.store.put("keyed.servers", "pre-1", b"")
            fleet = env.gateway_by_vm["vm-1"].fleet
            await until(lambda: "pre-1" not in {e.id for e in fleet.accepting_engines("llm")}, "0")
        for _ in range(3):
            answer = await send_without_host(env, path)
            assert answer.startswith(b"HTTP/1.1 400 ")
        assert not arrivals(env)
        check_nobody_blamed(env)
        await until(lambda: not any(e.holds for e in env.engine_by_id.values()), "released")


class GarbledEngine(PlatformEngine):
    """Names a cache, or a hold, that cannot be sent in a header."""

    async def _answer(self, arrival, headers, reply):
        if arrival.is_prefill:
            reply.send(200, headers[:1], b'{"kvHandle": "a\\r\\nb", "tokens": 10, "version": 1}')
        else:
            await super()._answer(arrival, headers, reply)

    def _create_hold(self, tokens, reply):
        reply.send(200, (), b'{"hold": "h\\r\\n%d"}' % self.calls)


@pytest.mark.parametrize("name, stage", [("pre-1", "prefill"), ("dec-1", "decode")])
async def test_what_one_engine_says_cannot_make_a_request_unsendable_to_another(name, stage):
    """The handle of a prefill that cannot be written counted as a refusal of decode engines."""
    async with rig() as env:
        await env.replace_engines([GarbledEngine(name, "llm", stage=stage, born=2)])
        for number in range(4):
            response = await env.stream(f"/sheet/{number}")
            assert (response.status, response.body) == (200, WHOLE)
        assert not {"dec-2"} & set(env.gateway_by_vm["vm-1"].links.circuits.open_keys())
