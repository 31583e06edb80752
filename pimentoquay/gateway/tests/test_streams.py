import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.standin.platform_engine import Behaviour

WHOLE = b"".join(f"id: {n}\ndata: piece {n}\n\n".encode() for n in range(1, 6))


def decode_engines(env):
    return [env.engine_by_id["dec-1"], env.engine_by_id["dec-2"]]


def decodes(env):
    return [arrival for engine in decode_engines(env) for arrival in engine.arrivals]


def set_first_behaviour(env, behaviour):
    """Apply a behaviour to the first request at a decode engine; serve all others."""
    seen = []

    def choose(arrival):
        seen.append(arrival)
        return behaviour if len(seen) == 1 else Behaviour.SERVE

    for engine in decode_engines(env):
        engine.behaviour = choose


async def test_a_stream_is_prefilled_separately_and_decoded_where_memory_is_reserved():
    async with rig() as env:
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        (prefill,) = env.engine_by_id["pre-1"].arrivals
        (decode,) = decodes(env)
        assert prefill.is_prefill and not decode.is_prefill
        assert decode.headers["pimentoquay-kv-hold"]
        source = decode.headers["pimentoquay-kv-source"]
        assert source == f"{env.engine_by_id['pre-1'].address}/kv1"
        run_ledger = env.gateway_by_vm["vm-1"].mesh.loads._run_ledger
        await until(lambda: run_ledger.own(0.0) == {}, "memory given back")


@pytest.mark.parametrize("behaviour", [Behaviour.BREAK, Behaviour.HALF_EVENT])
async def test_a_broken_stream_is_resumed_at_another_engine_after_its_last_complete_event(
    behaviour,
):
    async with rig() as env:
        set_first_behaviour(env, behaviour)
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        last = "3" if behaviour is Behaviour.BREAK else "2"
        assert [each.headers.get("last-event-id") for each in decodes(env)] == [None, last] or [
            each.headers.get("last-event-id") for each in decodes(env)
        ] == [last, None]


@pytest.mark.parametrize("behaviour", [Behaviour.BREAK, Behaviour.HALF_EVENT])
async def test_a_stream_that_may_not_be_resumed_never_looks_complete(behaviour):
    async with rig() as env:
        set_first_behaviour(env, behaviour)
        response = await env.stream("/sheet/a")
        assert not response.is_whole
        assert WHOLE.startswith(response.body)
        assert len(decodes(env)) == 1


@pytest.mark.parametrize("path", ["/digest/a", "/sheet/a"])
async def test_a_stream_without_length_or_chunks_is_whole_at_the_end_of_its_connection(path):
    async with rig() as env:
        set_first_behaviour(env, Behaviour.UNFRAMED)
        response = await env.stream(path)
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert len(decodes(env)) == 1
        assert (await env.stream(path)).is_whole


UNFRAMED_FAILURES = (
    Behaviour.UNFRAMED_HALF_EVENT,
    Behaviour.UNFRAMED_EMPTY,
    Behaviour.UNFRAMED_RESET,
)


@pytest.mark.parametrize("behaviour", UNFRAMED_FAILURES)
async def test_a_stream_without_length_or_chunks_that_was_broken_off_is_resumed(behaviour):
    async with rig() as env:
        set_first_behaviour(env, behaviour)
        response = await env.stream()
        assert (response.status, response.body, response.is_whole) == (200, WHOLE, True)
        assert len(decodes(env)) == 2


@pytest.mark.parametrize("behaviour", UNFRAMED_FAILURES)
async def test_a_stream_without_length_or_chunks_that_may_not_be_resumed_never_looks_whole(
    behaviour,
):
    async with rig() as env:
        set_first_behaviour(env, behaviour)
        response = await env.stream("/sheet/a")
        assert len(decodes(env)) == 1
        assert response.status == 502 or (not response.is_whole and WHOLE.startswith(response.body))


async def test_a_stream_that_provably_did_not_run_is_sent_again():
    async with rig() as env:
        set_first_behaviour(env, Behaviour.SHED)
        response = await env.stream("/sheet/a")
        assert (response.status, response.body) == (200, WHOLE)


