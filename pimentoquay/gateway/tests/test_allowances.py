"""Allowances of workspaces over several gateways, and what is sent for them."""

import asyncio
from dataclasses import replace
from functools import partial

import pytest

from pimentoquay.gateway import dispatcher
from pimentoquay.gateway.elapsed_time import ElapsedTime
from pimentoquay.gateway.job import Job
from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.kernel.logs import logger
from pimentoquay.kernel.traffic import refused_messages
from pimentoquay.messages import codec
from pimentoquay.messages.allowances import AllowanceReply, AllowanceReturned
from pimentoquay.messages.pools import PlaceCancelled, PoolKey
from pimentoquay.policy.allowance_leases import workspace_rank
from pimentoquay.policy.workspaces import Allowance, Workspace

VMS = ("vm-1", "vm-2", "vm-3")


@pytest.fixture
def workspace(monkeypatch):
    """Return a function that sets the workspace of all requests."""

    def use(each):
        def make(*arguments, **options):
            return replace(Job(*arguments, **options), workspace=each)

        monkeypatch.setattr(dispatcher, "Job", make)

    return use


def record_sent(env):
    """Return the list of messages about allowances, which grows as gateways send them."""
    sent = []
    for gateway in env.gateway_by_vm.values():
        relays = gateway.mesh.relays

        def send(target, message, original=relays.send_to):
            if type(message).__module__.endswith("messages.allowances"):
                sent.append(message)
            original(target, message)

        relays.send_to = send
    return sent


async def start_gateways(env, vms=VMS):
    for vm in vms[1:]:
        await env.add_gateway(vm)
    meshes = [gateway.mesh for gateway in env.gateway_by_vm.values()]
    await until(lambda: all(each.gateway_count == len(vms) for each in meshes), "all known")


@pytest.mark.looptime
async def test_all_gateways_together_keep_to_an_allowance(workspace):
    """Gateways that each counted for themselves would let three times as many requests run."""
    workspace(Workspace("huka270", None, Allowance(10.0, 2.0)))
    async with rig() as env:
        await start_gateways(env)
        statuses: list[int] = []
        retry_after: list[float] = []
        loop = asyncio.get_running_loop()
        began_at = loop.time()

        async def call_on(vm):
            while loop.time() < began_at + 8.0:
                response = await env.send_request(f"/look/{vm}", vm=vm)
                statuses.append(response.status)
                retry_after.extend(
                    float(value)
                    for name, value in response.headers.items()
                    if name.lower() in ("retry-after", b"retry-after")
                )
                await asyncio.sleep(0.02)

        await asyncio.gather(*(call_on(vm) for vm in VMS for _ in range(2)))
        elapsed = loop.time() - began_at
        assert set(statuses) == {200, 429}
        assert statuses.count(200) <= (10.0 * elapsed + 2.0) * 1.1
        assert statuses.count(200) >= 10.0 * (elapsed - 2.0) * 0.8
        assert retry_after and all(0.0 < each < 6.0 for each in retry_after)


async def test_a_gateway_behind_a_relay_takes_units(workspace, relays):
    workspace(Workspace("huka270", None, Allowance(1e6, 1e6, True, 200.0)))
    async with rig() as env:
        _, leaf = await env.add_gateways_behind_relays()
        assert (await env.stream(vm=leaf)).status == 200
        counted = [each.allowance_granting for each in env.gateway_by_vm.values()]
        assert sum(each.active_workspaces for each in counted) >= 1


@pytest.mark.parametrize(
    "each", [None, Workspace("huka270"), Workspace("huka270", 1, Allowance(0.0, 0.0))]
)
async def test_nothing_is_sent_for_requests_without_an_allowance(workspace, each):
    """Deployments without allowances would pay for the votes of granters."""
    workspace(each)
    async with rig() as env:
        await start_gateways(env)
        sent = record_sent(env)
        for vm in VMS:
            assert (await env.send_request("/look/a", vm=vm)).status == 200
        await asyncio.sleep(1.5)
        assert not sent


async def test_units_are_given_back_unless_a_request_may_have_run(workspace):
    """A workspace would lose its allowance to requests that engines refuse."""
    workspace(Workspace("huka270", None, Allowance(1e6, 1e6)))
    async with rig() as env:
        sent = record_sent(env)

        def returned():
            return [m for m in sent if isinstance(m, AllowanceReturned) and m.units]

        assert (await env.send_request("/look/a")).status == 200
        assert not returned()
        for name in ("desk-1", "desk-2"):
            await env.engine_by_id[name].close()
        assert (await env.send_request("/order/a")).status == 503
        assert len(returned()) == 1


async def test_units_are_not_taken_for_a_caller_that_leaves(workspace):
    workspace(Workspace("huka270", None, Allowance(0.1, 50.0)))
    async with rig() as env:
        sent = record_sent(env)
        call = asyncio.create_task(env.send_request("/look/a"))
        await until(lambda: sent, "asked")
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)
        await until(lambda: any(isinstance(m, AllowanceReturned) for m in sent), "cancelled")


