"""Tests that a stalled decode is detected, and that slowness is not mistaken for a stall."""

import asyncio
import dataclasses
from contextlib import aclosing

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.response_frames import DONE_FRAME, text_of_frames
from pimentoquay.bench.tests.test_memory_cluster import spec
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

PROMPT = "printer 7 jams " * 40
MAX_TOKENS = 120
REQUEST = dataclasses.replace(spec(7, PROMPT), max_tokens=MAX_TOKENS)
STALLED_SPEED = 0.0005
MAX_GAP_SECONDS = 6.0
"""Maximum gap between two tokens, in seconds.

It covers the stall timeout, three resumes that take as long, a second prefill and the repetition of
the tokens before the stall.
"""


def find_decode_engine(cluster, request_id):
    return next(
        engine
        for engine in cluster.engine_by_name.values()
        for held in engine.observed().held
        if held.request_id == request_id and held.stage is Stage.DECODE
    )


async def read_answer(cluster, at_token, act):
    """Read an answer and return the longest gap between chunks in seconds.

    ``act`` is called once, after the chunk that brings the token count to ``at_token``.
    """
    loop = asyncio.get_running_loop()
    received, last, longest = b"", 0.0, 0.0
    service = cluster.vm_by_name["tt-north-vm-1"].entry.service
    async with aclosing(service.run(REQUEST)) as frames:
        async for chunk in frames:
            longest = max(longest, loop.time() - last) if last else 0.0
            received += chunk
            if act is not None and received.count(b"\n\n") >= at_token:
                await act()
                act = None
            last = loop.time()
    assert DONE_FRAME in received
    assert text_of_frames(received) == answer_text(PROMPT, MAX_TOKENS)
    return longest


@pytest.mark.parametrize("token", [1, 2, 12, 40])
async def test_stalled_stream_is_detected_and_continued_on_another_engine(token):
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def stop():
        find_decode_engine(cluster, "r7").set_speed(STALLED_SPEED)

    gap = await read_answer(cluster, token, stop)
    assert gap < MAX_GAP_SECONDS
    await cluster.close()


async def test_engine_that_decodes_ten_times_slower_does_not_count_as_stalled():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def slow():
        find_decode_engine(cluster, "r7").set_speed(0.1)

    await read_answer(cluster, 3, slow)
    engines = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(engine.decodes_started for engine in engines) == 1
    await cluster.close()


async def test_slow_reader_does_not_count_as_a_stall():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def linger():
        await asyncio.sleep(4)

    await read_answer(cluster, 3, linger)
    engines = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(engine.decodes_started for engine in engines) == 1
    await cluster.close()
