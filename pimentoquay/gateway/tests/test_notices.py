"""Engines that announce in their responses that they leave, or that ask for a pause."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.standin.platform_engine import PlatformEngine


async def test_an_engine_that_says_it_leaves_gets_no_new_requests_though_it_is_listed_as_ready():
    async with rig() as env:
        desk = env.engine_by_id["desk-1"]
        desk.is_leaving = True
        await until_used(env, desk)
        calls = desk.calls
        await env.store.put("keyed.servers", "desk-1", desk.entry())
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: heartbeat_of(fleet, "desk-1") == desk.sequence, "heartbeat read")
        for number in range(6):
            assert (await env.send_request(f"/look/{number}")).status == 200
        assert desk.calls == calls


@pytest.mark.parametrize("engine_id", ["pre-1", "dec-1"])
async def test_a_leaving_notice_in_any_response_ends_reservations_and_prefills(engine_id):
    async with rig() as env:
        engine = env.engine_by_id[engine_id]
        engine.is_leaving = True
        for number in range(4):
            assert (await env.stream(f"/digest/{number}")).status == 200
        notices = env.gateway_by_vm["vm-1"].fleet.notices
        assert notices.leaving == (EngineStart(engine_id, 1),)
        calls = engine.calls
        for number in range(4):
            assert (await env.stream(f"/digest/{number}")).status == 200
        assert engine.calls == calls


async def test_peers_learn_that_an_engine_is_leaving_also_those_that_connect_later():
    async with rig() as env:
        second = await env.add_gateway("vm-2")
        # Both have dialled; a channel that opens later would tell all that is known.
        await until(lambda: len(second.peers.channels("gateway")) == 2, "both channels")
        env.engine_by_id["dec-1"].is_leaving = True
        await env.stream()
        await env.stream()
        left = EngineStart("dec-1", 1)
        await until(lambda: second.fleet.notices.is_leaving(left), "told")
        third = await env.add_gateway("vm-3")
        await until(lambda: third.fleet.notices.is_leaving(left), "told on connecting")


async def test_a_new_start_under_the_same_id_is_used_again():
    async with rig() as env:
        desk = env.engine_by_id["desk-1"]
        desk.is_leaving = True
        await until_used(env, desk)
        await env.engine_by_id.pop("desk-1").close()
        restarted = await env.add_engine(PlatformEngine("desk-1", "desk", born=2))
        await remove_from_list(env, "desk-2")
        await until_used(env, restarted)


@pytest.mark.parametrize("path", ["/look/a", "/digest/a"])
async def test_callers_are_refused_until_the_first_engine_ends_its_pause(path):
    async with rig() as env:
        for engine in env.engine_by_id.values():
            engine.retry_after = "30"
        env.engine_by_id["desk-2"].retry_after = env.engine_by_id["dec-2"].retry_after = "7.5"
        responses = [await env.stream(path) for _ in range(6)]
        assert {response.status for response in responses} == {503}
        waits = [float(response.headers["retry-after"]) for response in responses[-3:]]
        assert all(6.0 < wait <= 7.5 for wait in waits)


async def test_nothing_is_sent_to_an_engine_during_its_pause():
    async with rig() as env:
        engine = env.engine_by_id["dec-1"]
        engine.retry_after = "60"
        await until_used(env, engine, "/digest/a")
        engine.retry_after = ""
        calls = engine.calls
        for number in range(6):
            assert (await env.stream(f"/digest/{number}")).status == 200
        assert engine.calls == calls
        links = env.gateway_by_vm["vm-1"].links
        notices = env.gateway_by_vm["vm-1"].fleet.notices
        link = next(each for each in links._link_by_id.values() if each.entry.id == "dec-1")
        await until(lambda: not notices.may_send(link.entry.start, now()), "past the grace")
        links.call_in_background(link, link.calls.release_memory("h"), "drop")
        withheld = notices.sends_withheld
        await until(lambda: notices.sends_withheld > withheld or engine.calls > calls, "tried")
        assert engine.calls == calls


@pytest.mark.parametrize("value", ["-3", "soon", "nan", "Fri, 04 Dec 2026 09:30:00 GMT"])
async def test_a_pause_that_is_no_number_of_seconds_is_ignored(value):
    async with rig() as env:
        desk = env.engine_by_id["desk-1"]
        await remove_from_list(env, "desk-2")
        desk.retry_after = value
        await until_used(env, desk)
        desk.retry_after = ""
        assert env.gateway_by_vm["vm-1"].fleet.notices.pauses_requested == 0
        await until_used(env, desk)


async def remove_from_list(env, engine_id):
    await env.store.put("keyed.servers", engine_id, b"")
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: engine_id not in {each.id for each in fleet.engines()}, "removed")


def now():
    return asyncio.get_running_loop().time()


def heartbeat_of(fleet, engine_id):
    return fleet.engine_list._known_by_id[engine_id].entry.sequence


async def until_used(env, engine, path="/look/a"):
    """Send requests until one reaches the engine."""
    calls = engine.calls
    for _ in range(30):
        if engine.calls > calls:
            return
        await env.stream(path)
    raise AssertionError(f"{engine.id} was not used")
