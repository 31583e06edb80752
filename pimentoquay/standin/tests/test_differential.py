"""The same calls give the same results on engines in process and on engines over HTTP."""

import asyncio
import contextlib

import pytest

from pimentoquay.backends.base import (
    DecodeOrder,
    EngineLostError,
    EngineOrder,
    EngineRefusedError,
    EngineRole,
    ImportOrder,
    PrefillOrder,
)
from pimentoquay.backends.engine_http import HttpEngineClient
from pimentoquay.kernel import PimentoquayError
from pimentoquay.standin import EngineDirectory, EngineModel, StandinEngine
from pimentoquay.standin.serve_engine import HttpKvSource, engine_app
from pimentoquay.standin.tests.served import served

FAST = EngineModel(
    step_seconds=0.001, prefill_seconds_per_token=1e-6, kv_lifetime=5.0, event_delay=0.0,
    event_loss=0.0, status_lag=0.0, finished_retention=30.0, load_seconds=0.0, link_rate=1e12,
)  # fmt: skip
PROMPT = "chapter é " * 60


def make_engine(name, role, find_peer):
    return StandinEngine(name, "m", find_peer, role, "v1", FAST)


@contextlib.asynccontextmanager
async def in_process():
    directory = EngineDirectory()
    engines = [
        make_engine("p", EngineRole.MIXED, directory),
        make_engine("d", EngineRole.DECODE, directory),
    ]
    directory.engine_by_address.update(p=engines[0], d=engines[1])
    yield engines, engines, "p"


@contextlib.asynccontextmanager
async def over_http():
    engines = [
        make_engine("p", EngineRole.MIXED, HttpKvSource),
        make_engine("d", EngineRole.DECODE, HttpKvSource),
    ]
    async with (
        served(engine_app(engines[0])) as address_p,
        served(engine_app(engines[1])) as address_d,
    ):
        clients = [HttpEngineClient(address_p), HttpEngineClient(address_d)]
        yield engines, clients, address_p
        assert [client.connections_in_use for client in clients] == [0, 0]
        for client in clients:
            await client.close()


async def outcome_of(call):
    try:
        return await call
    except (EngineRefusedError, EngineLostError) as error:
        return type(error).__name__
    except PimentoquayError as error:
        return int(error.code)


async def collect(frames):
    return b"".join([frame async for frame in frames])


async def run_scenario(open_pair):
    results = []
    async with open_pair() as (engines, (prefill_client, decode_client), address):

        def prefill(request_id, attempt=1):
            return prefill_client.prefill(PrefillOrder(request_id, attempt, "w", "m", PROMPT, 9, 1))

        def transfer(request_id, attempt=1):
            return decode_client.import_kv(ImportOrder(request_id, attempt, "p", address, 9))

        calls = [
            lambda: prefill("a"),
            lambda: transfer("a"),
            lambda: transfer("a"),
            lambda: collect(decode_client.decode(DecodeOrder("a", 1, True))),
            lambda: collect(decode_client.decode(DecodeOrder("a", 1, True))),
            lambda: collect(decode_client.resume("a", 1, 3)),
            lambda: collect(decode_client.resume("a", 1, 99)),
            lambda: decode_client.import_kv(ImportOrder("never", 2, "p", address, 9, 1)),
            lambda: prefill("b", 2),
            lambda: prefill("b", 1),
            lambda: collect(prefill_client.decode(DecodeOrder("b", 2, False))),
            lambda: decode_client.prefill(PrefillOrder("c", 1, "w", "m", PROMPT, 9, 1)),
            lambda: prefill_client.order(EngineOrder(5, "v1", (), EngineRole.MIXED)),
            lambda: prefill_client.order(EngineOrder(4, "v1", (), EngineRole.MIXED)),
            lambda: prefill("e"),
            lambda: prefill_client.cancel("e", -1),
            lambda: transfer("e"),
            lambda: prefill_client.cache_events(0),
            lambda: prefill_client.status(),
        ]
        for call in calls:
            results.append(await outcome_of(call()))
        results[-1] = (results[-1].kv_used_tokens, results[-1].fencing_number)
        engines[0].crash()
        results.append(await outcome_of(prefill("f")))
        for engine in engines:
            observed = engine.observed()
            results.append(
                (observed.prefilled_tokens, observed.used_tokens, observed.discarded_tokens)
            )
            results.append([(run.request_id, run.attempt, run.stage) for run in observed.runs])
    return results


async def test_served_engines_give_the_same_results_as_engines_in_process():
    local, remote = await run_scenario(in_process), await run_scenario(over_http)
    assert [without_time(item) for item in local] == [without_time(item) for item in remote]
    assert isinstance(local[3], bytes)
    assert local[3].endswith(b"data: [DONE]\n\n")


def without_time(item):
    if not isinstance(item, bytes):
        return item
    lines = item.split(b"\n\n")
    return [line.partition(b'"model"')[2] for line in lines]


async def test_a_stream_that_fails_by_a_crash_releases_its_connection():
    async with over_http() as (engines, (client, _), _address):
        await client.prefill(PrefillOrder("a", 1, "w", "m", PROMPT, 500, 1))
        engines[0].set_speed(0.1)
        with pytest.raises(EngineLostError):
            async for _ in client.decode(DecodeOrder("a", 1, True)):
                engines[0].crash()


async def test_cancelled_readers_close_their_connections():
    async with over_http() as (engines, (client, _), _address):
        engine = engines[0]

        async def read(number):
            await client.prefill(
                PrefillOrder(f"r{number}", 1, "w", "m", f"{number} {PROMPT}", 500, 1)
            )
            await collect(client.decode(DecodeOrder(f"r{number}", 1, True)))

        engine.set_speed(0.5)
        tasks = [asyncio.create_task(read(number)) for number in range(10)]
        await wait_until(lambda: sum(item.has_reader for item in engine.observed().held) == 10)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
        assert client.connections_in_use == 0
        await wait_until(lambda: not any(item.has_reader for item in engine.observed().held))
        assert len(engine.observed().held) == 10


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition was not met within 5 s")
