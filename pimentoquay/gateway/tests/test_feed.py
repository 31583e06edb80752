import pytest

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.standin.listed_engines import listed_entry
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import StoreFault

NEW_ROUTE = route("new", "idempotent", "desk")


def listed_engines(env, vm="vm-1"):
    return {engine.id: engine for engine in env.gateway_by_vm[vm].fleet.engines()}


def version_at(gateway):
    configuration = gateway.fleet.configuration
    return configuration.version if configuration is not None else None


async def test_a_newer_configuration_is_applied_and_an_older_one_is_ignored():
    async with rig() as env:
        assert (await env.send_request("/new/a")).status == 404
        await env.store.put("keyed.op", "config", configuration(7, (*ROUTES, NEW_ROUTE)))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 7, "version 7")
        assert (await env.send_request("/new/a")).status == 200
        await env.store.put("keyed.op", "config", configuration(6))
        await env.store.put("keyed.op", "config", b"\xff not a configuration")
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 4, "read again")
        assert fleet.configuration.version == 7


async def test_a_draining_engine_receives_no_new_requests():
    async with rig() as env:
        desk = env.engine_by_id["desk-1"]
        await env.store.put("keyed.servers", "desk-1", desk.entry("draining"))
        await until(lambda: listed_engines(env)["desk-1"].is_draining, "draining")
        for number in range(5):
            assert (await env.send_request(f"/look/{number}")).status == 200
        assert desk.arrivals == []


async def test_a_removed_engine_stays_removed_when_an_older_heartbeat_arrives():
    async with rig() as env:
        old = env.engine_by_id["desk-1"].entry()
        await env.store.put("keyed.servers", "desk-1", env.engine_by_id["desk-1"].entry())
        await env.store.put("keyed.servers", "desk-1", b"")
        await until(lambda: "desk-1" not in listed_engines(env), "gone")
        await env.store.put("keyed.servers", "desk-1", old)
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 4, "read again")
        assert "desk-1" not in listed_engines(env)


@pytest.mark.parametrize(
    "value",
    [b"\xff\xfe", b"[1]", b"{}", b'{"service":7}', b'{"service":"desk","state":"sleepy"}'],
)
async def test_an_invalid_entry_is_ignored_and_the_other_engines_stay_listed(value):
    async with rig() as env:
        await env.store.put("keyed.servers", "ghost", value)
        await env.add_engine(PlatformEngine("desk-3", "desk"))
        await until(lambda: "desk-3" in listed_engines(env), "desk-3")
        assert "ghost" not in listed_engines(env)
        assert {"desk-1", "desk-2", "dec-1"} <= set(listed_engines(env))


async def test_a_restarted_engine_with_the_same_id_is_used_again():
    async with rig() as env:
        await env.send_request("/look/a")
        old = env.engine_by_id.pop("desk-1")
        await old.close()
        await env.add_engine(PlatformEngine("desk-1", "desk", born=2))
        await until(lambda: listed_engines(env)["desk-1"].incarnation == 2, "second start")
        for number in range(4):
            assert (await env.send_request(f"/order/{number}")).status == 200


async def test_the_latest_records_are_read_if_the_store_has_deleted_its_history():
    async with rig() as env:
        await until(lambda: env.store.calls > 6, "read a few times")
        await env.store.put("keyed.servers", "desk-2", env.engine_by_id["desk-2"].entry())
        await env.store.put("keyed.op", "config", configuration(9))
        env.store.drop_key("keyed.servers", "desk-1")
        for topic in ("keyed.op", "keyed.servers"):
            env.store.delete_records(topic)
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 9, "version 9")
        await until(lambda: "desk-1" not in listed_engines(env), "gone")


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET])
async def test_requests_are_served_while_the_store_is_unavailable(fault):
    async with rig() as env:
        env.store.fault = fault
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 3, "calls failed")
        assert (await env.send_request("/look/a")).status == 200
        assert env.gateway_by_vm["vm-1"].dispatcher.is_ready
        env.store.fault = StoreFault.NONE
        await env.store.put("keyed.op", "config", configuration(5))
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 5, "version 5")


async def test_a_gateway_that_cannot_reach_the_store_gets_its_data_from_a_peer():
    async with rig() as env:
        disconnected = await env.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        assert (await env.send_request("/look/a", vm="vm-2")).status == 200
        await env.store.put("keyed.op", "config", configuration(8))
        await until(lambda: version_at(disconnected) == 8, "version 8")
        await env.store.put("keyed.servers", "desk-1", b"")
        await until(lambda: "desk-1" not in listed_engines(env, "vm-2"), "gone")


async def test_a_gateway_without_a_configuration_refuses_requests_and_is_not_ready():
    async with rig(start_gateway=False) as env:
        env.store.fault = StoreFault.BUSY
        gateway = await env.add_gateway(wait=False)
        await until(lambda: env.store.calls > 2, "calls failed")
        response = await env.send_request("/look/a")
        assert response.status == 503
        assert not gateway.dispatcher.is_ready


def test_the_list_age_grows_if_no_gateway_reads_the_list():
    """Guards against forwarding ages that were received from peers. A forwarded age omits the 0.1 s
    of each hop, so the list seemed fresh for ever and a lost polling gateway would not be replaced.
    """
    now = 0.0
    fleets = [Fleet(lambda: now) for _ in range(5)]
    fleets[0].record_list_read(1)
    for _ in range(50):
        reported_ages = [fleet.own_list_age for fleet in fleets]
        now += 0.1
        for index, fleet in enumerate(fleets):
            for age in reported_ages[:index] + reported_ages[index + 1 :]:
                fleet.record_peer_read(age)
    assert all(fleet.list_age >= 4.8 for fleet in fleets)


async def test_peers_are_notified_of_successful_reads_only():
    async with rig() as env:
        feed = env.gateway_by_vm["vm-1"].feed
        calls_at_reads = []
        feed._on_read = lambda: calls_at_reads.append(env.store.calls)
        await until(lambda: len(calls_at_reads) >= 2, "two reads")
        env.store.fault = StoreFault.BUSY
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 4, "failed reads")
        assert calls_at_reads[-1] <= calls


async def test_a_gateway_far_behind_the_store_reads_on_without_a_pause():
    """It read one page of 1 MB a poll, however far the end of the topic was."""
    async with rig() as env:
        feed = env.gateway_by_vm["vm-1"].feed
        reads_by_turn = [0]
        read, read_all = feed._store.read, feed._read_all

        async def count_read(topic, *arguments):
            reads_by_turn[-1] += topic == "keyed.servers"
            return await read(topic, *arguments)

        async def count_turn():
            reads_by_turn.append(0)
            return await read_all()

        feed._store.read, feed._read_all = count_read, count_turn
        for number in range(5000):
            value = listed_entry(number % 50, number)
            await env.store.put("keyed.servers", f"i-{number % 50}", value)

        def newest():
            engines = feed._fleet.engine_list.engines()
            return max((each.sequence for each in engines if each.id == "i-49"), default=-1)

        await until(lambda: newest() == 4999, "all was read")
        assert max(reads_by_turn) >= 5000 * len(value) // 2**20


async def test_a_fleet_longer_than_a_page_of_the_store_is_read_whole():
    async with rig(start_gateway=False) as env:
        for number in range(1200):
            await env.store.put("keyed.servers", f"i-{number:04}", listed_entry(number))
        await env.add_gateway()
        assert len(listed_engines(env)) == 1200 + len(env.engine_by_id)
