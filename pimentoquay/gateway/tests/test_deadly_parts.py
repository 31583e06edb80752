"""Engines that crash when they begin to write an answer to a prompt with a certain part."""

import asyncio
import itertools

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.messages.fleet import CrashedRequest, CrashEvidence
from pimentoquay.platform.store import PROMPT_TOPIC
from pimentoquay.policy.request_quarantine import (
    CERTAIN_TRIAL_SECONDS,
    RETENTION_SECONDS,
    TRIAL_TURN_SECONDS,
)
from pimentoquay.standin.platform_engine import Behaviour, PlatformEngine

SHARED = b"5c1e07a2:200"
"""First part of all prompts."""

DEADLY = "dead0001"
ALLOWED_CRASHES = 5
ALLOWED_SENDS = 3
"""Sends that are tolerated later than the time to inform all VMs after the allowed crashes."""

_numbers = itertools.count()


class Fleet:
    """Decode engines that crash on some parts of prompts, each replaced by a new one soon after."""

    def __init__(self, env, deadly=(DEADLY,), restart_seconds=0.3):
        self.env = env
        self.deadly = frozenset(deadly)
        self.restart_seconds = restart_seconds
        self.engines = []
        self.crashed = []
        self._restarts = set()

    async def start(self, count):
        for engine_id in ("dec-1", "dec-2"):
            await self.env.engine_by_id.pop(engine_id).close()
            await self.env.store.put("keyed.servers", engine_id, b"")
        for _ in range(count):
            await self._add()
        gateways = self.env.gateway_by_vm.values()
        await until(lambda: all(self._are_listed(each) for each in gateways), "listed")

    def _are_listed(self, gateway):
        listed = {engine.id for engine in gateway.fleet.engines()}
        return "dec-2" not in listed and {engine.id for engine in self.engines} <= listed

    async def _add(self):
        engine = PlatformEngine(f"gen-{next(_numbers)}", "llm", stage="decode")
        engine.deadly_parts, engine.on_crash = self.deadly, self._replace
        self.engines.append(await self.env.add_engine(engine))

    def _replace(self, engine):
        self.crashed.append(engine)
        task = asyncio.create_task(self._restart(engine))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, engine):
        await asyncio.sleep(self.restart_seconds)
        await self.env.store.put("keyed.servers", engine.id, b"")
        await self._add()

    def arrivals(self, part):
        """Return the requests with a part that engines of both stages received."""
        engines = [*self.engines, self.env.engine_by_id["pre-1"]]
        return [each for engine in engines for each in engine.arrivals if part in each.parts]


def prompt(*parts, own=None):
    """Return the options of a request with the given parts and one of its own."""
    own = own or f"0{next(_numbers):07x}"
    entries = (SHARED, *(f"{part}:300".encode() for part in parts), f"{own}:4000".encode())
    return {"parts": entries}


async def send(env, number, *parts):
    """Send a stream by one of the gateways; return its response."""
    vm = f"vm-{1 + number % len(env.gateway_by_vm)}"
    return await env.stream(f"/digest/{number}", vm=vm, model=prompt(*parts))


async def test_a_part_of_prompts_that_crashes_engines_crashes_few_of_them():
    """15 to 18 engines crashed on the day tainted of huong-giang, one after the other."""
    async with rig() as env:
        for vm in ("vm-2", "vm-3"):
            await env.add_gateway(vm)
        fleet = Fleet(env)
        await fleet.start(8)
        deadly, sound = [], []
        for number in range(9):
            deadly.append(await send(env, number, DEADLY))
            sound.append(await send(env, number + 1))
            await asyncio.sleep(0.1)
        assert len(fleet.crashed) <= ALLOWED_CRASHES
        assert {response.status for response in deadly[-3:]} == {503}
        assert all(float(each.headers["retry-after"]) > 0 for each in deadly[-3:])
        sent = len(fleet.arrivals(DEADLY))
        for number in range(9):
            assert (await send(env, number, DEADLY)).status == 503
        assert len(fleet.arrivals(DEADLY)) == sent
        assert [(each.status, each.is_whole) for each in sound] == [(200, True)] * 9


@pytest.mark.parametrize("kind", ["digest", "sheet"])
async def test_a_caller_whose_request_crashed_an_engine_is_not_told_that_it_has_not_run(kind):
    async with rig() as env:
        fleet = Fleet(env)
        await fleet.start(4)
        response = await env.stream(f"/{kind}/a", model=prompt(DEADLY))
        assert response.status == 502 and fleet.crashed


def trials_of(env):
    """Return how many requests all gateways have sent in spite of a quarantine."""
    return sum(gateway.guard.trials for gateway in env.gateway_by_vm.values())


def quarantined(gateway):
    return {part for each in gateway.guard.quarantines for part in each.features}


async def quarantine(env, fleet, *parts, vm=0):
    """Send requests by one gateway until it has quarantined each of the parts."""
    gateway = env.gateway_by_vm[f"vm-{vm + 1}"]
    for part in parts:
        async with asyncio.timeout(20.0):
            while part not in quarantined(gateway):
                await env.stream(f"/digest/{part}", vm=f"vm-{vm + 1}", model=prompt(part))
                await env.stream(f"/digest/{part}", vm=f"vm-{vm + 1}", model=prompt())


