"""Simulated operators who publish changes through several VMs concurrently."""

import asyncio

from pimentoquay.bench.faults.cluster import FaultCluster, make_workspace
from pimentoquay.bench.faults.records import WORKSPACE, Published
from pimentoquay.kernel import Identity
from pimentoquay.messages.operator import GetRequest, PublishAnswer, PublishRequest
from pimentoquay.messages.workspaces import ConfigurationRecord

__all__ = ["publish_race"]

_ANSWER_TIMEOUT_SECONDS = 15.0


async def publish_race(cluster: FaultCluster, vms: tuple[str, ...], change_id: str) -> None:
    """Publish a change through each VM at the same time and record the answers.

    Each change is based on the configuration version that its VM reports.
    """
    results = await asyncio.gather(
        *(_publish(cluster, vm, f"{change_id}-{index}") for index, vm in enumerate(vms))
    )
    cluster.published.extend(results)


async def _publish(cluster: FaultCluster, vm: str, change_id: str) -> Published:
    weight = cluster.next_weight()
    answer: PublishAnswer | None = None
    try:
        async with asyncio.timeout(_ANSWER_TIMEOUT_SECONDS):
            answer = await _send_publish_request(cluster, vm, change_id, weight)
    except (ConnectionError, TimeoutError):
        pass
    now = asyncio.get_running_loop().time()
    if answer is None:
        return Published(change_id, weight, None, 0, now)
    return Published(change_id, weight, answer.code, answer.version, now)


async def _send_publish_request(
    cluster: FaultCluster, vm: str, change_id: str, weight: int
) -> PublishAnswer:
    identity = Identity("operator", "ctl", "region", "operators", 0)
    channel = await cluster.network.transport(identity).connect(cluster.vm_by_name[vm].address)
    try:
        channel.send(GetRequest(WORKSPACE, ""))
        current = await channel.receive()
        base = current.records[0].version if current.records else 0
        new_workspace = make_workspace(weight, cluster.version_by_weight[weight])
        record = ConfigurationRecord(change_id, WORKSPACE, base, 0, new_workspace, "operator")
        channel.send(PublishRequest(record))
        # While the fault "messages twice" lasts, each answer arrives twice: skip the second answer
        # to the first request.
        while not isinstance(answer := await channel.receive(), PublishAnswer):
            pass
        return answer
    finally:
        await channel.close()
