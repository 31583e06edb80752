"""Crowds of callers that send ahead or do not read, against a gateway process with low limits."""

import asyncio
import itertools

import pytest

from pimentoquay.gateway.tests.crowd import (
    CROWD,
    HOLD_SECONDS,
    head,
    limited_gateway,
    memory_mb,
    ordinary_request,
)
from pimentoquay.gateway.tests.test_crowds import DESCRIPTORS, MEMORY_MB, check_after

pytestmark = pytest.mark.alone

BODY = b"x" * 50_000
LENGTH = (b"Content-Length", str(len(BODY)).encode())
REQUESTS = {
    "long answers": head(b"/look/big", LENGTH) + BODY,
    "requests sent ahead": head(b"/order/a", LENGTH) + BODY,
    "streams": head(b"/sheet/a", LENGTH, is_stream=True) + BODY,
    "heads": b"POST /order/a HTTP/1.1\r\nHost: shop.example\r\nX-Pad: " + b"x" * 15_000,
}


async def send_only(gateway, request):
    """Send the request again and again, and read nothing."""
    _, writer = await asyncio.open_connection(gateway.host, gateway.front, limit=1024)
    try:
        async with asyncio.timeout(HOLD_SECONDS):
            for part in itertools.repeat(request):
                writer.write(part)
                await writer.drain()
    except (OSError, TimeoutError):
        pass
    finally:
        writer.transport.abort()


@pytest.mark.parametrize("kind", REQUESTS)
async def test_callers_that_read_nothing_stay_within_the_memory_of_the_machine(kind, tmp_path):
    """What waits for a caller that does not read is held by the process as well."""
    async with limited_gateway(tmp_path, MEMORY_MB, DESCRIPTORS) as gateway:
        assert await ordinary_request(gateway) == 200
        before = memory_mb(gateway)
        await asyncio.gather(*(send_only(gateway, REQUESTS[kind]) for _ in range(CROWD)))
        await check_after(gateway, before)
