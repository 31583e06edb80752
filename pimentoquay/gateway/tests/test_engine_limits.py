"""Engines that name in their responses how many requests a second they take from all VMs."""

import asyncio

from pimentoquay.gateway.tests.rig import rig, until

LIMIT = 2.0
ALLOWED = 1.5 * LIMIT * 4 + 5
"""Requests that an engine may get in four seconds from the gateways that it has told."""


def most_in_four_seconds(times, since):
    times = sorted(at for at in times if at >= since)
    return max((sum(at <= other < at + 4.0 for other in times) for at in times), default=0)


async def load(env, vms, seconds, pause, path="/look"):
    """Send requests by each of the gateways at even intervals; return the responses."""
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + seconds
    tasks, number = [], 0
    while loop.time() < ends_at:
        vm = vms[number % len(vms)]
        number += 1
        tasks.append(asyncio.create_task(env.send_request(f"{path}/{number}", vm=vm)))
        await asyncio.sleep(pause)
    return await asyncio.gather(*tasks)


async def test_an_engine_that_names_a_limit_gets_no_more_from_all_gateways_together():
    """45 requests came in 4 s where 16 were allowed (incident second1)."""
    vms = [f"vm-{number}" for number in range(1, 5)]
    async with rig() as env:
        for vm in vms[1:]:
            await env.add_gateway(vm)
        engine = env.engine_by_id["desk-1"]
        times: list[float] = []
        loop = asyncio.get_running_loop()
        engine.behaviour = record_times(times, loop, engine.behaviour)
        engine.limit = str(LIMIT)
        told_at = loop.time()
        responses = await load(env, vms, 8.0, 0.02)
        assert {response.status for response in responses} == {200}
        assert 1 <= most_in_four_seconds(times, told_at + 3.0) <= ALLOWED


def record_times(times, loop, behaviour):
    def respond(arrival):
        times.append(loop.time())
        return behaviour(arrival)

    return respond


__all__ = ["until"]