# In virtual time, as a trial begins a second after a crash, however long the requests take.
@pytest.mark.looptime(start=1000)
async def test_several_deadly_parts_at_once_are_told_apart_from_sound_ones():
    bad = ("dead0001", "dead0002", "dead0003")
    async with rig() as env:
        for vm in ("vm-2", "vm-3"):
            await env.add_gateway(vm)
        fleet = Fleet(env, bad)
        await fleet.start(16)
        sound = []
        for number in range(12):
            await asyncio.gather(*(send(env, number + k, bad[k], f"50{k}") for k in range(3)))
            sound += [await send(env, number, f"50{number % 3}"), await send(env, number)]
            await asyncio.sleep(0.1)
        trials, crashes = trials_of(env), len(fleet.crashed)
        last = []
        for number in range(12):
            last += [await send(env, number, part) for part in bad]
            await asyncio.sleep(TRIAL_TURN_SECONDS)
        # What is suspected beside another part is tried alone, once, a second after its last crash.
        trials = trials_of(env) - trials
        assert [response.status for response in last].count(503) == len(last) - trials
        assert trials == len(fleet.crashed) - crashes <= len(bad)
        sent = [len(fleet.arrivals(part)) for part in bad]
        for number in range(3):
            assert [(await send(env, number, part)).status for part in bad] == [503] * 3
        assert [len(fleet.arrivals(part)) for part in bad] == sent
        assert len(fleet.crashed) <= (ALLOWED_CRASHES + ALLOWED_SENDS) * len(bad)
        assert [each.status for each in sound[-12:]] == [200] * 12


async def test_gateways_behind_relays_learn_of_a_deadly_part_within_the_contact_time(relays):
    async with rig() as env:
        vms, leaf = await env.add_gateways_behind_relays()
        fleet = Fleet(env)
        await fleet.start(6)
        await quarantine(env, fleet, DEADLY, vm=vms.index(leaf))
        loop = asyncio.get_running_loop()
        told_at = loop.time()
        others = [env.gateway_by_vm[vm] for vm in vms]
        await until(lambda: all(DEADLY in quarantined(each) for each in others), "all told")
        assert loop.time() - told_at < 3.0


async def test_a_gateway_that_peers_cannot_reach_learns_of_a_deadly_part_from_the_store():
    async with rig() as env:
        for vm in ("vm-2", "vm-3"):
            await env.add_gateway(vm)
        fleet = Fleet(env)
        await fleet.start(6)
        for vm in ("vm-1", "vm-2"):
            env.network.cut(vm, "vm-3")
        loop = asyncio.get_running_loop()
        await quarantine(env, fleet, DEADLY)
        told_at = loop.time()
        cut_off = env.gateway_by_vm["vm-3"]
        await until(lambda: DEADLY in quarantined(cut_off), "told by the store")
        assert loop.time() - told_at < 3.0


async def test_a_deadly_part_stays_in_quarantine_when_all_gateways_start_again():
    async with rig() as env:
        fleet = Fleet(env)
        await fleet.start(6)
        await quarantine(env, fleet, DEADLY)
        await until(lambda: env.store._newest_by_topic.get(PROMPT_TOPIC), "stored")
        await env.stop("vm-1")
        await env.add_gateway("vm-2")
        crashes = len(fleet.crashed)
        response = await env.stream("/digest/a", vm="vm-2", model=prompt(DEADLY))
        assert response.status == 503 and len(fleet.crashed) == crashes
        assert (await env.stream("/digest/a", vm="vm-2", model=prompt())).status == 200


async def test_a_store_restored_from_an_older_copy_gets_the_quarantines_again():
    async with rig() as env:
        fleet = Fleet(env)
        await fleet.start(6)
        env.store.make_copy()
        await quarantine(env, fleet, DEADLY)
        await until(lambda: env.store._newest_by_topic.get(PROMPT_TOPIC), "stored")
        env.store.restore()
        assert not env.store._newest_by_topic.get(PROMPT_TOPIC)
        await until(lambda: env.store._newest_by_topic.get(PROMPT_TOPIC), "stored again")


async def test_a_gateway_that_starts_later_is_told_by_its_peers():
    async with rig() as env:
        fleet = Fleet(env)
        await fleet.start(6)
        await quarantine(env, fleet, DEADLY)
        env.store._newest_by_topic.pop(PROMPT_TOPIC, None)
        second = await env.add_gateway("vm-2")
        await until(lambda: DEADLY in quarantined(second), "told on connecting")


async def test_broken_connections_of_engines_that_still_run_are_no_evidence():
    """Engines that lose answers, or garble them, do so under any prompt."""
    async with rig() as env:
        for engine_id in ("dec-1", "dec-2"):
            env.engine_by_id[engine_id].behaviour = lambda arrival: Behaviour.RESET
        for number in range(6):
            await env.stream(f"/digest/{number}", model=prompt("5001"))
        gateway = env.gateway_by_vm["vm-1"]
        assert gateway.guard.suspected_features == frozenset()
        assert gateway.guard.reported_crashes == 0


