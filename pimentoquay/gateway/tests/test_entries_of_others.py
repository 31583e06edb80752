"""Entries that another writer puts under the ids of engines, in running deployments."""

import asyncio
import json
import time
from typing import Any

import pytest

from pimentoquay.gateway.tests.rig import configuration, rig, until
from pimentoquay.platform.tests.invalid_entries import INVALID_ENTRIES
from pimentoquay.policy.engine_list import CONTESTED_SECONDS
from pimentoquay.standin.platform_engine import PlatformEngine

ENGINES = "keyed.servers"

BEAT_SECONDS = 1.2

# In virtual time, as nothing here depends on the time that it takes.
pytestmark = pytest.mark.looptime(start=1000)


def later_ms():
    """Return a start an hour from now, in Unix milliseconds."""
    return int((time.time() + 3600) * 1000)


def foreign_entry(engine, **changes):
    """Return an entry in the form of an engine's, without a heartbeat of the engine."""
    number = engine.sequence
    item = json.loads(engine.entry())
    engine.sequence = number
    return json.dumps(item | changes).encode()


NOT_USABLE: dict[str, dict[str, Any]] = {
    "service that is not named": {"service": "kitchen", "born": 1000, "seq": 1},
    "start in the future": {"born": later_ms(), "seq": 1, "address": "127.9.9.9:9"},
    "no start": {"born": None, "address": "127.9.9.9:9"},
    "no number": {"seq": None, "address": "127.9.9.9:9"},
    "time of the start of another type": {"coldRemainingMs": "0", "address": "127.9.9.9:9"},
    "no time of the start": {"coldRemainingMs": None, "seq": 10**6, "service": "llm"},
    "no version": {"version": None, "seq": 10**6, "service": "llm"},
    "no version, draining": {"version": None, "seq": 10**6, "state": "draining"},
    "version that is a number": {"version": 3, "seq": 10**6, "service": "llm"},
    "version that is a list": {"version": ["v1"], "seq": 10**6, "service": "llm"},
    "state that is not named": {"state": "asleep", "seq": 10**6},
}
USABLE: dict[str, dict[str, Any]] = {
    "later start": {"born": 1000, "seq": 1, "address": "127.9.9.9:9"},
    "later start, draining": {"born": 1000, "seq": 1, "state": "draining"},
    "later start at another service": {"born": 1000, "seq": 1, "service": "llm"},
    "higher number": {"seq": 10**6, "address": "127.9.9.9:9"},
    "next number, draining": {"seq": 2, "state": "draining"},
}


def ids_at(env):
    return [
        {each.id for each in gateway.fleet.accepting_engines("desk")}
        for gateway in env.gateway_by_vm.values()
    ]


async def add_peers(env):
    """Add a gateway that has no access to the store, and one that has."""
    await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
    await env.add_gateway("vm-3")


def entries_at(env, engine_id):
    """Return the entry of an engine at all gateways, without its number."""
    return [
        next(
            (
                (each.service, each.address, each.is_draining, each.incarnation)
                for each in gateway.fleet.engines()
                if each.id == engine_id
            ),
            None,
        )
        for gateway in env.gateway_by_vm.values()
    ]


async def check_used(env, engine):
    """Check that all gateways send requests to an engine."""
    for vm in env.gateway_by_vm:
        calls = engine.calls
        for number in range(12):
            assert (await env.send_request(f"/look/{number}", vm=vm)).status == 200
        assert engine.calls > calls


@pytest.mark.parametrize("name", [*INVALID_ENTRIES, *NOT_USABLE])
async def test_an_entry_that_names_no_engine_to_use_displaces_none(name):
    """Each gateway took it for the newest, and passed over the heartbeats of the engine."""
    async with rig() as env:
        await add_peers(env)
        engine = env.engine_by_id["desk-1"]
        known = entries_at(env, "desk-1")
        data = INVALID_ENTRIES.get(name) or foreign_entry(engine, **NOT_USABLE[name])
        for _ in range(3):
            await env.store.put(ENGINES, "desk-1", data)
            await asyncio.sleep(BEAT_SECONDS)
            assert entries_at(env, "desk-1") == known
            await env.store.put(ENGINES, "desk-1", engine.entry())
        await asyncio.sleep(2 * CONTESTED_SECONDS)
        assert entries_at(env, "desk-1") == known
        await check_used(env, engine)


