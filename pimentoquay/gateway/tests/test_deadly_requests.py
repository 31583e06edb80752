"""Requests that crash each engine that runs them and that come again."""

import asyncio
import json

import pytest

from pimentoquay.gateway.plain import MAX_BUFFERED_BYTES
from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.http1 import ConnectionPool
from pimentoquay.kernel import ResultCode
from pimentoquay.kernel.logs import logger
from pimentoquay.messages.fleet import CrashedRequest, CrashEvidence
from pimentoquay.platform.store import PROMPT_TOPIC
from pimentoquay.policy import request_quarantine
from pimentoquay.policy.crash_evidence import request_feature
from pimentoquay.policy.request_digest import request_digest
from pimentoquay.policy.request_quarantine import REQUEST_TRIAL_SECONDS
from pimentoquay.standin.platform_engine import Behaviour

DEADLY = b"deadly"
MOST_ENDED = 3
"""Engines that one request may crash before no gateway sends it any more."""


class Servers:
    """Servers that crash under some bodies, each back under its id and address soon after."""

    def __init__(self, env, ids, restart_seconds=0.6, deadly=(DEADLY,)):
        self.env = env
        self.engines = [env.engine_by_id[engine_id] for engine_id in ids]
        self.restart_seconds = restart_seconds
        self.crashes = 0
        self._restarts = set()
        for engine in self.engines:
            engine.deadly_bodies, engine.on_crash = frozenset(deadly), self._replace

    def _replace(self, engine):
        self.crashes += 1
        task = asyncio.create_task(self._restart(engine))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart(self, engine):
        await asyncio.sleep(self.restart_seconds)
        await engine.restart()
        await self.env.store.put("keyed.servers", engine.id, engine.entry())

    async def all_back(self):
        """Wait until all are listed by all gateways as they run now."""
        born = {engine.id: engine.born for engine in self.engines}
        await until(lambda: not self._restarts, "started again")
        born = {engine.id: engine.born for engine in self.engines}

        def is_listed(gateway):
            listed = {each.id: each.incarnation for each in gateway.fleet.engines()}
            return born.items() <= listed.items()

        await until(lambda: all(is_listed(each) for each in self.env.gateway_by_vm.values()), "ok")

    def arrivals(self, body=DEADLY):
        return sum(each.body == body for engine in self.engines for each in engine.arrivals)


async def three_gateways(env):
    for vm in ("vm-2", "vm-3"):
        await env.add_gateway(vm)


async def send_in_turn(env, count, path="/look/a", body=DEADLY, headers=()):
    """Send the same request by one gateway after the other, as its caller would."""
    responses = []
    for number in range(count):
        vm = f"vm-{1 + number % len(env.gateway_by_vm)}"
        responses.append(await env.send_request(path, vm=vm, body=body, headers=headers))
        await asyncio.sleep(0.2)
    return responses


@pytest.mark.parametrize("path", ["/look/a", "/order/a"])
async def test_a_repeated_call_that_crashes_servers_crashes_few_of_them(path):
    """On the day inc1 of huong-giang, one call ended 12 servers, another one 11."""
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("desk-1", "desk-2"))
        responses = []
        for _ in range(4):
            responses += await send_in_turn(env, 3, path)
            await servers.all_back()
        assert servers.crashes <= MOST_ENDED
        assert {each.status for each in responses[-3:]} == {503}
        assert all(float(each.headers["retry-after"]) > 0 for each in responses[-3:])
        sound = await env.send_request(path, body=b"sound")
        assert sound.status == 200


async def test_a_call_that_crashes_servers_while_its_long_answer_is_forwarded_crashes_few():
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("desk-1", "desk-2"))
        for engine in servers.engines:
            engine.crash_after_bytes = 2 * MAX_BUFFERED_BYTES
        for _ in range(3):
            responses = await send_in_turn(env, 3)
            assert not any(each.is_whole and each.status == 200 for each in responses)
            await servers.all_back()
        assert servers.crashes <= MOST_ENDED


