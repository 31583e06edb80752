"""What a gateway concludes about engines when its own process stands still for a moment."""

import asyncio
import time

import pytest

from pimentoquay.gateway.tests.rig import rig
from pimentoquay.gateway.tests.test_deadly_requests import DEADLY, Servers, three_gateways

STALL_SECONDS = 0.25
ATTEMPTS = 8
"""Number of connections that three gateways open to find out what became of an engine."""


@pytest.mark.parametrize("stalled_attempt", range(ATTEMPTS))
async def test_a_crash_is_noticed_by_a_process_that_stands_still_while_it_looks(stalled_attempt):
    """In CI a crash left no evidence after a pause of 0.2 s, and one more engine crashed."""
    async with rig() as env:
        await three_gateways(env)
        servers = Servers(env, ("desk-1", "desk-2"), restart_seconds=5.0)
        loop = asyncio.get_running_loop()
        attempts = []

        def count(vm, address):
            if servers.crashes:
                attempts.append((vm, address))
                if len(attempts) == stalled_attempt + 1:
                    loop.call_soon(time.sleep, STALL_SECONDS)

        env.links.on_attempt = count
        assert (await env.send_request("/order/a", body=DEADLY)).status == 502
        assert env.gateway_by_vm["vm-1"].guard.reported_crashes == 1