async def test_a_waiting_request_is_refused_when_its_part_is_quarantined():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        for engine_id in ("dec-1", "dec-2"):
            env.engine_by_id[engine_id].pause = 2.0
        streams = [asyncio.create_task(env.stream(f"/digest/{n}")) for n in range(24)]
        reservations = gateway.dispatcher._streams._reservations
        await until(lambda: len(reservations._waiting) >= 4, "some wait")
        waiting = asyncio.create_task(env.stream("/digest/w", model=prompt(DEADLY)))
        await asyncio.sleep(0.1)
        crashed = tuple(CrashedRequest(f"gone-{n}", 1, (DEADLY,)) for n in range(3))
        gateway.mesh.notices.receive(CrashEvidence(crashed, ()), "vm-9")
        async with asyncio.timeout(1.0):
            response = await waiting
        assert response.status == 503 and reservations._waiting
        for task in streams:
            task.cancel()
        await asyncio.gather(*streams, return_exceptions=True)


async def test_a_quarantine_ends_when_an_engine_begins_to_answer_such_a_prompt():
    """Three engines ended while sound requests waited there; the next one shows that by a trial."""
    async with rig() as env:
        second = await env.add_gateway("vm-2")
        gateway = env.gateway_by_vm["vm-1"]
        crashed = tuple(CrashedRequest(f"gone-{n}", 1, ("5001", f"own-{n}")) for n in range(3))
        gateway.mesh.notices.receive(CrashEvidence(crashed, ()), "vm-9")
        await until(lambda: "5001" in quarantined(second), "quarantined")
        responses = []
        async with asyncio.timeout(15.0):
            while "5001" in quarantined(gateway) or "5001" in quarantined(second):
                responses.append(await env.stream("/digest/a", model=prompt("5001")))
                await asyncio.sleep(0.05)
        assert responses[0].status == 503 and responses[-1].status == 200
        assert gateway.guard.trials + second.guard.trials == 1
        await until(lambda: not env.store._newest_by_topic.get(PROMPT_TOPIC), "not stored")


async def test_invalid_records_of_quarantines_are_ignored():
    async with rig() as env:
        values = (
            b"x",
            b"[]",
            b'{"parts": 3}',
            b'{"engines": [[1]]}',
            b'{"parts": ["5001"], "engines": [["e", Infinity]]}',
            b"[" * 100_000,
        )
        gateway = env.gateway_by_vm["vm-1"]
        for number, value in enumerate(values):
            await env.store.put(PROMPT_TOPIC, f"bad-{number}", value)
        calls = env.store.calls
        await until(lambda: env.store.calls > calls + 6, "read")
        assert not env._task_by_vm["vm-1"].done() and gateway.dispatcher.is_ready
        response = await env.stream("/digest/a", model=prompt("5001"))
        assert response.status == 200
        assert not env.gateway_by_vm["vm-1"].guard.quarantines


async def test_an_engine_that_crashes_under_an_answer_without_length_or_chunks_is_evidence():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        engines = [env.engine_by_id["dec-1"], env.engine_by_id["dec-2"]]
        for engine in engines:
            engine.behaviour = lambda arrival: Behaviour.UNFRAMED_CRASH
        assert (await env.stream("/digest/a", model=prompt(DEADLY))).status == 502
        assert all(engine.is_crashed for engine in engines)
        assert DEADLY in gateway.guard.suspected_features


async def test_only_certain_quarantines_are_stored():
    """A record holds nothing of the other parts that were suspected, so it would look certain."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        doubtful = tuple(CrashedRequest(f"gone-{n}", 1, ("5001", f"own-{n}")) for n in range(3))
        gateway.mesh.notices.receive(CrashEvidence(doubtful, ()), "vm-9")
        certain = tuple(CrashedRequest(f"lost-{n}", 1, (DEADLY,)) for n in range(3))
        gateway.mesh.notices.receive(CrashEvidence(certain, ()), "vm-9")
        assert quarantined(gateway) == {"5001", DEADLY}
        await until(lambda: env.store._newest_by_topic.get(PROMPT_TOPIC), "stored")
        stored = [value for _, value in env.store._newest_by_topic[PROMPT_TOPIC].values()]
        assert len(stored) == 1 and DEADLY.encode() in stored[0]


async def test_callers_are_told_when_a_quarantined_prompt_is_tried_again():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        waits = []
        for crashes in (3, 5):
            crashed = tuple(CrashedRequest(f"gone-{n}", 1, (DEADLY,)) for n in range(crashes))
            gateway.mesh.notices.receive(CrashEvidence(crashed, ()), "vm-9")
            response = await env.stream("/digest/a", model=prompt(DEADLY))
            waits.append(float(response.headers["retry-after"]))
        assert 29.0 < waits[0] <= CERTAIN_TRIAL_SECONDS
        assert RETENTION_SECONDS - 1.0 < waits[1] <= RETENTION_SECONDS