async def test_a_lost_call_is_logged_with_its_digest_and_what_became_of_the_server():
    lines = []
    sink = logger.add(lambda line: lines.append(json.loads(line)["record"]), serialize=True)
    try:
        async with rig() as env:
            Servers(env, ("desk-1", "desk-2"))
            await env.send_request("/look/a", body=DEADLY)
    finally:
        logger.remove(sink)
    lost = [each["extra"] for each in lines if each["message"] == "run lost"]
    assert lost and {each["engine_state"] for each in lost} == {"refusing"}
    assert len({each["digest"] for each in lost}) == 1


@pytest.mark.parametrize("kind", ["digest", "sheet"])
@pytest.mark.parametrize("events", [0, 2])
async def test_a_repeated_stream_that_crashes_engines_crashes_few_of_them(kind, events):
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("dec-1", "dec-2"))
        for engine in servers.engines:
            engine.crash_after_events = events
        responses = []
        for _ in range(3):
            responses += await send_in_turn(env, 3, f"/{kind}/a", headers=model_headers())
            await servers.all_back()
        assert servers.crashes <= MOST_ENDED
        assert {each.status for each in responses[-3:]} == {503}
        sound = await env.stream(f"/{kind}/a", body=b"sound")
        assert (sound.status, sound.is_whole) == (200, True)


async def test_a_resumed_stream_that_crashes_engines_crashes_few_of_them():
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("dec-1", "dec-2"))
        for engine in servers.engines:
            engine.crash_after_events = 1
        for number in range(3):
            headers = (*model_headers(), (b"Last-Event-Id", str(1 + number).encode()))
            await send_in_turn(env, 2, "/digest/a", headers=headers)
            await servers.all_back()
        assert servers.crashes <= MOST_ENDED


async def test_a_repeated_prefill_that_crashes_engines_crashes_few_of_them():
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("pre-1", "dec-1", "dec-2"))
        for engine in servers.engines:
            engine.crashes_in_prefill = True
        responses = []
        for _ in range(3):
            responses += await send_in_turn(env, 3, "/digest/a", headers=model_headers())
            await servers.all_back()
        assert servers.crashes <= MOST_ENDED
        assert {each.status for each in responses[-3:]} == {503}


async def quarantine(env, servers):
    """Send a deadly call until three servers have crashed under it, then wait until it is kept."""
    gateway = env.gateway_by_vm["vm-1"]
    while not any(each.is_certain for each in gateway.guard.quarantines):
        await env.send_request("/look/a", body=DEADLY)
        await servers.all_back()


async def test_a_deadly_call_stays_in_quarantine_when_all_gateways_start_again():
    async with rig() as env:
        servers = Servers(env, ("desk-1", "desk-2"))
        await quarantine(env, servers)
        await until(lambda: env.store._newest_by_topic.get(PROMPT_TOPIC), "stored")
        await env.stop("vm-1")
        await env.add_gateway("vm-2")
        crashes = servers.crashes
        response = await env.send_request("/look/a", vm="vm-2", body=DEADLY)
        assert response.status == 503 and servers.crashes == crashes


async def test_gateways_behind_relays_learn_of_a_deadly_call_within_the_contact_time(relays):
    async with rig() as env:
        vms, _ = await env.add_gateways_behind_relays()
        servers = Servers(env, ("desk-1", "desk-2"))
        await quarantine(env, servers)
        told_at = asyncio.get_running_loop().time()
        guards = [env.gateway_by_vm[vm].guard for vm in vms]
        await until(lambda: all(each.quarantines for each in guards), "all told")
        assert asyncio.get_running_loop().time() - told_at < 3.0


