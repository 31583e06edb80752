"""Operators who publish through VMs at the same time, and remember what they were told."""

import asyncio

from pimentoquay.bench.faults.records import WORKSPACE, Published
from pimentoquay.bench.faults.world import FaultWorld, workspace
from pimentoquay.kernel import Identity
from pimentoquay.messages.operator import GetRequest, PublishAnswer, PublishRequest
from pimentoquay.messages.workspaces import ConfigurationRecord

__all__ = ["publish_race"]

_ANSWER_SECONDS = 15.0


async def publish_race(world: FaultWorld, vms: tuple[str, ...], change_id: str) -> None:
    """Let an operator at each VM publish a change on the version that the VM shows."""
    results = await asyncio.gather(
        *(_publish(world, vm, f"{change_id}-{index}") for index, vm in enumerate(vms))
    )
    world.published.extend(results)


async def _publish(world: FaultWorld, vm: str, change_id: str) -> Published:
    weight = world.next_weight()
    answer: PublishAnswer | None = None
    try:
        async with asyncio.timeout(_ANSWER_SECONDS):
            answer = await _ask(world, vm, change_id, weight)
    except (ConnectionError, TimeoutError):
        pass
    now = asyncio.get_running_loop().time()
    if answer is None:
        return Published(change_id, weight, None, 0, now)
    return Published(change_id, weight, answer.code, answer.version, now)


async def _ask(world: FaultWorld, vm: str, change_id: str, weight: int) -> PublishAnswer:
    identity = Identity("operator", "ctl", "region", "operators", 0)
    channel = await world.network.transport(identity).connect(world.vm_by_name[vm].address)
    try:
        channel.send(GetRequest(WORKSPACE, ""))
        shown = await channel.receive()
        base = shown.records[0].version if shown.records else 0
        wanted = workspace(weight, world.version_by_weight[weight])
        record = ConfigurationRecord(change_id, WORKSPACE, base, 0, wanted, "operator")
        channel.send(PublishRequest(record))
        # Each answer comes twice while messages of the VM are repeated.
        while not isinstance(answer := await channel.receive(), PublishAnswer):
            pass
        return answer
    finally:
        await channel.close()
