import asyncio

import pytest

from pimentoquay.gateway.tests.rig import configuration, rig, route, until
from pimentoquay.standin.platform_engine import Behaviour


def plain_arrivals(env):
    return [each for name in ("desk-1", "desk-2") for each in env.engine_by_id[name].arrivals]


def set_behaviour(env, *behaviours):
    """Use one behaviour for each request in turn; the last one applies to all further requests."""
    remaining = list(behaviours)

    def choose(arrival):
        return remaining.pop(0) if len(remaining) > 1 else remaining[0]

    for name in ("desk-1", "desk-2"):
        env.engine_by_id[name].behaviour = choose


async def test_a_response_is_returned_unchanged_with_its_signature():
    async with rig() as env:
        response = await env.send_request("/look/a?b=c", method="PUT", body=b"body")
        assert (response.status, response.is_whole) == (200, True)
        assert response.body.startswith(b"answer of desk-")
        assert response.headers["pimentoquay-server-stamp"].startswith("stamp-desk-")
        (arrival,) = plain_arrivals(env)
        assert (arrival.method, arrival.target, arrival.body) == ("PUT", "/look/a?b=c", b"body")
        assert arrival.headers["pimentoquay-expect-instance"] in ("desk-1", "desk-2")
        assert 0 < int(arrival.headers["pimentoquay-deadline-ms"]) <= 14_000


async def test_hop_by_hop_and_system_headers_are_not_forwarded():
    async with rig() as env:
        headers = (
            (b"Connection", b"X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"2"),
            (b"Pimentoquay-Kv-Hold", b"stolen"),
            (b"Pimentoquay-Stage", b"prefill"),
        )
        await env.send_request("/look/a", headers=headers)
        (arrival,) = plain_arrivals(env)
        assert arrival.headers["x-kept"] == "2"
        assert not {"x-hop", "pimentoquay-kv-hold", "pimentoquay-stage"} & set(arrival.headers)


async def test_an_unknown_path_is_not_found_and_reaches_no_engine():
    async with rig() as env:
        assert (await env.send_request("/nowhere/a")).status == 404
        assert plain_arrivals(env) == []


@pytest.mark.parametrize("behaviour", [Behaviour.FAIL, Behaviour.RESET, Behaviour.UNSIGNED])
async def test_a_failed_idempotent_call_is_sent_to_another_engine(behaviour):
    async with rig() as env:
        set_behaviour(env, behaviour, Behaviour.SERVE)
        response = await env.send_request("/look/a")
        assert response.status == 200
        assert len(plain_arrivals(env)) == 2


@pytest.mark.parametrize(
    "behaviour, status",
    [
        (Behaviour.FAIL, 500),
        (Behaviour.RESET, 502),
        (Behaviour.UNSIGNED, 502),
        (Behaviour.ENCODED, 502),
    ],
)
async def test_a_call_that_may_have_run_is_not_sent_again(behaviour, status):
    async with rig() as env:
        set_behaviour(env, behaviour)
        response = await env.send_request("/order/a")
        assert response.status == status
        assert ("pimentoquay-server-stamp" in response.headers) == (status == 500)
        assert len(plain_arrivals(env)) == 1


async def test_a_call_that_provably_did_not_run_is_sent_again():
    async with rig() as env:
        set_behaviour(env, Behaviour.SHED, Behaviour.SERVE)
        assert (await env.send_request("/order/a")).status == 200


async def test_a_refusal_has_a_retry_after_header():
    async with rig() as env:
        set_behaviour(env, Behaviour.SHED)
        response = await env.send_request("/order/a")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0


async def test_an_unreachable_engine_is_skipped():
    async with rig() as env:
        await env.engine_by_id["desk-1"].close()
        for number in range(4):
            assert (await env.send_request(f"/order/{number}")).status == 200


async def test_another_engine_at_the_address_does_not_run_the_call():
    async with rig() as env:
        env.engine_by_id["desk-1"].id = "stranger"
        for number in range(4):
            assert (await env.send_request(f"/order/{number}")).status == 200
        assert env.engine_by_id["desk-1"].arrivals == []


async def test_the_engine_stops_when_the_caller_disconnects():
    async with rig() as env:
        set_behaviour(env, Behaviour.MUTE)
        desks = [env.engine_by_id["desk-1"], env.engine_by_id["desk-2"]]
        task = asyncio.create_task(env.send_request("/order/a"))
        await until(lambda: any(desk.running for desk in desks), "running")
        task.cancel()
        await until(lambda: any(desk.incomplete_responses for desk in desks), "broken off")
        assert not any(desk.running for desk in desks)


async def test_a_call_without_a_response_ends_at_the_routes_timeout():
    async with rig() as env:
        document = configuration(2, (route("order", "non_idempotent", "desk", timeoutMs=200),))
        await env.store.put("keyed.op", "config", document)
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 2, "version 2")
        set_behaviour(env, Behaviour.MUTE)
        assert (await env.send_request("/order/a")).status == 504


async def test_an_answer_without_length_or_chunks_is_whole_at_the_end_of_its_connection():
    async with rig() as env:
        set_behaviour(env, Behaviour.UNFRAMED)
        for path in ("/look/a", "/order/a"):
            response = await env.send_request(path)
            assert (response.status, response.is_whole) == (200, True)
            assert response.body.startswith(b"answer of desk-")


async def test_an_answer_without_length_or_chunks_whose_connection_is_reset_is_not_whole():
    async with rig() as env:
        set_behaviour(env, Behaviour.UNFRAMED_RESET)
        assert (await env.send_request("/order/a")).status == 502
        assert len(plain_arrivals(env)) == 1
        set_behaviour(env, Behaviour.UNFRAMED_RESET, Behaviour.SERVE)
        assert (await env.send_request("/look/a")).status == 200
