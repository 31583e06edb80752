"""Reading the list of engines while each pass of the event loop takes long."""

import asyncio
import base64
import json
import time

import pytest

from pimentoquay.gateway.origin_store import READ_SECONDS
from pimentoquay.kernel.turns import TurnQueue
from pimentoquay.platform import store
from pimentoquay.policy.turn_order import LeastServedFirst

ENGINES = 2800
PAGE = 500


def pages():
    value = base64.b64encode(json.dumps({"service": "llm", "address": "10.0.0.1:80"}).encode())
    items = [{"key": f"e{n}", "value": value.decode(), "offset": n} for n in range(ENGINES)]
    for start in range(0, ENGINES, PAGE):
        part = items[start : start + PAGE]
        more = start + PAGE < ENGINES
        yield json.dumps({"items": part, "hasMore": more, "endOffset": ENGINES}).encode()


@pytest.mark.parametrize("pass_seconds", [0.002, 0.006, 0.01])
async def test_the_largest_list_is_parsed_in_the_time_of_a_resumption(pass_seconds):
    """One turn of 32 records in each pass takes 90 passes, and a busy loop has slow ones."""
    turns = TurnQueue(LeastServedFirst(time.monotonic))
    loop, is_busy = asyncio.get_running_loop(), True

    def work():
        time.sleep(pass_seconds)
        if is_busy:
            loop.call_soon(work)

    bodies = list(pages())
    loop.call_soon(work)
    begun = time.monotonic()
    count = 0
    for body in bodies:
        count += len((await store._parse_latest_page(body, 1, turns)).records)
    took = time.monotonic() - begun
    is_busy = False
    assert count == ENGINES
    assert took < READ_SECONDS, f"{took:.2f} s, {turns.turns} turns"
