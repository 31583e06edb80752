"""A whole VM dies, entry and scheduler together; its callers resume through another one."""

import asyncio
import dataclasses
from contextlib import aclosing

import pytest

from pimentoquay.bench.answers import DONE_FRAME, text_of_frames
from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.tests.test_memory_cluster import spec
from pimentoquay.bench.tests.test_shutdown_orders import owner_of_pool
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

TOKENS_SEEN = 5


class MortalClient:
    """An engine's client of one VM, which sends no cancellation once the VM is dead."""

    def __init__(self, engine, vm, dead):
        self._engine = engine
        self._vm = vm
        self._dead = dead

    def __getattr__(self, name):
        return getattr(self._engine, name)

    async def cancel(self, request_id, attempt):
        if self._vm not in self._dead:
            await self._engine.cancel(request_id, attempt)


class MortalCluster(MemoryCluster):
    """A cluster whose VMs can die with streams open, which nobody then reads or cancels."""

    def __init__(self, *args, **options):
        self.dead = set()
        super().__init__(*args, **options)

    def ports_of(self, process):
        ports = super().ports_of(process)
        return dataclasses.replace(
            ports, engine=lambda member: MortalClient(ports.engine(member), process.vm, self.dead)
        )

    async def kill_vm(self, name):
        self.dead.add(name)
        await asyncio.gather(self.kill_entry(name), self.kill_control(name))


@pytest.mark.parametrize("away", [0.0, 0.1, 0.3, 0.6, 1.0, 2.0, 4.0])
async def test_stream_is_found_while_it_runs_and_after_it_has_ended(away):
    """The answer has 20 tokens at most and ends about 0.4 s after the death."""
    cluster = MortalCluster(PRINT_SERVICES)
    await cluster.start()
    victim = owner_of_pool(cluster, "diag-llm")
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
