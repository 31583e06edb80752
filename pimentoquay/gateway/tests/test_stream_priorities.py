"""Priorities of streams between gateways, coordinators and engines, in one process."""

import asyncio
from dataclasses import dataclass

import pytest

from pimentoquay.gateway.stream_classes import (
    MAX_CLASSES,
    ClassCounts,
    PlaceClasses,
    class_message,
)
from pimentoquay.gateway.tests.rig import ROUTES, configuration, rig, route, until
from pimentoquay.gateway.tests.test_pools import POOL, VMS, coordinators, placement, start_gateways
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.messages import codec
from pimentoquay.messages.codec import CodecError, decode, encode
from pimentoquay.messages.pools import MAX_WORKSPACE_LENGTH, PlaceClass, PoolKey
from pimentoquay.policy.stream_admission import StreamTimes
from pimentoquay.policy.stream_queue import WaitingStream

STREAM = {"resumable": True, "gapTargetMs": 300, "stickySessions": True}
TWO_PRIORITIES = (
    *ROUTES[:2],
    route("digest", "stream", "llm", priority=0, **STREAM),
    route("sheet", "stream", "llm", priority=2, **STREAM),
)
HEADER = "pimentoquay-request-priority"


@dataclass
class FakeJob:
    priority: int = 0
    workspace_name: str = ""


async def use_routes(env, routes):
    await env.store.put("keyed.op", "config", configuration(2, routes))
    fleets = [each.fleet for each in env.gateway_by_vm.values()]
    await until(lambda: all(each.configuration.version == 2 for each in fleets), "configured")


def urgencies(env, path):
    """Return the urgencies that all engines were told of requests on a path."""
    return {
        each.headers.get(HEADER)
        for engine in env.engine_by_id.values()
        for each in engine.arrivals
        if each.target.startswith(path)
    }


async def test_engines_are_told_nothing_where_all_streams_have_one_priority():
    async with rig() as env:
        own = ((b"Pimentoquay-Request-Priority", b"0"),)
        for path in ("/digest/a", "/sheet/a"):
            assert (await env.stream(path, headers=own)).status == 200
        assert urgencies(env, "/") == {None}


async def test_engines_are_told_priorities_and_which_streams_have_begun():
    """Engines preempted the newest stream, whatever its priority and whether it had begun."""
    async with rig() as env:
        await use_routes(env, TWO_PRIORITIES)
        for path, new, begun in (("/digest/", "5", "0"), ("/sheet/", "6", "1")):
            assert (await env.stream(path + "a")).status == 200
            assert urgencies(env, path) == {new}
            resumed = await env.stream(path + "b", headers=((b"Last-Event-Id", b"2"),))
            assert resumed.status == 200
            assert urgencies(env, path + "b") == {begun}


@pytest.mark.parametrize("routes", [TWO_PRIORITIES, None])
async def test_a_coordinator_is_told_the_priority_of_a_stream(relays, routes):
    async with rig() as env:
        await start_gateways(env)
        if routes is not None:
            await use_routes(env, routes)
        (vm,) = coordinators(env)
        pool = placement(env, vm)
        priority_by_key, request = {}, pool.request

        def record(key, stream, now):
            priority_by_key[key] = stream.priority
            return request(key, stream, now)

        pool.request = record
        other = next(each for each in VMS if each != vm)
        paths = ("/digest/a", "/sheet/a")
        answers = await asyncio.gather(
            *(env.stream(path, vm=each) for path in paths for each in (vm, other))
        )
        assert {each.status for each in answers} == {200}
        expected = [0, 0, 2, 2] if routes is not None else [1] * 4
        assert sorted(priority_by_key.values()) == expected


