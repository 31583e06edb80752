"""Invalid records of other writers in the store, beside sound ones and under load."""

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.kernel.errors import HttpError
from pimentoquay.kernel.input_checks import refused_by_kind
from pimentoquay.kernel.logs import logger
from pimentoquay.messages import encode
from pimentoquay.messages.fleet import FleetCopy, VmAddress
from pimentoquay.messages.streams import StreamsBegun, VersionStreams
from pimentoquay.platform.store import (
    PROMPT_TOPIC,
    STREAM_TOPIC,
    VERSION_TOPIC,
    VM_TOPIC,
)
from pimentoquay.platform.tests.invalid_entries import (
    ADDRESSES,
    HALF,
    INVALID_ENTRIES,
    NESTED,
    NUMBERS,
    TEXTS,
    sound_entry,
)
from pimentoquay.standin.platform_engine import PlatformEngine

ENGINES = "keyed.servers"

HALF_KEY = "i-\udced\udca0\udcbd"
"""A key with bytes that are not UTF-8."""

HUGE = 10**3000

# In virtual time, as nothing here depends on the time that it takes.
pytestmark = pytest.mark.looptime(start=1000)


async def check_served(env, served):
    """Check that all gateways run and serve, and follow the list of engines."""
    vms = list(env.gateway_by_vm)
    fleets = [env.gateway_by_vm[vm].fleet for vm in vms]
    for vm in vms:
        for path in ("/look/a", "/order/a"):
            assert (await env.send_request(path, vm=vm)).status == 200
        assert (await env.stream(vm=vm)).status == 200
    new, left = f"desk-{len(vms)}-new", "desk-2"
    await env.add_engine(PlatformEngine(new, "desk"))
    await env.store.put(ENGINES, left, b"")

    def follows(fleet):
        ids = {engine.id for engine in fleet.accepting_engines("desk")}
        return new in ids and left not in ids

    await until(lambda: all(follows(each) for each in fleets), "list followed")
    await env.store.put(ENGINES, left, env.engine_by_id[left].entry())
    await until(lambda: not any(follows(each) for each in fleets), "back again")
    listed = {engine.id for fleet in fleets for engine in fleet.engines()}
    assert listed - served == set(env.engine_by_id)
    assert [vm for vm in vms if env._task_by_vm[vm].done()] == []


async def play(records, served=frozenset()):
    """Put invalid records into a running deployment, then start gateways and check all of them.

    One gateway has no access to the store, so that it gets all records from its peer.
    """
    async with rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        for topic, key, value in records:
            await env.store.put(topic, key, value)
        await asyncio.sleep(0.5)
        await check_served(env, served)
        await env.add_gateway("vm-0")
        await env.add_gateway("vm-3", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await asyncio.sleep(0.5)
        await check_served(env, served)
        return sum(
            gateway.fleet.engine_list._position_by_id.get("i-other", -1) >= 0
            for gateway in env.gateway_by_vm.values()
        )


def one_of_each(*groups):
    return [pytest.param(data, id=name) for group in groups for name, data in group.items()]


@pytest.mark.parametrize("data", one_of_each(TEXTS))
async def test_gateways_go_on_beside_an_entry_whose_text_has_no_encoding(data):
    """Each gateway ended with UnicodeEncodeError, and again after each start."""
    assert await play([(ENGINES, "i-other", data)])


@pytest.mark.parametrize(
    "topic, value",
    [
        (ENGINES, sound_entry()),
        (VM_TOPIC, b'{"address": "vm-9:1", "data_centre": "hall"}'),
        (PROMPT_TOPIC, b'{"parts": ["a"], "engines": [["e", 1]]}'),
        (VERSION_TOPIC, b'{"service": "desk", "version": "v0"}'),
        (STREAM_TOPIC, encode(StreamsBegun((VersionStreams("llm", "v0", b"12345678"),)))),
    ],
)
async def test_gateways_go_on_beside_a_key_that_has_no_encoding(topic, value):
    await play([(topic, HALF_KEY, value)])


async def test_records_after_a_key_that_cannot_be_read_are_listed():
    async with rig(start_gateway=False) as env:
        await env.store.put(ENGINES, HALF_KEY, sound_entry())
        await env.add_engine(PlatformEngine("z-1", "desk"))
        env.store.page_size = 2
        gateway = await env.add_gateway()
        assert {engine.id for engine in gateway.fleet.engines()} == set(env.engine_by_id)


@pytest.mark.parametrize("address", ["127.9..9:80", "a\x00b:80", "127.0.0.1:99999"])
async def test_gateways_go_on_if_attempts_to_connect_to_engines_raise(address, monkeypatch):
    """Streams got 500 with UnicodeError, and the gateway that ordered a change of stage ended."""
    for name in ("platform.engine_entry:check_address", "transport.addresses:MAX_PORT"):
        module, _, attribute = name.partition(":")
        value = 10**6 if attribute == "MAX_PORT" else str
        monkeypatch.setattr(f"pimentoquay.{module}.{attribute}", value)
    async with rig() as env:
        await env.add_gateway("vm-2")
        for number, stage in enumerate(("prefill", "decode", "decode")):
            engine = PlatformEngine(f"other-{number}", "llm", stage=stage)
            await engine.serve()
            env.engine_by_id[engine.id] = engine
            entry = json.loads(engine.entry()) | {"address": address}
            await env.store.put(ENGINES, engine.id, json.dumps(entry).encode())
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: len(fleet.accepting_engines("llm")) == 6, "listed")
        for _ in range(6):
            for vm in env.gateway_by_vm:
                assert (await env.stream(vm=vm)).status == 200
        engine = next(each for each in fleet.engines() if each.id == "other-1")
        link = env.gateway_by_vm["vm-1"].links.link_to(engine)
        with pytest.raises(HttpError):
            await link.order(link.calls.change_stage(True, "vm-1", 1), 1.0)
        await check_served(env, frozenset())


