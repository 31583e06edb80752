"""Engines that answer with a status outside 100 to 599, which is no answer."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig
from pimentoquay.gateway.tests.test_streams import WHOLE
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.virtual_links import Cut

STATUSES = (b"600", b"999", b"000", b"00", b"099", b"0200", b"-20")
PATHS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")
STAGES = {"desk-1": "", "desk-2": "", "pre-1": "prefill", "dec-1": "decode", "dec-2": "decode"}

BODIES = {
    "request": b"id: 1\ndata: not an answer\n\n",
    "prefill": b'{"kvHandle": "kv1", "tokens": 10, "version": 1}',
    "hold": b'{"hold": "h1"}',
}
"""Bodies that would be taken for answers, by what is asked of an engine."""


class StatusEngine(PlatformEngine):
    """Answers one kind of call with a status, and the others in order."""

    kind = ""
    status = b""
    framing = b"Content-Length: %d\r\n"
    more = b""

    def answer(self, reply, *marks):
        body = BODIES[self.kind]
        framing = self.framing % len(body) if b"%d" in self.framing else self.framing
        if b"chunked" in framing:
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        head = b"HTTP/1.1 " + self.status + b" Any\r\n" + framing + self.more + b"".join(marks)
        transport = reply._connection._transport
        transport.write(head + b"\r\n" + body)
        transport.close()
        reply.ended = True

    async def _respond(self, arrival, request, reply):
        if self.kind != ("prefill" if arrival.is_prefill else "request"):
            await super()._respond(arrival, request, reply)
            return
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        request_id = arrival.headers["pimentoquay-request-id"].encode()
        marks = b"Pimentoquay-Request-Id: " + request_id + b"\r\n"
        self.answer(reply, marks, b"Pimentoquay-Server-Stamp: stamp\r\n")

    def _create_hold(self, tokens, reply):
        if self.kind == "hold":
            self.answer(reply)
        else:
            super()._create_hold(tokens, reply)


async def add_status_engines(env, names, **options):
    """Replace engines by such that answer with a status."""
    engines = []
    for name in names:
        service = "llm" if STAGES[name] else "desk"
        engine = StatusEngine(name, service, stage=STAGES[name], born=2)
        for key, value in options.items():
            setattr(engine, key, value)
        engines.append(engine)
    await env.replace_engines(engines)
    return engines


def names_for(path):
    return [name for name in STAGES if name[:3] == ("des" if path[:2] in ("/l", "/o") else "dec")]


def arrivals(engines):
    return [each for engine in engines for each in engine.arrivals if not each.is_prefill]


def check_no_answer(response):
    """Check that nothing of what the engine said has reached the caller."""
    assert (response.status, response.body, response.is_whole) == (502, b"", True)
    assert "pimentoquay-server-stamp" not in response.headers


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize(
    "framing",
    [b"Content-Length: %d\r\n", b"Transfer-Encoding: chunked\r\n", b""],
    ids=["length", "chunks", "neither"],
)
async def test_a_status_outside_the_valid_range_is_no_answer(framing, status, path):
    """Callers got the status 600 and 999 of an engine as their answer, with its body."""
    async with rig() as env:
        options = {"kind": "request", "status": status, "framing": framing}
        engines = await add_status_engines(env, names_for(path), **options)
        check_no_answer(await env.send_request(path, headers=model_headers()))
        runs = 2 if path in ("/look/a", "/digest/a") else 1
        assert len(arrivals(engines)) == runs


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", STATUSES)
async def test_a_request_may_have_run_whatever_is_said_with_such_a_status(status, path):
    """The statement that a request was not run sent calls that run once to another engine."""
    async with rig() as env:
        more = b"Pimentoquay-Not-Executed: 1\r\nRetry-After: 9\r\nServer-Leaving: 1\r\n"
        options = {"kind": "request", "status": status, "more": more}
        engines = await add_status_engines(env, names_for(path), **options)
        check_no_answer(await env.send_request(path, headers=model_headers()))
        runs = 2 if path in ("/look/a", "/digest/a") else 1
        assert len(arrivals(engines)) == runs
        gateway = env.gateway_by_vm["vm-1"]
        service = engines[0].service
        assert {each.id for each in gateway.fleet.accepting_engines(service)} >= {
            each.id for each in engines
        }


@pytest.mark.parametrize("status", STATUSES)
async def test_a_call_that_may_run_again_is_served_by_another_engine(status):
    async with rig() as env:
        (engine,) = await add_status_engines(env, ["desk-1"], kind="request", status=status)
        responses = [await env.send_request(f"/look/{number}") for number in range(4)]
        assert {(each.status, each.body) for each in responses} == {(200, b"answer of desk-2")}
        assert engine.arrivals


@pytest.mark.parametrize("status", STATUSES)
async def test_a_stream_is_that_of_a_sound_engine_or_none(status):
    async with rig() as env:
        (engine,) = await add_status_engines(env, ["dec-1"], kind="request", status=status)
        for number in range(4):
            response = await env.stream(f"/digest/{number}")
            if response.status == 200:
                assert (response.body, response.is_whole) == (WHOLE, True)
            else:
                check_no_answer(response)
        assert engine.arrivals


@pytest.mark.parametrize("status", STATUSES)
async def test_a_prefill_with_such_a_status_names_no_cache(status):
    async with rig() as env:
        (engine,) = await add_status_engines(env, ["pre-1"], kind="prefill", status=status)
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert engine.arrivals
        decodes = arrivals(env.engine_by_id.values())
        assert [each.headers.get("pimentoquay-kv-source") for each in decodes] == [None]


@pytest.mark.parametrize("status", STATUSES)
async def test_a_hold_with_such_a_status_is_none(status):
    async with rig() as env:
        engines = await add_status_engines(env, ["dec-1", "dec-2"], kind="hold", status=status)
        response = await env.stream(deadline_ms=1000)
        assert response.status in (429, 503)
        assert not arrivals(engines)
        known = env.gateway_by_vm["vm-1"].links.circuits.open_keys()
        assert {each.id for each in engines} & set(known), "counts as an error"


@pytest.mark.looptime(start=1000)
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", STATUSES)
async def test_such_a_status_is_no_answer_through_a_tunnel(status, path):
    async with rig() as env:
        await env.add_gateway("vm-2")
        engines = await add_status_engines(env, names_for(path), kind="")
        env.links.cut("vm-1", Cut.REFUSED)
        async with asyncio.timeout(20):
            while (await env.send_request(path, headers=model_headers())).status != 200:
                await env.gateway_by_vm["vm-1"].node.timers.sleep(0.2)
        for engine in engines:
            engine.arrivals.clear()
            engine.kind, engine.status = "request", status
        check_no_answer(await env.send_request(path, headers=model_headers()))
        assert arrivals(engines)
        assert env.gateway_by_vm["vm-1"].paths.cut_engines
