import asyncio
from contextlib import aclosing

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.response_frames import text_of_frames
from pimentoquay.entry.request import RequestSpec, token_count
from pimentoquay.messages.placement import Urgency
from pimentoquay.messages.workspaces import KindSpec
from pimentoquay.policy.prefixes import prefix_hashes
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

KIND = KindSpec("fault-log", "diag-llm", Urgency.NORMAL, 2.0, 0.055, 32000, 400, True)


def spec(number: int, prompt: str) -> RequestSpec:
    tokens, prefix = token_count(prompt), prefix_hashes(prompt)
    return RequestSpec(
        f"r{number}", "rates", "diag-llm", KIND, prompt, tokens, prefix, 20, True, True, 64
    )


async def read_answer(cluster, vm, request):
    async with aclosing(cluster.vm_by_name[vm].entry.service.run(request)) as frames:
        return b"".join([chunk async for chunk in frames])


async def test_requests_through_every_vm_are_answered_completely():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()
    prompts = {f"tt-north-vm-{n}": f"printer {n} jams " * 50 for n in range(1, 8)}
    answers = await asyncio.gather(
        *(read_answer(cluster, vm, spec(n, text)) for n, (vm, text) in enumerate(prompts.items()))
    )
    for text, frames in zip(prompts.values(), answers, strict=True):
        assert text_of_frames(frames) == answer_text(text, 20)
    await asyncio.sleep(2)
    assert all(engine.observed().held_tokens == 0 for engine in cluster.engine_by_name.values())
    await cluster.close()
