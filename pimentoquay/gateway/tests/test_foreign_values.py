"""Records and messages of a valid form with foreign values: the next sound one holds afterwards."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.origin_store import _parse_batch, _parse_version
from pimentoquay.gateway.request_guard import RequestGuard
from pimentoquay.gateway.stream_keys import keys_by_version
from pimentoquay.gateway.tests.fuzzed_inputs import (
    QUARANTINE,
    VERSION,
    VM_ADDRESS,
    examples,
    foreign_json,
    messages,
)
from pimentoquay.gateway.tests.rig import configuration, rig, until
from pimentoquay.gateway.vm_addresses import VmAddresses
from pimentoquay.messages import encode
from pimentoquay.messages.fleet import EngineLimit, EngineRecord, VmAddress
from pimentoquay.messages.streams import StreamsBegun, VersionStreams
from pimentoquay.platform.store import (
    PROMPT_TOPIC,
    STREAM_TOPIC,
    VERSION_TOPIC,
    VM_TOPIC,
    KeyedRecord,
)
from pimentoquay.platform.tests.invalid_entries import ENTRY, sound_entry
from pimentoquay.policy.engine_limits import EngineLimits, LimitNotice
from pimentoquay.policy.engine_notices import EngineStart
from pimentoquay.policy.only_versions import OnlyVersions, StoredVersion
from pimentoquay.policy.stored_origins import RecordedVersions
from pimentoquay.policy.stream_origins import StreamOrigins

COUNT = 150

NOW_MS = 1_764_840_000_000

BORN = NOW_MS - 3_600_000

OWN = ENTRY | {"born": BORN, "seq": 100}

KEY = b"12345678"


@given(st.lists(foreign_json(OWN) | st.just(b""), max_size=12), st.integers(0, 12))
@examples(COUNT)
def test_an_engine_is_listed_with_its_second_heartbeat_after_foreign_entries(entries, before):
    fleet = Fleet(lambda: 0.0, lambda: NOW_MS / 1000)
    fleet.apply_configuration(0, configuration())
    number, position = 100, 0

    def apply(value):
        nonlocal position
        position += 1
        fleet.apply_engine_records((EngineRecord("i-1", position, value),))

    def beat():
        nonlocal number
        number += 1
        apply(sound_entry(born=BORN, seq=number))

    for value in entries[:before]:
        apply(value)
    beat()
    for value in entries[before:]:
        apply(value)
    # A heartbeat that says the same as a foreign entry with its number counts as known.
    same = {json.loads(each).get("seq") for each in entries if each}
    number += 1000 if {number + 1, number + 2} & same else 0
    beat()
    beat()
    (engine,) = fleet.engine_list.engines()
    assert (engine.service, engine.address) == (ENTRY["service"], ENTRY["address"])
    assert (engine.incarnation, engine.sequence) == (BORN, number) and not engine.is_draining


@given(st.lists(foreign_json(json.loads(configuration(7))), max_size=3))
@examples(COUNT)
def test_a_configuration_is_in_force_after_foreign_ones_of_lower_versions(documents):
    fleet = Fleet(lambda: 0.0)
    for position, document in enumerate(documents):
        item = json.loads(document)
        lower = json.dumps(item | {"version": min(item["version"], 10**6)}).encode()
        fleet.apply_configuration(position, lower)
    assert fleet.apply_configuration(10, configuration(10**6 + 1))
    assert fleet.configuration is not None and fleet.configuration.version == 10**6 + 1
    assert fleet.engine_list.services == {"desk", "llm"}


OWN_ADDRESS = VmAddress("vm-1", "vm-1:1", "hall", 3, "vm-1:2")


@given(st.lists(messages(VmAddress), max_size=4))
@examples(COUNT)
def test_the_next_record_of_a_vm_holds_after_foreign_ones(addresses):
    known = VmAddresses(OWN_ADDRESS)
    known.update(addresses)
    highest = max([3, *(each.position for each in addresses)]) + 1
    sound = VmAddress("vm-2", "vm-2:1", "hall", highest, "vm-2:2")
    assert known.update((sound,)) == (sound,)
    own = VmAddress("vm-1", "vm-1:1", "hall", highest, "vm-1:2")
    assert known.update((own,)) == (own,)
    assert known.own == own and known.by_vm["vm-2"] == sound


@given(st.lists(foreign_json(VERSION), max_size=4))
@examples(COUNT)
def test_the_next_version_holds_after_foreign_ones(values):
    only, recorded = OnlyVersions(), RecordedVersions()
    found = [_parse_version("key", each) for each in values]
    stored = [each for each in found if each is not None]
    only.learn(stored, 1, 0.0)
    recorded.add((each.service, each.software) for each in stored)
    only.learn([StoredVersion("llm", "v9", only_in_era=1)], 1, 1.0)
    recorded.add([("llm", "v9")])
    assert ("llm", "v9") in recorded
    begun = {each.software for each in stored}
    possible = only.possible_origins("llm", {"v9", "v1"}, RecordedVersions(), ())
    assert possible == {"v9"} and recorded.may_begin("llm", "v9", {"v9", *begun})


@given(st.lists(foreign_json(QUARANTINE), max_size=4))
@examples(COUNT)
def test_a_quarantine_holds_after_foreign_ones(values):
    guard = RequestGuard(lambda: 0.0, lambda: (0, 1), lambda message: None)
    records = [KeyedRecord(f"f{n}", each, n) for n, each in enumerate(values)]
    guard.apply_records(records, False)
    sound = {"parts": ["bad"], "engines": [["q-1", 1], ["q-2", 2], ["q-3", 3]]}
    guard.apply_records([KeyedRecord("sound", json.dumps(sound).encode(), 9)], False)
    assert frozenset({"bad"}) in {each.features for each in guard._known.quarantines}


@given(st.lists(messages(StreamsBegun), max_size=4))
@examples(COUNT)
def test_the_next_origin_of_a_stream_holds_after_foreign_ones(batches):
    origins = StreamOrigins()
    sound = StreamsBegun((VersionStreams("llm", "v1", KEY),))
    for number, batch in enumerate((*batches, sound)):
        found = _parse_batch("key", encode(batch))
        assert found is not None
        for version, keys in keys_by_version(found).items():
            origins.learn(*version, keys, float(number))
    assert origins.software_of("llm", KEY) == "v1"


@given(st.lists(messages(EngineLimit), max_size=6))
@examples(COUNT)
def test_the_next_limit_of_an_engine_holds_after_foreign_ones(notices):
    limits, start = EngineLimits("vm-1"), EngineStart("i-1", 2)
    learned = [
        LimitNotice(start, each.limit if each.limit >= 0 else None, each.age) for each in notices
    ]
    limits.learn(learned, 10.0)
    limits.learn([LimitNotice(start, 4.0, 0.0)], 11.0)
    assert limits.limit_of(start) == 4.0
    limits.learn(learned, 11.5)
    limits.record_response(start, 2.0, 11.0, 12.0)
    assert limits.limit_of(start) == 2.0


@pytest.mark.looptime(start=1000)
async def test_a_vm_writes_its_address_again_after_a_foreign_record():
    """All gateways that learn of the record dial the other address until the VM starts again."""
    async with rig() as env:
        await env.add_gateway("vm-2")
        foreign = VM_ADDRESS | {"address": "vm-9:1", "tunnel_address": "vm-9:2"}
        for vm in ("vm-1", "vm-2"):
            await env.store.put(VM_TOPIC, vm, json.dumps(foreign).encode())
        await env.add_gateway("vm-3", seeds=("vm-1:1",))
        gateways = env.gateway_by_vm.values()

        def addresses():
            return [
                {vm: each.address for vm, each in gateway.mesh.addresses.by_vm.items()}
                for gateway in gateways
            ]

        sound = {vm: f"{vm}:1" for vm in env.gateway_by_vm}
        await until(lambda: addresses() == [sound] * 3, "written again")
        await until(lambda: all(each.mesh.gateway_count == 3 for each in gateways), "connected")


SOUND_FOREIGN = {
    VM_TOPIC: ("vm-9", json.dumps(VM_ADDRESS).encode()),
    VERSION_TOPIC: ("v", json.dumps({**VERSION, "only_in_era": 1}).encode()),
    PROMPT_TOPIC: ("p", json.dumps(QUARANTINE).encode()),
    STREAM_TOPIC: ("s", encode(StreamsBegun((VersionStreams("llm", "v9", KEY),)))),
    "keyed.pimentoquay-orders": ("holder", b"vm-9"),
}


@pytest.mark.looptime(start=1000)
@pytest.mark.parametrize("topic", SOUND_FOREIGN)
async def test_gateways_serve_beside_foreign_records_of_a_valid_form(topic):
    async with rig() as env:
        await env.store.put(topic, *SOUND_FOREIGN[topic])
        await env.add_gateway("vm-2")
        for vm in env.gateway_by_vm:
            assert (await env.send_request("/look/a", vm=vm)).status == 200
            assert (await env.stream(vm=vm)).status == 200
