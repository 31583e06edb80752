"""Metric of the prompts that engines have read for nothing."""

import asyncio

import pytest

from pimentoquay.gateway.tests.rig import model_headers, rig, until
from pimentoquay.standin.platform_engine import Behaviour

PROMPT = 5000


def wasted(env):
    return env.gateway_by_vm["vm-1"].dispatcher._shared.prompt_waste.tokens_by_reason


def let_first_run(env, behaviour, is_prefill=False):
    """Let the first prefill or run of a stream end in another way."""
    seen: list[object] = []

    def choose(arrival):
        if arrival.is_prefill is not is_prefill or seen:
            return Behaviour.SERVE
        seen.append(arrival)
        return behaviour

    for name in ("pre-1", "dec-1", "dec-2"):
        env.engine_by_id[name].behaviour = choose


@pytest.mark.parametrize(
    ("behaviour", "reason"),
    [(Behaviour.BREAK, "run broken off"), (Behaviour.SHED, "refused")],
)
async def test_prompts_of_runs_that_did_not_end_are_counted_by_why(behaviour, reason):
    async with rig() as env:
        let_first_run(env, behaviour)
        assert (await env.stream()).is_whole
        assert wasted(env) == {reason: PROMPT}
        text = env.gateway_by_vm["vm-1"].dispatcher._shared.metrics.text()
        assert f'prompt_tokens_wasted_total{{reason="{reason}"}} {PROMPT}' in text


@pytest.mark.parametrize(
    ("behaviour", "counted"), [(Behaviour.RESET, {"prefill failed": PROMPT}), (Behaviour.SHED, {})]
)
async def test_prompts_of_failed_prefills_are_counted_unless_they_were_refused(behaviour, counted):
    async with rig() as env:
        let_first_run(env, behaviour, is_prefill=True)
        assert (await env.stream()).is_whole
        assert wasted(env) == counted


async def test_the_prompt_of_a_stream_whose_caller_leaves_is_counted():
    async with rig() as env:
        for name in ("dec-1", "dec-2"):
            env.engine_by_id[name].pause = 0.5
        async with env.open("/digest/a", headers=model_headers()):
            await asyncio.sleep(0.1)
        await until(lambda: wasted(env) == {"caller left or timeout": PROMPT}, "counted")


async def test_nothing_is_counted_of_a_stream_that_ends():
    async with rig() as env:
        assert (await env.stream()).is_whole
        assert wasted(env) == {}
