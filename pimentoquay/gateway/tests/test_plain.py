import asyncio

import pytest

from pimentoquay.gateway.tests.rig import configuration, rig, route, until
from pimentoquay.standin.platform_engine import Behaviour


def plain_arrivals(made):
    return [each for name in ("desk-1", "desk-2") for each in made.engine_by_id[name].arrivals]


def set_behaviour(made, *behaviours):
    """The first arrival meets the first behaviour, and so on; the last one stays."""
    left = list(behaviours)

    def choose(arrival):
        return left.pop(0) if len(left) > 1 else left[0]

    for name in ("desk-1", "desk-2"):
        made.engine_by_id[name].behaviour = choose


async def test_an_answer_comes_back_unchanged_with_its_signature():
    async with rig() as made:
        answer = await made.ask("/look/a?b=c", method="PUT", body=b"body")
        assert (answer.status, answer.is_whole) == (200, True)
        assert answer.body.startswith(b"answer of desk-")
        assert answer.headers["pimentoquay-server-stamp"].startswith("stamp-desk-")
        (arrival,) = plain_arrivals(made)
        assert (arrival.method, arrival.target, arrival.body) == ("PUT", "/look/a?b=c", b"body")
        assert arrival.headers["pimentoquay-expect-instance"] in ("desk-1", "desk-2")
        assert 0 < int(arrival.headers["pimentoquay-deadline-ms"]) <= 14_000


async def test_headers_of_one_connection_and_of_the_system_are_not_passed_on():
    async with rig() as made:
        headers = (
            (b"Connection", b"X-Hop"),
            (b"X-Hop", b"1"),
            (b"X-Kept", b"2"),
            (b"Pimentoquay-Kv-Hold", b"stolen"),
            (b"Pimentoquay-Stage", b"prefill"),
        )
        await made.ask("/look/a", headers=headers)
        (arrival,) = plain_arrivals(made)
        assert arrival.headers["x-kept"] == "2"
        assert not {"x-hop", "pimentoquay-kv-hold", "pimentoquay-stage"} & set(arrival.headers)


async def test_an_unknown_path_is_not_found_and_reaches_no_engine():
    async with rig() as made:
        assert (await made.ask("/nowhere/a")).status == 404
        assert plain_arrivals(made) == []


@pytest.mark.parametrize("behaviour", [Behaviour.FAIL, Behaviour.RESET, Behaviour.UNSIGNED])
async def test_a_call_that_may_be_repeated_is_sent_to_another_engine(behaviour):
    async with rig() as made:
        set_behaviour(made, behaviour, Behaviour.SERVE)
        answer = await made.ask("/look/a")
        assert answer.status == 200
        assert len(plain_arrivals(made)) == 2


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
    async with rig() as made:
        set_behaviour(made, behaviour)
        answer = await made.ask("/order/a")
        assert answer.status == status
        assert ("pimentoquay-server-stamp" in answer.headers) == (status == 500)
        assert len(plain_arrivals(made)) == 1


async def test_a_call_that_was_turned_away_with_proof_is_sent_again():
    async with rig() as made:
        set_behaviour(made, Behaviour.SHED, Behaviour.SERVE)
        assert (await made.ask("/order/a")).status == 200


async def test_a_refusal_says_when_to_return():
    async with rig() as made:
        set_behaviour(made, Behaviour.SHED)
        answer = await made.ask("/order/a")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0


async def test_an_engine_that_is_gone_is_passed_over_without_a_repeat():
    async with rig() as made:
        await made.engine_by_id["desk-1"].close()
        for number in range(4):
            assert (await made.ask(f"/order/{number}")).status == 200


async def test_another_engine_at_the_address_does_not_run_the_call():
    async with rig() as made:
        made.engine_by_id["desk-1"].id = "stranger"
        for number in range(4):
            assert (await made.ask(f"/order/{number}")).status == 200
        assert made.engine_by_id["desk-1"].arrivals == []


async def test_the_engine_stops_when_the_caller_leaves():
    async with rig() as made:
        set_behaviour(made, Behaviour.MUTE)
        desks = [made.engine_by_id["desk-1"], made.engine_by_id["desk-2"]]
        task = asyncio.create_task(made.ask("/order/a"))
        await until(lambda: any(desk.running for desk in desks), "running")
        task.cancel()
        await until(lambda: any(desk.broken_off for desk in desks), "broken off")
        assert not any(desk.running for desk in desks)


async def test_a_call_without_an_answer_ends_at_the_routes_timeout():
    async with rig() as made:
        document = configuration(2, (route("order", "non_idempotent", "desk", timeoutMs=200),))
        await made.store.put("keyed.op", "config", document)
        fleet = made.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 2, "version 2")
        set_behaviour(made, Behaviour.MUTE)
        assert (await made.ask("/order/a")).status == 504