async def served_again(env, body):
    """Wait until each gateway gets an answer, whose circuits are closed again then."""
    for vm in env.gateway_by_vm:
        async with asyncio.timeout(10.0):
            response = await env.send_request("/order/a", vm=vm, body=body)
            while response.status != 200:
                await asyncio.sleep(0.1)
                response = await env.send_request("/order/a", vm=vm, body=body)


async def test_a_sound_call_that_repeats_is_served_though_servers_crash_for_other_reasons():
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("desk-1", "desk-2"), deadly=())
        for _ in range(4):
            await served_again(env, b"page 7")
            for engine in servers.engines:
                engine.behaviour = lambda arrival: Behaviour.MUTE
            waiting = [
                asyncio.create_task(env.send_request("/order/a", vm=vm, body=b"page 7"))
                for vm in env.gateway_by_vm
            ]
            await until(lambda: sum(each.running for each in servers.engines) == 3, "running")
            for engine in servers.engines:
                engine.behaviour = lambda arrival: Behaviour.SERVE
                engine.crash()
            assert {each.status for each in await asyncio.gather(*waiting)} == {502}
            await servers.all_back()
        await served_again(env, b"page 7")
        guards = [gateway.guard for gateway in env.gateway_by_vm.values()]
        assert sum(each.reported_crashes for each in guards) >= 8
        assert not any(each.quarantines or each.refused for each in guards)


async def test_callers_of_a_deadly_call_are_told_that_it_has_not_run_and_when_it_is_tried():
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        digest = request_digest("shop.example", b"/look/a", DEADLY)
        crashed = tuple(
            CrashedRequest(f"gone-{n}", 1, (request_feature(digest),)) for n in range(2)
        )
        gateway.mesh.notices.receive(CrashEvidence(crashed, ()), "vm-9")
        response = await env.send_request("/look/a", body=DEADLY)
        assert response.status == 503
        assert 29.0 < float(response.headers["retry-after"]) <= REQUEST_TRIAL_SECONDS
        assert gateway.guard.refused == 1
        assert gateway.dispatcher._shared.metrics.count_by_code[ResultCode.REQUEST_QUARANTINED] == 1


async def test_a_trial_is_told_to_peers_and_releases_a_sound_call(monkeypatch):
    monkeypatch.setattr(request_quarantine, "REQUEST_TRIAL_SECONDS", 0.5)
    async with rig() as env:
        second = await env.add_gateway("vm-2")
        gateway = env.gateway_by_vm["vm-1"]
        digest = request_digest("shop.example", b"/look/a", b"page 7")
        crashed = tuple(
            CrashedRequest(f"gone-{n}", 1, (request_feature(digest),)) for n in range(2)
        )
        gateway.mesh.notices.receive(CrashEvidence(crashed, ()), "vm-9")
        await until(lambda: second.guard.quarantines, "told")
        statuses = []
        async with asyncio.timeout(10.0):
            while gateway.guard.quarantines or second.guard.quarantines:
                response = await env.send_request("/look/a", vm="vm-2", body=b"page 7")
                statuses.append(response.status)
                await asyncio.sleep(0.05)
        assert statuses[0] == 503 and 200 in statuses
        assert gateway.guard.trials + second.guard.trials == 1


async def test_all_streams_that_a_crash_breaks_share_one_check_of_the_engine(monkeypatch):
    checks = []
    check_server = ConnectionPool.check_server

    async def count(pool):
        checks.append(pool.address)
        return await check_server(pool)

    monkeypatch.setattr(ConnectionPool, "check_server", count)
    async with rig() as env:
        for engine_id in ("dec-1", "dec-2"):
            env.engine_by_id[engine_id].pause = 0.2
        streams = [asyncio.create_task(env.stream(f"/digest/{number}")) for number in range(12)]
        engine = env.engine_by_id["dec-1"]
        await until(lambda: engine.running >= 3, "running")
        engine.crash()
        assert all(each.is_whole for each in await asyncio.gather(*streams))
        assert checks == [engine.address]
