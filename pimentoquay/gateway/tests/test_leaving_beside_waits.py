"""Engines that leave, pause or start again while a request that was to go there waits."""

import asyncio
from dataclasses import dataclass, field

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.kernel.errors import WithheldError
from pimentoquay.standin.platform_engine import PlatformEngine


@dataclass
class SlowPrefillEngine(PlatformEngine):
    """Answers prefills once ``may_answer`` is set."""

    may_answer: asyncio.Event = field(default_factory=asyncio.Event)

    async def _answer(self, arrival, headers, reply):
        await self.may_answer.wait()
        await super()._answer(arrival, headers, reply)


async def drain(env, engine):
    """Let an engine report that it drains."""
    await env.store.put("keyed.servers", engine.id, engine.entry("draining"))
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: entry_of(fleet, engine).is_draining, "draining")


async def unlist(env, engine):
    """Remove an engine's entry, as one that never says that it drains."""
    await env.store.put("keyed.servers", engine.id, b"")
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: engine.id not in {each.id for each in fleet.engines()}, "gone")


async def say_leaving(env, engine):
    """Let an engine say in the answer to some call that it leaves."""
    engine.is_leaving = True
    gateway = env.gateway_by_vm["vm-1"]
    link = gateway.links.link_to(entry_of(gateway.fleet, engine))
    await link.call(link.calls.report())


async def start_again(env, engine):
    """Let an engine start again under its id, and its new entry be read."""
    engine.crash()
    await engine.restart()
    await env.store.put("keyed.servers", engine.id, engine.entry())
    fleet = env.gateway_by_vm["vm-1"].fleet
    await until(lambda: entry_of(fleet, engine).incarnation == engine.born, "listed")


def entry_of(fleet, engine):
    return next(each for each in fleet.engines() if each.id == engine.id)


def runs(engine):
    return [each for each in engine.arrivals if not each.is_prefill]


async def stream_beside(env, change, path="/sheet/a"):
    """Let a change come while a stream waits for its prefill; return what the stream leads to."""
    prefill = env.engine_by_id["pre-1"]
    decode = [env.engine_by_id[name] for name in ("dec-1", "dec-2")]
    stream = asyncio.create_task(env.stream(path))
    await until(lambda: prefill.arrivals, "prefilled")
    chosen = next(each for each in decode if each.holds)
    other = next(each for each in decode if each is not chosen)
    await change(env, chosen)
    prefill.may_answer.set()
    return await stream, chosen, other


async def replace_prefill_engine(env):
    await env.replace_engines([SlowPrefillEngine("pre-1", "llm", stage="prefill", born=2)])


@pytest.mark.parametrize("change", [drain, unlist, say_leaving])
async def test_a_stream_that_waits_for_its_prefill_is_not_sent_to_an_engine_that_leaves(change):
    """Guards against streams that are cut as the engine exits which was chosen before a wait."""
    async with rig() as env:
        await replace_prefill_engine(env)
        response, left, other = await stream_beside(env, change)
        assert (response.status, response.is_whole) == (200, True)
        assert not runs(left) and len(runs(other)) == 1
        assert len(env.engine_by_id["pre-1"].arrivals) == 1, "read again"
        assert "pimentoquay-kv-source" in runs(other)[0].headers
        await until(lambda: not left.holds, "memory released")


async def test_a_stream_is_not_sent_to_another_start_of_its_engine():
    """Guards against a hold of the start before that is used at the next one."""
    held = set()

    async def start_engine_again(env, engine):
        held.update(engine.holds)
        await start_again(env, engine)

    async with rig() as env:
        await replace_prefill_engine(env)
        response, left, other = await stream_beside(env, start_engine_again)
        assert (response.status, response.is_whole) == (200, True)
        used = {each.headers["pimentoquay-kv-hold"] for each in (*runs(left), *runs(other))}
        assert held and used and not used & held


async def test_a_hold_whose_answer_says_that_the_engine_leaves_is_not_used():
    """Guards against a stream at an engine that has just said that it leaves."""
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].is_leaving = True
        response = await env.stream("/sheet/a", deadline_ms=1500)
        assert response.status == 503
        for name in ("dec-1", "dec-2"):
            engine = env.engine_by_id[name]
            assert not engine.arrivals
            await until(lambda e=engine: not e.holds, "memory released")


async def test_a_stream_whose_engines_all_leave_is_refused_and_frees_its_prompt():
    """Guards against a prompt that is kept for a stream which no engine takes."""
    async with rig() as env:
        await replace_prefill_engine(env)
        other = env.engine_by_id["dec-2"]
        await drain(env, other)
        response, _, _ = await stream_beside(env, drain)
        assert response.status == 503
        assert not any(runs(env.engine_by_id[name]) for name in ("dec-1", "dec-2"))


@pytest.mark.parametrize("path", ["/look/a", "/order/a"])
async def test_a_call_that_waits_for_a_connection_is_not_sent_to_a_server_that_leaves(
    path, monkeypatch
):
    """Guards against a choice that is not looked at again as the request is written."""
    async with rig(start_gateway=False) as env:
        servers = [env.engine_by_id[name] for name in ("desk-1", "desk-2")]
        held_up, may_connect = [], asyncio.Event()
        original = env.links.connector

        def connector(vm):
            connect = original(vm)

            async def slow(factory, host, port):
                address = f"{host}:{port}"
                if not may_connect.is_set() and address in {each.address for each in servers}:
                    held_up.append(address)
                    await may_connect.wait()
                return await connect(factory, host, port)

            return slow

        monkeypatch.setattr(env.links, "connector", connector)
        gateway = await env.add_gateway()
        call = asyncio.create_task(env.send_request(path))
        await until(lambda: held_up, "waiting for a connection")
        left = next(each for each in servers if each.address == held_up[0])
        other = next(each for each in servers if each is not left)
        gateway.fleet.notices.record_leaving(
            [entry_of(gateway.fleet, left).start], gateway.node.timers.now()
        )
        may_connect.set()
        response = await call
        assert (response.status, len(left.arrivals), len(other.arrivals)) == (200, 0, 1)


async def test_a_request_is_withheld_from_an_engine_that_has_paused_while_it_waited():
    """Guards against requests that reach an engine in the pause that it has asked for."""
    async with rig() as env:
        gateway = env.gateway_by_vm["vm-1"]
        link = gateway.links.link_to(entry_of(gateway.fleet, env.engine_by_id["desk-1"]))
        now = gateway.node.timers.now()
        gateway.fleet.notices.record_pause(link.entry.start, 5.0, now - 1.0)
        with pytest.raises(WithheldError):
            link._check_accepting()
        assert gateway.fleet.is_accepting(link.entry)
