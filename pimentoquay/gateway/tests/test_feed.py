import pytest

from pimentoquay.gateway.fleet import Fleet
from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import StoreFault

NEW_ROUTE = route("new", "idempotent", "desk")


def known(made, vm="vm-1"):
    return {engine.id: engine for engine in made.gateway_by_vm[vm].fleet.engines()}


def version_at(gateway):
    configuration = gateway.fleet.configuration
    return configuration.version if configuration is not None else None


async def test_a_new_configuration_takes_hold_and_an_older_one_does_not():
    async with rig() as made:
        assert (await made.ask("/new/a")).status == 404
        await made.store.put("keyed.op", "config", configuration(7, (*ROUTES, NEW_ROUTE)))
        fleet = made.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 7, "version 7")
        assert (await made.ask("/new/a")).status == 200
        await made.store.put("keyed.op", "config", configuration(6))
        await made.store.put("keyed.op", "config", b"\xff not a configuration")
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 4, "read again")
        assert fleet.configuration.version == 7


async def test_a_draining_engine_gets_nothing_more():
    async with rig() as made:
        desk = made.engine_by_id["desk-1"]
        await made.store.put("keyed.servers", "desk-1", desk.entry("draining"))
        await until(lambda: known(made)["desk-1"].is_draining, "draining")
        for number in range(5):
            assert (await made.ask(f"/look/{number}")).status == 200
        assert desk.arrivals == []


async def test_a_removed_engine_stays_gone_when_an_older_heartbeat_arrives():
    async with rig() as made:
        old = made.engine_by_id["desk-1"].entry()
        await made.store.put("keyed.servers", "desk-1", made.engine_by_id["desk-1"].entry())
        await made.store.put("keyed.servers", "desk-1", b"")
        await until(lambda: "desk-1" not in known(made), "gone")
        await made.store.put("keyed.servers", "desk-1", old)
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 4, "read again")
        assert "desk-1" not in known(made)


@pytest.mark.parametrize(
    "value",
    [b"\xff\xfe", b"[1]", b"{}", b'{"service":7}', b'{"service":"desk","state":"sleepy"}'],
)
async def test_an_entry_that_cannot_be_read_names_no_engine_and_the_others_hold(value):
    async with rig() as made:
        await made.store.put("keyed.servers", "ghost", value)
        await made.add_engine(PlatformEngine("desk-3", "desk"))
        await until(lambda: "desk-3" in known(made), "desk-3")
        assert "ghost" not in known(made)
        assert {"desk-1", "desk-2", "dec-1"} <= set(known(made))


async def test_an_engine_that_starts_again_under_its_id_is_met_anew():
    async with rig() as made:
        await made.ask("/look/a")
        old = made.engine_by_id.pop("desk-1")
        await old.close()
        await made.add_engine(PlatformEngine("desk-1", "desk", born=2))
        await until(lambda: known(made)["desk-1"].incarnation == 2, "second start")
        for number in range(4):
            assert (await made.ask(f"/order/{number}")).status == 200


async def test_a_store_that_forgets_its_history_is_read_anew():
    async with rig() as made:
        await until(lambda: made.store.calls > 6, "read a few times")
        await made.store.put("keyed.servers", "desk-2", made.engine_by_id["desk-2"].entry())
        await made.store.put("keyed.op", "config", configuration(9))
        made.store.drop_key("keyed.servers", "desk-1")
        for topic in ("keyed.op", "keyed.servers"):
            made.store.forget_history(topic)
        fleet = made.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 9, "version 9")
        await until(lambda: "desk-1" not in known(made), "gone")


@pytest.mark.parametrize("fault", [StoreFault.BUSY, StoreFault.RESET])
async def test_serving_goes_on_while_the_store_is_away(fault):
    async with rig() as made:
        made.store.fault = fault
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 3, "calls failed")
        assert (await made.ask("/look/a")).status == 200
        assert made.gateway_by_vm["vm-1"].front.is_ready
        made.store.fault = StoreFault.NONE
        await made.store.put("keyed.op", "config", configuration(5))
        fleet = made.gateway_by_vm["vm-1"].fleet
        await until(lambda: fleet.configuration.version == 5, "version 5")


async def test_a_gateway_that_the_store_turns_away_serves_from_its_peers_knowledge():
    async with rig() as made:
        away = await made.add_gateway("vm-2", store_address="127.0.0.1:1", seeds=("vm-1:1",))
        assert (await made.ask("/look/a", vm="vm-2")).status == 200
        await made.store.put("keyed.op", "config", configuration(8))
        await until(lambda: version_at(away) == 8, "version 8")
        await made.store.put("keyed.servers", "desk-1", b"")
        await until(lambda: "desk-1" not in known(made, "vm-2"), "gone")


async def test_a_gateway_that_knows_no_configuration_refuses_and_is_not_ready():
    async with rig(start_gateway=False) as made:
        made.store.fault = StoreFault.BUSY
        gateway = await made.add_gateway(wait=False)
        await until(lambda: made.store.calls > 2, "calls failed")
        answer = await made.ask("/look/a")
        assert answer.status == 503
        assert not gateway.front.is_ready


def test_a_list_that_nobody_reads_grows_old_however_often_peers_tell_its_age():
    """Over relays each way takes 0.1 s, and every gateway told the age that it had heard: the list
    stayed as young as one way, and nobody would have replaced a lost reader."""
    now = 0.0
    fleets = [Fleet(lambda: now) for _ in range(5)]
    fleets[0].note_engines_read(1)
    for _ in range(50):
        told = [fleet.own_list_age for fleet in fleets]
        now += 0.1
        for index, fleet in enumerate(fleets):
            for age in told[:index] + told[index + 1 :]:
                fleet.confirm(age)
    assert all(fleet.list_age >= 4.8 for fleet in fleets)


async def test_every_read_is_told_to_the_peers_and_a_failed_one_is_not():
    async with rig() as made:
        feed = made.gateway_by_vm["vm-1"].feed
        told = []
        feed._on_read = lambda: told.append(made.store.calls)
        await until(lambda: len(told) >= 2, "two reads")
        made.store.fault = StoreFault.BUSY
        calls = made.store.calls
        await until(lambda: made.store.calls > calls + 4, "failed reads")
        assert told[-1] <= calls