def vm_record(**changes):
    return json.dumps({"address": "vm-9:1", "data_centre": "hall"} | changes).encode()


RECORDS_WITH_INVALID_TEXT = {
    "address of a VM": (VM_TOPIC, "vm-9", vm_record(address=HALF)),
    "data centre of a VM": (VM_TOPIC, "vm-9", vm_record(data_centre=HALF)),
    "tunnel address of a VM": (VM_TOPIC, "vm-9", vm_record(tunnel_address=HALF)),
    "part of a prompt": (
        PROMPT_TOPIC,
        "p",
        json.dumps({"parts": [HALF], "engines": [["a", 1], ["b", 1], ["c", 1]]}).encode(),
    ),
    "engine in a quarantine": (
        PROMPT_TOPIC,
        "p",
        json.dumps({"parts": ["x"], "engines": [[HALF, 1], ["b", 1], ["c", 1]]}).encode(),
    ),
    "version": (
        VERSION_TOPIC,
        "v",
        json.dumps({"service": "llm", "version": HALF}).encode(),
    ),
    "service of a version": (
        VERSION_TOPIC,
        "v",
        json.dumps({"service": HALF, "version": "v9"}).encode(),
    ),
}


@pytest.mark.parametrize("name", RECORDS_WITH_INVALID_TEXT)
async def test_gateways_go_on_beside_a_record_whose_text_has_no_encoding(name):
    await play([RECORDS_WITH_INVALID_TEXT[name]])


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(data, id=name)
        for name, data in (NUMBERS | NESTED).items()
        if name.startswith(("slotCount = 1", "slotCount = N", "deeply", "seq = 9", "born = 9"))
    ],
)
async def test_gateways_go_on_beside_an_entry_with_a_number_too_large_or_nested(data):
    assert await play([(ENGINES, "i-other", data)])


RECORDS_OUT_OF_RANGE = {
    "nested address of a VM": (VM_TOPIC, "vm-9", NESTED["deeply nested zone"]),
    "nested quarantine": (PROMPT_TOPIC, "p", NESTED["deeply nested and cut"]),
    "nested version": (VERSION_TOPIC, "v", NESTED["deeply nested objects"]),
    "nested origins": (STREAM_TOPIC, "s", b"\x81" * 100_000),
    "huge start in a quarantine": (
        PROMPT_TOPIC,
        "p",
        json.dumps({"parts": ["x"], "engines": [["a", HUGE], ["b", 1], ["c", HUGE]]}).encode(),
    ),
    "nested configuration": ("keyed.op", "config", NESTED["deeply nested and cut"]),
    "configuration with a huge number": (
        "keyed.op",
        "config",
        json.dumps({"version": HUGE, "routes": [], "services": []}).encode(),
    ),
    "configuration with a huge time": (
        "keyed.op",
        "config",
        json.dumps(
            {
                "version": 2,
                "routes": [],
                "services": [],
                "limits": {"idleTimeoutMs": HUGE},
            }
        ).encode(),
    ),
}


