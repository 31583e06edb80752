"""Tests that callers resume through another VM when a VM dies with its entry and scheduler."""

import asyncio
import dataclasses
from contextlib import aclosing

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.response_frames import DONE_FRAME, text_of_frames
from pimentoquay.bench.tests.test_memory_cluster import spec
from pimentoquay.bench.tests.test_shutdown_orders import find_pool_owner
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

TOKENS_SEEN = 5


class KillableClient:
    """Client of an engine on one VM; it sends no cancellation once the VM is dead."""

    def __init__(self, engine, vm, dead_vms):
        self._engine = engine
        self._vm = vm
        self._dead_vms = dead_vms

    def __getattr__(self, name):
        return getattr(self._engine, name)

    async def cancel(self, request_id, attempt):
        if self._vm not in self._dead_vms:
            await self._engine.cancel(request_id, attempt)


class KillableCluster(MemoryCluster):
    """Cluster whose VMs can die with open streams, which are then neither read nor cancelled."""

    def __init__(self, *args, **options):
        self.dead_vms = set()
        super().__init__(*args, **options)

    def ports_of(self, process):
        ports = super().ports_of(process)
        return dataclasses.replace(
            ports,
            engine=lambda member: KillableClient(ports.engine(member), process.vm, self.dead_vms),
        )

    async def kill_vm(self, name):
        self.dead_vms.add(name)
        await asyncio.gather(self.kill_entry(name), self.kill_control(name))


@pytest.mark.parametrize("away", [0.0, 0.1, 0.3, 0.6, 1.0, 2.0, 4.0])
async def test_stream_can_be_resumed_while_it_runs_and_after_it_has_ended(away):
    """The caller resumes ``away`` seconds after the death of the VM.

    The answer has at most 20 tokens and ends about 0.4 s after that death.
    """
    cluster = KillableCluster(PRINT_SERVICES)
    await cluster.start()
    victim = find_pool_owner(cluster, "diag-llm")
    other = next(name for name in cluster.vm_by_name if name != victim)
    prompt = "printer 7 jams " * 40
    request = spec(7, prompt)
    received = b""
    async with aclosing(cluster.vm_by_name[victim].entry.service.run(request)) as frames:
        async for chunk in frames:
            received += chunk
            if received.count(b"\n\n") >= TOKENS_SEEN:
                break
        await cluster.kill_vm(victim)
    await asyncio.sleep(away)
    service = cluster.vm_by_name[other].entry.service
    async with aclosing(service.resume(request, received.count(b"\n\n"))) as frames:
        async for chunk in frames:
            received += chunk
    assert DONE_FRAME in received
    assert text_of_frames(received) == answer_text(prompt, 20)
    await asyncio.sleep(6)
    engines = [engine.observed() for engine in cluster.engine_by_name.values()]
    assert all(engine.held_tokens == 0 for engine in engines)
    assert not any(engine.decoded_twice for engine in engines)
    await cluster.close()
