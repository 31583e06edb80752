"""Tests that the VMs of a data centre can be drained and replaced one by one under load."""

import asyncio
import itertools
import random
from contextlib import aclosing

import pytest

from pimentoquay.bench.deployment import PRINT_SERVICES
from pimentoquay.bench.memory_cluster import MemoryCluster
from pimentoquay.bench.response_frames import DONE_FRAME, text_of_frames
from pimentoquay.bench.tests.test_memory_cluster import spec
from pimentoquay.control.drain import drain_control
from pimentoquay.kernel import PimentoquayError
from pimentoquay.standin.tokens import answer_text

pytestmark = pytest.mark.looptime

DATA_CENTRE = "city-hall"
SECONDS_BETWEEN_REQUESTS = 0.2


class Load:
    """Sends requests through the VMs in service and records those that failed."""

    def __init__(self, cluster: MemoryCluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self.in_service = set(cluster.vm_by_name)
        self.faults: list[str] = []
        self.answered = 0
        self.open_requests_by_vm: dict[str, set[int]] = {name: set() for name in cluster.vm_by_name}

    def record_interrupted(self, name: str) -> None:
        """Record the requests that are interrupted by the end of a VM's entry process."""
        self.faults += [
            f"r{number} through {name}: cut" for number in self.open_requests_by_vm[name]
        ]

    async def run(self) -> None:
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if not self.in_service:
                    return
                vm = self._rng.choice(sorted(self.in_service))
                group.create_task(self._request(number, vm))
                await asyncio.sleep(SECONDS_BETWEEN_REQUESTS)

    async def _request(self, number: int, vm: str) -> None:
        prompt = f"printer {number} jams " * 40
        service = self._cluster.vm_by_name[vm].entry.service
        received = b""
        self.open_requests_by_vm[vm].add(number)
        try:
            async with aclosing(service.run(spec(number, prompt))) as frames:
                async for chunk in frames:
                    received += chunk
        except PimentoquayError as error:
            self.faults.append(f"r{number} through {vm}: {error}")
            return
        finally:
            self.open_requests_by_vm[vm].discard(number)
        if DONE_FRAME not in received or text_of_frames(received) != answer_text(prompt, 20):
            self.faults.append(f"r{number} through {vm}: not its whole answer")
        self.answered += 1


async def drain_and_replace(cluster: MemoryCluster, load: Load, name: str) -> None:
    load.in_service.discard(name)
    vm = cluster.vm_by_name[name]
    draining = asyncio.create_task(drain_control(vm.control))
    await vm.entry.service.drained()
    load.record_interrupted(name)
    await cluster.kill_entry(name)
    await asyncio.wait_for(draining, 30)
    await cluster.kill_control(name)
    cluster.start_control(name)
    cluster.start_entry(name)
    await asyncio.sleep(4)
    load.in_service.add(name)


@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_rolling_drain_of_a_data_centre_interrupts_and_refuses_nothing(seed):
    cluster = MemoryCluster(PRINT_SERVICES, seed=seed)
    await cluster.start()
    load = Load(cluster, seed)
    sending = asyncio.create_task(load.run())
    names = [vm.name for vm in PRINT_SERVICES.vms() if vm.data_centre == DATA_CENTRE]
    assert len(names) > 1
    for name in names:
        await drain_and_replace(cluster, load, name)
    load.in_service.clear()
    await sending
    assert load.faults == []
    assert load.answered > 50
    await asyncio.sleep(2)
    assert all(engine.observed().held_tokens == 0 for engine in cluster.engine_by_name.values())
    await cluster.close()
