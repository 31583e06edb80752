"""Engines that write an earlier answer once more on a kept connection."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.standin.platform_engine import Behaviour

WITH_ID = pytest.mark.parametrize("names_refused", [True, False], ids=["id", "no id"])


def runs(env, request_id):
    """Return how often engines ran a request, other than to read its prompt."""
    return sum(
        each.headers.get("pimentoquay-request-id") == request_id and not each.is_prefill
        for engine in env.engine_by_id.values()
        for each in engine.arrivals
    ) - sum(shed == request_id for shed in env.shed)


def shed(env, engine, is_shed):
    """Let an engine refuse the requests for which ``is_shed`` is true."""
    env.shed = getattr(env, "shed", [])

    def choose(arrival):
        if not is_shed(arrival):
            return Behaviour.SERVE
        env.shed.append(arrival.headers["pimentoquay-request-id"])
        return Behaviour.SHED

    engine.behaviour = choose


def copy_once(engine, is_copied, before):
    """Let an engine copy the last answer that ``is_copied``, once, before a request."""

    def choose(served, earlier):
        copied = [each for each in earlier if is_copied(each)]
        if engine.late_copies.written or not copied or not before(served):
            return None
        return copied[-1]

    engine.late_copies.before = choose


def is_refusal(served):
    return served.status == 503


def hold_refusals(engine, count):
    """Let an engine refuse its next ``count`` reservations."""
    create = engine._create_hold
    left = [count]

    def refuse(tokens, reply):
        if left[0] > 0:
            left[0] -= 1
            reply.send(503, ((b"Pimentoquay-Not-Executed", b"1"),), b"")
        else:
            create(tokens, reply)

    engine._create_hold = refuse


def check_served_once(env, response, request_id):
    assert (response.status, response.is_whole) == (200, True)
    assert runs(env, request_id) == 1


async def only_engine(env, service, keep):
    """Take all other engines of a service and stage off the list, and return the one kept."""
    engine = env.engine_by_id[keep]
    fleet = env.gateway_by_vm["vm-1"].fleet
    for other in tuple(env.engine_by_id.values()):
        if other.service == service and other.stage == engine.stage and other is not engine:
            await env.store.put("keyed.servers", other.id, b"")
            await until(lambda id=other.id: id not in [e.id for e in fleet.engines()], "gone")
    env.shed = []
    return engine


@pytest.mark.parametrize("path", ["/sheet/a", "/digest/a"])
async def test_a_copy_of_a_refused_reservation_is_no_answer_to_a_stream(path):
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        hold_refusals(engine, 1)
        copy_once(engine, is_refusal, lambda served: served.request_id != "")
        assert (await env.stream(path, request_id="r1")).status == 429
        await asyncio.sleep(0.5)
        response = await env.stream(path, request_id="r2")
        check_served_once(env, response, "r2")


@pytest.mark.parametrize("path", ["/sheet/a", "/digest/a"])
async def test_a_copy_of_the_answer_to_a_call_is_no_answer_to_a_stream(path):
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        copy_once(engine, lambda each: not each.request_id, lambda served: served.request_id != "")
        response = await env.stream(path, request_id="r1")
        assert engine.late_copies.written
        check_served_once(env, response, "r1")


@WITH_ID
@pytest.mark.parametrize("path", ["/look/b", "/order/b"])
async def test_a_copy_of_a_refusal_is_no_answer_to_a_later_call(path, names_refused):
    async with rig() as env:
        engine = await only_engine(env, "desk", "desk-1")
        engine.names_refused = names_refused
        shed(env, engine, lambda arrival: arrival.target.endswith("/a"))
        copy_once(engine, is_refusal, lambda served: served.target.endswith("/b"))
        assert (await env.send_request("/order/a", request_id="r1")).status == 503
        assert (await env.send_request("/look/c", request_id="r2")).status == 200
        response = await env.send_request(path, request_id="r3")
        check_served_once(env, response, "r3")


@WITH_ID
@pytest.mark.parametrize("path", ["/sheet/b", "/digest/b"])
async def test_a_copy_of_a_refused_stream_is_no_answer_to_a_later_stream(path, names_refused):
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        engine.names_refused = names_refused
        shed(env, engine, lambda arrival: arrival.target.endswith("/a"))
        copy_once(
            engine, lambda each: is_refusal(each) and each.target == "/sheet/a", is_stream_to_b
        )
        await env.stream("/sheet/a", request_id="r1")
        response = await env.stream(path, request_id="r2")
        check_served_once(env, response, "r2")


def is_stream_to_b(served):
    return served.target.endswith("/b")


@WITH_ID
async def test_a_copy_of_a_refused_prefill_is_no_answer_to_a_later_prefill(names_refused):
    async with rig() as env:
        engine = await only_engine(env, "llm", "pre-1")
        engine.names_refused = names_refused
        shed(env, engine, lambda arrival: arrival.target.endswith("/a"))
        copy_once(engine, is_refusal, is_stream_to_b)
        await env.stream("/digest/a", request_id="r1")
        assert (await env.stream("/sheet/b", request_id="r2")).status == 200
        decoded = [
            each
            for name in ("dec-1", "dec-2")
            for each in env.engine_by_id[name].arrivals
            if each.headers["pimentoquay-request-id"] == "r2"
        ]
        assert [each.headers["pimentoquay-kv-source"] for each in decoded] != []


@WITH_ID
@pytest.mark.parametrize("path", ["/order/a", "/look/a"])
async def test_a_copy_of_the_refusal_of_an_earlier_attempt_is_no_answer(path, names_refused):
    """The caller sends its call again under the same id."""
    async with rig() as env:
        engine = await only_engine(env, "desk", "desk-1")
        engine.names_refused = names_refused
        shed(env, engine, lambda arrival: len(engine.arrivals) == 1)
        copy_once(engine, is_refusal, lambda served: True)
        assert (await env.send_request(path, request_id="r1")).status == 503
        response = await env.send_request(path, request_id="r1")
        check_served_once(env, response, "r1")


@pytest.mark.parametrize("path", ["/sheet/a", "/digest/a"])
async def test_a_copy_of_the_refusal_of_a_stream_is_no_answer_to_its_next_attempt(path):
    """The gateway sends the stream once more to the engine that refused it."""
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        shed(env, engine, lambda arrival: len(engine.arrivals) == 1)
        copy_once(engine, is_refusal, lambda served: served.request_id == "r1")
        response = await env.stream(path, request_id="r1")
        check_served_once(env, response, "r1")


async def test_a_copy_of_a_reservation_is_no_answer_to_a_later_reservation():
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        is_hold = lambda served: served.target == "/api/hold-take"  # noqa: E731
        copy_once(engine, is_hold, is_hold)
        link = link_of(env.gateway_by_vm["vm-1"], "dec-1")
        holds = []
        for _ in range(3):
            status, body = await link.call(link.calls.reserve_memory(16, 1.0))
            holds.append(link.calls.parse_hold(body))
        assert engine.late_copies.written
        assert status == 200
        assert len(set(holds)) == 3
        assert set(holds) <= set(engine.holds)


async def test_a_copy_of_a_release_is_no_answer_to_a_later_reservation():
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        copy_once(
            engine,
            lambda each: "hold-drop" in each.target,
            lambda served: served.target == "/api/hold-take",
        )
        link = link_of(env.gateway_by_vm["vm-1"], "dec-1")
        assert (await link.call(link.calls.release_memory("h0")))[0] == 200
        _, body = await link.call(link.calls.reserve_memory(16, 1.0))
        assert engine.late_copies.written
        assert link.calls.parse_hold(body) in engine.holds


async def test_a_copy_of_a_refused_reservation_is_no_answer_to_a_later_one():
    async with rig() as env:
        engine = await only_engine(env, "llm", "dec-1")
        hold_refusals(engine, 1)
        copy_once(engine, is_refusal, lambda served: served.target == "/api/hold-take")
        link = link_of(env.gateway_by_vm["vm-1"], "dec-1")
        assert (await link.call(link.calls.reserve_memory(16, 1.0)))[0] == 503
        assert (await link.call(link.calls.reserve_memory(16, 1.0)))[0] == 200


def link_of(gateway, engine_id):
    entry = next(each for each in gateway.fleet.engines() if each.id == engine_id)
    return gateway.links.link_to(entry)


async def test_a_copy_of_the_answer_to_an_order_is_no_answer_to_a_later_order():
    async with rig() as env:
        engine = env.engine_by_id["dec-2"]
        is_order = lambda served: served.target == "/api/order"  # noqa: E731
        copy_once(engine, is_order, is_order)
        link = link_of(env.gateway_by_vm["vm-1"], "dec-2")
        assert (await link.order(link.calls.change_stage(False, "vm-1", 7), 1.0))[0] == 202
        assert (await link.order(link.calls.change_stage(True, "vm-1", 6), 1.0))[0] == 412


@pytest.mark.parametrize("seconds", [0.0, 0.02], ids=["at once", "idle"])
async def test_a_copy_that_follows_its_answer_is_no_answer_to_the_next_request(seconds):
    async with rig() as env:
        engine = await only_engine(env, "desk", "desk-1")
        engine.names_refused = False
        shed(env, engine, lambda arrival: arrival.target.endswith("/a"))
        engine.late_copies.after = lambda served: seconds if is_refusal(served) else None
        await env.send_request("/order/a", request_id="r1")
        await asyncio.sleep(0.05)
        response = await env.send_request("/order/b", request_id="r2")
        assert (response.status, runs(env, "r2")) == (200, 1)