async def test_streams_are_served_beside_builds_that_know_no_priorities(relays, monkeypatch):
    """An unknown message number must not end a gateway, nor keep a stream from being placed."""
    monkeypatch.delitem(codec._class_by_number, 162)
    async with rig() as env:
        await start_gateways(env)
        with pytest.raises(CodecError):
            decode(encode(PlaceClass("k", POOL, 1, "")))
        answers = await asyncio.gather(*(env.stream("/digest/a", vm=vm) for vm in VMS))
        assert {each.status for each in answers} == {200}
        assert not any(env.has_ended(vm) for vm in VMS)


async def test_a_gateway_of_a_full_mesh_serves_a_higher_priority_first():
    async with rig() as env:
        await use_routes(env, TWO_PRIORITIES)
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.1
            env.engine_by_id[name].capacity = 40_000
        running = [asyncio.create_task(env.stream(f"/sheet/{n}")) for n in range(20)]
        waiting = env.gateway_by_vm["vm-1"].dispatcher._streams._reservations._waiting
        await until(lambda: len(waiting) >= 4, "some wait")
        before = len(waiting)
        paid = asyncio.create_task(env.stream("/digest/paid"))
        await until(lambda: any(each.priority == 0 for each in waiting), "it waits too")
        await until(lambda: not any(each.priority == 0 for each in waiting), "it got memory")
        assert len(waiting) >= before - 3
        assert (await paid).status == 200
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def test_nothing_is_sent_of_streams_without_priority_and_workspace():
    pool = PoolKey("llm", "hall", 0)
    assert class_message(FakeJob(), "k", pool) is None  # type: ignore[arg-type]
    assert class_message(FakeJob(-3), "k", pool) is None  # type: ignore[arg-type]


@pytest.mark.parametrize("name", ["a" * 5000, "\ud800b", "", "é" * 300])
@pytest.mark.parametrize("priority", [1, 10**30])
def test_any_priority_and_workspace_can_be_sent(name, priority):
    """Names come from the configuration, where they may be of any length and characters."""
    pool = PoolKey("llm", "hall", 0)
    message = class_message(FakeJob(priority, name), "k", pool)  # type: ignore[arg-type]
    assert message is not None
    assert decode(encode(message)) == message
    assert 0 <= message.priority <= 9 and len(message.workspace) <= MAX_WORKSPACE_LENGTH


@pytest.mark.parametrize(
    ("priority", "workspace"),
    [(-1, ""), (10, ""), (2**70, ""), ("1", ""), (1.0, ""), (0, "a" * 257), (0, b"a"), (0, None)],
)
def test_an_invalid_class_is_refused_by_the_codec(priority, workspace):
    frame = bytearray(encode(PlaceClass("k", PoolKey("llm", "hall", 0), 3, "ws")))
    values = codec.cbor2.loads(bytes(frame))
    values[3:] = [priority, workspace]
    with pytest.raises(CodecError):
        decode(codec.cbor2.dumps(values))


def test_a_coordinator_keeps_a_bounded_number_of_classes():
    """Streams that are never asked for again must not fill the memory of a coordinator."""
    classes = PlaceClasses()
    for number in range(MAX_CLASSES + 10):
        classes.record("vm-1", PlaceClass(str(number), POOL, 3, "ws"))
    assert len(classes) == MAX_CLASSES
    assert classes.of("vm-1", "0") == (0, "")
    assert classes.of("vm-1", str(MAX_CLASSES)) == (3, "ws")
    assert classes.of("vm-2", str(MAX_CLASSES)) == (0, "")
    classes.forget("vm-1", str(MAX_CLASSES))
    assert classes.of("vm-1", str(MAX_CLASSES)) == (0, "")


def test_streams_are_counted_by_priority():
    counts = ClassCounts()
    stream = WaitingStream(None, StreamTimes(0.0, 1.0, 4.0), priority=10**9)  # type: ignore[arg-type]
    counts.record(stream)
    counts.record(stream, RefusedError(ResultCode.QUEUE_FULL, "full", 1.0))
    counts.record(stream, RefusedError(ResultCode.NO_BACKEND, "none", 1.0))
    assert counts.placed == counts.refused == {"9": 1}
