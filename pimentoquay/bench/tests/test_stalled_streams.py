"""An engine that holds a stream stops decoding, or only slows down."""

import asyncio
import dataclasses
from contextlib import aclosing

import pytest

from pimentoquay.bench.answers import DONE_FRAME, text_of_frames
from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.test_memory_cluster import spec
from pimentoquay.messages.placement import Stage
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

PROMPT = "printer 7 jams " * 40
MAX_TOKENS = 120
REQUEST = dataclasses.replace(spec(7, PROMPT), max_tokens=MAX_TOKENS)
STOPPED = 0.0005
NOTICED_SECONDS = 6.0
"""The gap, three resumes as long, a second prefill and the tokens that came before."""


def decoder_of(cluster, request_id):
    return next(
        engine
        for engine in cluster.engine_by_name.values()
        for held in engine.observed().held
        if held.request_id == request_id and held.stage is Stage.DECODE
    )


async def read(cluster, at_token, act):
    """Read an answer and act once at a token; return the frames and the longest gap."""
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
async def test_stream_that_stops_is_noticed_and_run_elsewhere(token):
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def stop():
        decoder_of(cluster, "r7").set_speed(STOPPED)

    gap = await read(cluster, token, stop)
    assert gap < NOTICED_SECONDS
    await cluster.close()


async def test_engine_that_decodes_ten_times_slower_is_no_stall():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def slow():
        decoder_of(cluster, "r7").set_speed(0.1)

    await read(cluster, 3, slow)
    engines = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(engine.decodes_started for engine in engines) == 1
    await cluster.close()


async def test_caller_that_reads_slowly_is_no_stall():
    cluster = MemoryCluster(PRINT_SERVICES)
    await cluster.start()

    async def linger():
        await asyncio.sleep(4)

    await read(cluster, 3, linger)
    engines = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert sum(engine.decodes_started for engine in engines) == 1
    await cluster.close()