@pytest.mark.looptime
@pytest.mark.parametrize("old", [("vm-2",), ("vm-2", "vm-3")])
async def test_requests_are_served_among_old_builds(workspace, old):
    """In an upgrade, the votes and the granters of old builds are missing, but not cut off."""
    workspace(Workspace("huka270", None, Allowance(1e6, 1e6)))
    async with rig() as env:
        await start_gateways(env)
        for vm in old:
            env.gateway_by_vm[vm].mesh.relays.receive_routed = lambda source, message: None
        await asyncio.sleep(1.0)
        statuses = [(await env.send_request("/look/a")).status for _ in range(4)]
        assert statuses == [200] * 4
        await asyncio.sleep(8.0)
        assert (await env.send_request("/look/a")).status == 200
        has_votes = env.gateway_by_vm["vm-1"].allowance_granting._granter.leases.steady_since
        assert has_votes < float("inf")


@pytest.mark.looptime
@pytest.mark.parametrize(("burst", "is_reported"), [(0.1, True), (1.0, False)])
async def test_a_burst_too_small_for_a_request_is_reported(workspace, burst, is_reported):
    """All such requests get 429 without Retry-After, and nothing would tell operators why."""
    workspace(Workspace("huka270", None, Allowance(0.1, burst)))
    lines = []
    sink = logger.add(lambda line: lines.append(str(line)), level="WARNING")
    async with rig() as env:
        statuses = [(await env.send_request("/look/a")).status for _ in range(3)]
    logger.remove(sink)
    assert 429 in statuses
    assert any("burst too small" in line for line in lines) is is_reported


@pytest.mark.looptime
async def test_requests_are_counted_if_replies_come_after_a_short_deadline(workspace):
    """One ask of 80 ms without a reply would let all requests of 5 s run uncounted."""
    names = (f"huka{number}" for number in range(100))
    name = next(each for each in names if min(VMS, key=partial(workspace_rank, each)) == "vm-2")
    workspace(Workspace(name, None, Allowance(1.0, 2.0)))
    async with rig() as env:
        await start_gateways(env)
        loop = asyncio.get_running_loop()
        for gateway in env.gateway_by_vm.values():
            relays = gateway.mesh.relays

            def receive(source, message, original=relays.receive_routed):
                is_reply = isinstance(message, AllowanceReply)
                loop.call_later(0.1 if is_reply else 0.0, original, source, message)

            relays.receive_routed = receive
        await asyncio.sleep(1.0)
        await env.send_request("/look/a", deadline_ms=80)
        statuses = []
        for _ in range(41):
            statuses.append((await env.send_request("/look/a")).status)
            await asyncio.sleep(0.05)
        assert set(statuses) == {200, 429}
        assert statuses.count(200) <= 8


@pytest.mark.looptime
async def test_a_gateway_that_starts_cut_off_from_the_others_runs_nothing(workspace):
    """It would use an allowance that others use as well; it must not take them for old builds."""
    workspace(Workspace("huka270", None, Allowance(1e6, 1e6)))
    vms = tuple(f"vm-{number}" for number in range(1, 6))
    async with rig() as env:
        await start_gateways(env, vms)
        await env.kill("vm-1")
        for vm in vms[1:]:
            env.network.cut("vm-1", vm)
        await env.add_gateway("vm-1")
        await until(lambda: env.gateway_by_vm["vm-1"].mesh.gateway_count == 5, "known")
        for _ in range(3):
            assert (await env.send_request("/look/a")).status == 429
            await asyncio.sleep(3.0)
        assert (await env.send_request("/look/a", vm="vm-2")).status == 200


@pytest.fixture
def unknown_message():
    """Return a message that can be sent and whose number no receiver knows, as an old build."""

    @codec.message(9170)
    class Unknown:
        value: int

    del codec._class_by_number[9170]
    return Unknown(1)


async def test_a_routed_message_of_an_unknown_number_is_ignored(unknown_message):
    """A build without allowances has to keep its channels to those that send them."""
    async with rig() as env:
        await start_gateways(env)
        sender, receiver = env.gateway_by_vm["vm-2"].mesh, env.gateway_by_vm["vm-1"].mesh
        received = []
        receiver.relays.receive_routed = lambda source, message: received.append(message)
        before = set(sender._peers.channels("gateway"))
        known = PlaceCancelled("a", PoolKey("llm", "hall", 0))
        sender.relays.send_to("vm-1", unknown_message)
        sender.relays.send_to("vm-1", known)
        await until(lambda: received, "the next message")
        assert received == [known]
        assert set(sender._peers.channels("gateway")) >= before
        assert (await env.send_request("/look/a")).status == 200


async def test_an_unknown_number_on_a_channel_closes_it_and_the_gateways_go_on(unknown_message):
    """The reason for which messages about allowances are routed also in a full mesh."""
    async with rig() as env:
        await start_gateways(env)
        mesh = env.gateway_by_vm["vm-2"].mesh
        channel = mesh._peers.channel_to("vm-1", "gateway")
        channel.send(unknown_message)
        await until(lambda: channel not in mesh._peers.channels("gateway"), "closed")
        assert refused_messages["received"] >= 1
        await until(lambda: mesh._peers.channel_to("vm-1", "gateway"), "connected again")
        assert (await env.send_request("/look/a")).status == 200


def test_time_passes_while_a_process_is_suspended(monkeypatch):
    """The loop's clock stands still while a VM is suspended, and grants would seem valid then."""
    steady, boot = 5.0, 100.0
    monkeypatch.setattr("pimentoquay.gateway.elapsed_time.boot_time", lambda: boot)
    elapsed = ElapsedTime(lambda: steady)
    steady, boot = 6.0, 130.0
    assert elapsed.now() == 35.0
    steady, boot = 8.0, 130.0
    assert elapsed.now() == 37.0
