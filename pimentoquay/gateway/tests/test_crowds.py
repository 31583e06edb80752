"""Crowds of callers outside our control, against a gateway process with low limits.

Such crowds have ended a process, which ran out of memory.
"""

import asyncio
import itertools

import pytest

from pimentoquay.gateway.tests.crowd import (
    CHUNK,
    CROWD,
    RELEASE_SECONDS,
    head,
    hold,
    limited_gateway,
    memory_mb,
    open_descriptors,
    ordinary_request,
)

pytestmark = pytest.mark.alone

MEMORY_MB = 88
"""Memory of the smallest machines."""

DESCRIPTORS = 400
FILE_DESCRIPTORS = 200
"""Number of the descriptors that are reserved for files."""

RELEASED_MB = 16.0
"""Most memory that the process holds beyond what it held before, after the crowd has left."""

IDLE_CROWD = 300

HEAD_CROWD = 500
HEAD_DESCRIPTORS = 4100
"""Number of callers that send heads of many headers, and of descriptors that let them connect."""

BODY_BYTES = 4 * 1024 * 1024
CHUNKED = (b"Transfer-Encoding", b"chunked")
FULL = (b"Content-Length", str(BODY_BYTES).encode())
BLOCK = b"x" * 65536


def block_parts(beginning, block, count, end=b""):
    return itertools.chain([beginning], itertools.repeat(block, count), [end])


FORMS = {
    "chunks-short-of-the-end": lambda: block_parts(head(b"/order/a", CHUNKED), CHUNK, 63),
    "length-one-byte-missing": lambda: block_parts(head(b"/order/a", FULL), BLOCK, 63, BLOCK[:-1]),
    "chunks-past-the-limit": lambda: block_parts(head(b"/order/a", CHUNKED), CHUNK, 400),
    "one-chunk-of-1-gb": lambda: block_parts(
        head(b"/order/a", CHUNKED) + b"40000000\r\n", BLOCK, 200
    ),
    "stream-one-byte-missing": lambda: block_parts(
        head(b"/sheet/a", FULL, is_stream=True), BLOCK, 63, BLOCK[:-1]
    ),
}


async def check_after(gateway, memory_before):
    """Check that the process serves, and holds no more than before, once the crowd has left."""
    await asyncio.sleep(RELEASE_SECONDS)
    memory_after = memory_mb(gateway)
    assert gateway.process.returncode is None
    assert await ordinary_request(gateway) == 200
    assert memory_mb(gateway, "VmHWM") <= MEMORY_MB
    assert memory_after <= memory_before + RELEASED_MB


@pytest.mark.parametrize("form", FORMS)
async def test_bodies_that_never_end_stay_within_the_memory_of_the_machine(form, tmp_path):
    """Each connection held up to 4 MiB, and the sum was not bounded."""
    async with limited_gateway(tmp_path, MEMORY_MB, DESCRIPTORS) as gateway:
        assert await ordinary_request(gateway) == 200
        before = memory_mb(gateway)
        await asyncio.gather(*(hold(gateway, FORMS[form]()) for _ in range(CROWD)))
        await check_after(gateway, before)


async def test_slow_but_valid_callers_do_not_block_an_ordinary_one(tmp_path):
    """Large bodies that arrive slowly were all kept, and none of their callers is to blame."""
    async with limited_gateway(tmp_path, MEMORY_MB, DESCRIPTORS) as gateway:
        assert await ordinary_request(gateway) == 200
        before = memory_mb(gateway)
        crowd = [
            asyncio.create_task(
                hold(gateway, block_parts(head(b"/order/a", FULL), BLOCK, 64), 0.05, 10.0)
            )
            for _ in range(CROWD)
        ]
        await asyncio.sleep(2.0)
        assert await ordinary_request(gateway) == 200
        await asyncio.gather(*crowd)
        await check_after(gateway, before)


async def test_idle_connections_leave_descriptors_to_the_process(tmp_path):
    """Any number of connections was accepted, up to the limit of the system."""
    async with limited_gateway(tmp_path, MEMORY_MB, DESCRIPTORS) as gateway:
        assert await ordinary_request(gateway) == 200
        before = memory_mb(gateway)
        crowd = [asyncio.create_task(hold(gateway, ())) for _ in range(IDLE_CROWD)]
        most = 0
        while not all(task.done() for task in crowd):
            most = max(most, open_descriptors(gateway))
            await asyncio.sleep(0.02)
        assert most <= DESCRIPTORS - FILE_DESCRIPTORS
        await check_after(gateway, before)


async def test_a_single_large_body_is_served_on_the_smallest_machine(tmp_path):
    """A limit on all bodies together must not refuse one that is within the limits."""
    async with limited_gateway(tmp_path, MEMORY_MB, DESCRIPTORS) as gateway:
        before = memory_mb(gateway)
        answer = await hold(gateway, block_parts(head(b"/order/a", FULL), BLOCK, 64), seconds=10.0)
        assert answer.startswith(b"HTTP/1.1 200")
        await check_after(gateway, before)


@pytest.mark.parametrize("lines", [3200, 250])
async def test_heads_of_many_headers_stay_within_the_memory_of_the_machine(lines, tmp_path):
    """Parsed heads counted as nothing; 400 of 3,200 headers took a process from 37 to 240 MB."""
    names = b"".join(b"%c%c:\r\n" % (97 + i % 26, 97 + i // 26 % 26) for i in range(lines - 4))
    data = head(b"/order/a", (b"Content-Length", b"10"))[:-2] + names + b"\r\n"
    async with limited_gateway(tmp_path, MEMORY_MB, HEAD_DESCRIPTORS) as gateway:
        assert await ordinary_request(gateway) == 200
        crowd = [asyncio.create_task(hold(gateway, (data,))) for _ in range(HEAD_CROWD)]
        await asyncio.sleep(2.0)
        assert await ordinary_request(gateway) == 200
        await asyncio.gather(*crowd)
        await asyncio.sleep(RELEASE_SECONDS)
        assert gateway.process.returncode is None
        assert await ordinary_request(gateway) == 200
        assert memory_mb(gateway, "VmHWM") <= MEMORY_MB