@pytest.mark.parametrize("name", RECORDS_OUT_OF_RANGE)
async def test_gateways_go_on_beside_a_record_with_a_number_too_large_or_nested(name):
    topic, key, value = RECORDS_OUT_OF_RANGE[name]
    async with rig() as env:
        await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await env.store.put(topic, key, value)
        await asyncio.sleep(0.5)
        await check_served(env, frozenset())


def document(routes=(), services=()):
    return json.dumps({"version": 2, "routes": routes, "services": services}).encode()


SPLIT = {"kind": "stream", "host": "h", "pathPrefix": "/", "timeoutMs": 1, "targetLatencyMs": 1}

DOCUMENTS_WITH_OTHER_TYPES = {
    "route in a list": document(routes=[[{"name": "look"}]]),
    "text as a route": document(routes=["look"]),
    "number as a service": document(services=[7]),
    "no service": document(services=[None]),
    "text as a part of the traffic": document(routes=[SPLIT | {"trafficSplit": ["llm"]}]),
}


@pytest.mark.parametrize("data", one_of_each(DOCUMENTS_WITH_OTHER_TYPES))
async def test_gateways_go_on_beside_a_configuration_whose_parts_are_no_objects(data):
    """Each gateway ended with AttributeError, and again after each start."""
    await play([("keyed.op", "config", data)])


@pytest.mark.parametrize("data", one_of_each(ADDRESSES))
async def test_gateways_go_on_beside_an_entry_whose_address_cannot_be_connected(data):
    assert await play([(ENGINES, "i-other", data)])


async def test_an_invalid_entry_of_a_listed_engine_names_none_and_the_engine_s_own_holds():
    async with rig() as env:
        fleet, engine = env.gateway_by_vm["vm-1"].fleet, env.engine_by_id["desk-1"]
        known = fleet.accepting_engines("desk")
        for data in INVALID_ENTRIES.values():
            refused = refused_by_kind["engine entry"]
            await env.store.put(ENGINES, "desk-1", engine.entry())
            await env.store.put(ENGINES, "desk-1", data)
            await until(lambda: refused_by_kind["engine entry"] > refused, "refused")  # noqa: B023
            assert {replace(each, sequence=1) for each in fleet.accepting_engines("desk")} == set(
                known
            )
        assert (await env.send_request("/look/a")).status == 200
        assert env.gateway_by_vm["vm-1"].dispatcher.is_ready
        # No heartbeat of the engine follows the last one.
        await until(lambda: len(fleet.accepting_engines("desk")) == 1, "not listed")
        assert (await env.send_request("/look/a")).status == 200
        await env.store.put(ENGINES, "desk-1", engine.entry())
        await until(lambda: len(fleet.accepting_engines("desk")) == 2, "listed")


UNUSABLE_ADDRESSES = ("127.9..9:80", "vm-9:65536", "vm-9:0", "[::1:1", "a b:1", "vm-9:８０")


@pytest.mark.parametrize("field", ["address", "tunnel_address"])
@pytest.mark.parametrize("address", UNUSABLE_ADDRESSES)
async def test_an_address_of_a_vm_that_cannot_be_connected_names_no_peer(field, address):
    async with rig() as env:
        second = await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        await env.store.put(VM_TOPIC, "vm-9", vm_record(**{field: address}))
        third = await env.add_gateway("vm-3")
        told = VmAddress("vm-8", "vm-8:1", "hall", 99, "")
        third.mesh.publish(FleetCopy(-1, b"", (), -1, (replace(told, **{field: address}),)))
        await asyncio.sleep(0.5)
        known = {vm for each in (second, third) for vm in each.mesh.addresses.by_vm}
        assert known == {"vm-1", "vm-2", "vm-3"}
        await check_served(env, frozenset())


async def test_what_was_ignored_is_counted_and_named_in_the_log():
    lines: list[Any] = []
    sink = logger.add(lines.append)
    async with rig() as env:
        before = refused_by_kind["engine entry"]
        await env.store.put(ENGINES, "i-other", TEXTS["version cut within a character"])
        await until(lambda: refused_by_kind["engine entry"] > before, "counted")
        text = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.text()
    logger.remove(sink)
    assert 'inputs_refused_total{kind="engine entry"}' in text
    named = [each.record for each in lines if "invalid engine entry" in each]
    assert "i-other" in named[0]["extra"]["source"] and "version" in named[0]["extra"]["error"]