@pytest.mark.parametrize("name", USABLE)
async def test_an_engine_is_used_again_with_its_second_heartbeat_after_an_entry_of_its_form(name):
    """The engine was used by none of the gateways until they started again."""
    async with rig() as env:
        await add_peers(env)
        engine = env.engine_by_id["desk-1"]
        known = entries_at(env, "desk-1")
        for step in (0, 10):
            changes = USABLE[name] | {"seq": USABLE[name]["seq"] + step}
            await env.store.put(ENGINES, "desk-1", foreign_entry(engine, **changes))
            await until(lambda: entries_at(env, "desk-1") != known, "displaced")
            await asyncio.sleep(BEAT_SECONDS)
            for _ in range(2):
                await env.store.put(ENGINES, "desk-1", engine.entry())
                await asyncio.sleep(BEAT_SECONDS)
            assert entries_at(env, "desk-1") == known
            await check_used(env, engine)


async def test_a_peer_that_connects_later_takes_over_what_the_others_found_out():
    async with rig() as env:
        second = await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        engine = env.engine_by_id["desk-1"]
        known = entries_at(env, "desk-1")
        await env.store.put(ENGINES, "desk-1", foreign_entry(engine, **USABLE["later start"]))
        await until(lambda: entries_at(env, "desk-1") != known, "displaced")
        await asyncio.sleep(BEAT_SECONDS)
        for channel in second.peers.channels("gateway"):
            await channel.close()
        for _ in range(2):
            await env.store.put(ENGINES, "desk-1", engine.entry())
            await asyncio.sleep(BEAT_SECONDS)
        await until(lambda: entries_at(env, "desk-1") == known, "taken over")


async def test_an_engine_whose_entry_cannot_be_used_and_that_is_silent_is_removed_everywhere():
    async with rig() as env:
        await add_peers(env)
        await env.store.put(ENGINES, "desk-1", b"{")
        await asyncio.sleep(CONTESTED_SECONDS - 1.0)
        assert all("desk-1" in ids for ids in ids_at(env))
        await asyncio.sleep(3.0)
        assert not any("desk-1" in ids for ids in ids_at(env))
        await env.store.put(ENGINES, "desk-1", env.engine_by_id["desk-1"].entry())
        await until(lambda: all("desk-1" in ids for ids in ids_at(env)), "listed again")


async def test_an_engine_with_such_an_entry_is_kept_while_the_store_is_away():
    async with rig() as env:
        engine, gateway = env.engine_by_id["desk-1"], env.gateway_by_vm["vm-1"]
        await env.store.put(ENGINES, "desk-1", b"{")
        await asyncio.sleep(BEAT_SECONDS)
        host, _, port = env.store_address.rpartition(":")
        await env.store.close()
        await asyncio.sleep(3 * CONTESTED_SECONDS)
        assert "desk-1" in ids_at(env)[0]
        await env.store.serve(host, int(port))
        age = gateway.fleet.own_list_age
        await until(lambda: gateway.fleet.own_list_age < age, "read")
        assert "desk-1" in ids_at(env)[0]
        await env.store.put(ENGINES, "desk-1", engine.entry())
        await asyncio.sleep(CONTESTED_SECONDS)
        assert "desk-1" in ids_at(env)[0]


async def test_engines_of_a_service_that_is_configured_after_them_are_used():
    async with rig() as env:
        await add_peers(env)
        new = await env.add_engine(PlatformEngine("new-1", "kitchen"))
        await asyncio.sleep(BEAT_SECONDS)
        document = json.loads(configuration(7))
        document["services"].append(document["services"][0] | {"name": "kitchen"})
        for each in document["routes"]:
            if each["name"] == "look":
                each["service"] = "kitchen"
        await env.store.put("keyed.op", "config", json.dumps(document).encode())
        fleets = [each.fleet for each in env.gateway_by_vm.values()]
        await until(lambda: all(each.configuration.version == 7 for each in fleets), "in force")
        await check_used(env, new)


async def test_a_gateway_whose_clock_is_behind_uses_engines_from_their_second_heartbeat():
    async with rig() as env:
        engine = env.engine_by_id["desk-1"]
        engine.born = later_ms()
        for number in range(2):
            await env.store.put(ENGINES, "desk-1", engine.entry())
            await asyncio.sleep(BEAT_SECONDS)
            assert (entries_at(env, "desk-1")[0][-1] == engine.born) is (number == 1)
        # One that has no access to the store has it from its peer, whose word it takes.
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await until(lambda: entries_at(env, "desk-1")[1] == entries_at(env, "desk-1")[0], "told")