async def test_an_engines_error_response_is_returned_if_the_stream_may_not_run_again():
    async with rig() as env:
        set_first_behaviour(env, Behaviour.FAIL)
        response = await env.stream("/sheet/a")
        assert (response.status, response.body) == (500, b"failed")
        assert "pimentoquay-server-stamp" in response.headers


async def test_the_decode_engine_reads_the_prompt_after_a_failed_prefill():
    async with rig() as env:
        env.engine_by_id["pre-1"].behaviour = lambda arrival: Behaviour.SHED
        response = await env.stream()
        assert (response.status, response.body) == (200, WHOLE)
        assert "pimentoquay-kv-source" not in decodes(env)[0].headers


async def test_a_stream_without_memory_is_refused_at_once_with_retry_after():
    async with rig() as env:
        for engine in decode_engines(env):
            engine.capacity = 0
        response = await env.stream()
        assert response.status in (429, 503)
        assert float(response.headers["retry-after"]) > 0
        assert decodes(env) == []
        assert env.engine_by_id["pre-1"].arrivals == []


async def test_all_resources_are_released_when_the_caller_disconnects():
    async with rig() as env:
        for engine in decode_engines(env):
            engine.pause = 30.0
        async with env.open("/digest/a", headers=model_headers()) as exchange:
            assert await exchange.read_chunk() == b"id: 1\ndata: piece 1\n\n"
        await until(
            lambda: sum(engine.incomplete_responses for engine in decode_engines(env)), "broken off"
        )
        run_ledger = env.gateway_by_vm["vm-1"].mesh.loads._run_ledger
        await until(lambda: run_ledger.own(0.0) == {}, "memory given back")


async def test_no_reservation_remains_if_the_caller_disconnects_during_the_prefill():
    async with rig() as env:
        env.engine_by_id["pre-1"].behaviour = lambda arrival: Behaviour.MUTE
        task = asyncio.create_task(env.stream())
        await until(lambda: env.engine_by_id["pre-1"].running, "prefilling")
        task.cancel()
        await until(lambda: not any(engine.holds for engine in decode_engines(env)), "no holds")
        assert decodes(env) == []


async def test_an_engine_that_rejected_a_stream_as_misdirected_is_avoided():
    """A restarted engine grants reservations before its entry shows its new stage. Each stream was
    sent to it up to four times (huong-giang, scale-1, seed 452864596677)."""
    async with rig() as env:
        dec_1 = env.engine_by_id["dec-1"]
        dec_1.behaviour = lambda arrival: Behaviour.MISDIRECTED
        for number in range(4):
            assert (await env.stream(f"/sheet/{number}")).status == 200
        assert len(dec_1.arrivals) == 1


async def test_a_stream_that_has_run_is_not_refused_as_not_run_if_its_second_run_is():
    """Its caller was told 503, which promises that nothing has run."""
    async with rig() as env:
        for engine in decode_engines(env):
            engine.behaviour = lambda arrival: Behaviour.RESET
            engine._create_hold = refuse_after(engine, decode_engines(env))
        response = await env.stream()
        assert len(decodes(env)) == 1
        assert response.status == 502


def refuse_after(engine, engines):
    """Return a replacement that reserves no memory once a stream has run."""
    create_hold = engine._create_hold

    def create(tokens, reply):
        if any(each.arrivals for each in engines):
            reply.send(503, ((b"Pimentoquay-Not-Executed", b"1"),), b"")
        else:
            create_hold(tokens, reply)

    return create


async def test_a_second_run_takes_two_sends_from_the_retry_budget():
    """A run sends its prompt and its stream to engines. Counting only one of them let a deployment
    make twice as many retries as its limits allow."""
    async with rig() as env:
        shared = env.gateway_by_vm["vm-1"].stage_controller._shared
        set_first_behaviour(env, Behaviour.SHED)
        assert (await env.stream("/sheet/a")).status == 200
        assert len(shared.retry_budgets._budget_for("llm")._repeat_times) == 2
        assert len(decodes(env)) == 2 and len(env.engine_by_id["pre-1"].arrivals) == 2
