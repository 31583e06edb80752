"""The platform's part in the cases about memory: it kills and restarts what exceeds its limit.

It also sends a few ordinary calls, one after the other, to each gateway.
"""

import asyncio
import time

from rig2 import ask, head

WATCH_SECONDS = 0.02
RESTART_SECONDS = 0.5
ENDS_PER_MACHINE = 3
"""Ends by itself of the processes of one machine in a day, from which on the day fails."""


class MemoryPlatform:
    """Watches the gateways of a rig until ``stop``; ``ends`` holds the kills of each machine."""

    def __init__(self, rig, record):
        self._rig, self._record = rig, record
        self.ends = {gateway.name: 0 for gateway in rig.gateways}
        self.peak = {gateway.name: 0.0 for gateway in rig.gateways}
        self.answers = {gateway.name: {} for gateway in rig.gateways}
        self._tasks = []

    def start(self):
        for gateway in self._rig.gateways:
            self._tasks += [
                asyncio.create_task(self._watch(gateway)),
                asyncio.create_task(self._send_ordinary(gateway)),
            ]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def is_broken(self):
        return sum(ends >= ENDS_PER_MACHINE for ends in self.ends.values()) >= 2

    async def _watch(self, gateway):
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            size = gateway.status("VmRSS")
            self.peak[gateway.name] = max(self.peak[gateway.name], size)
            if size <= gateway.memory_mb and gateway.is_running:
                continue
            self.ends[gateway.name] += 1
            reason = f"killed at {size:.0f} MB of {gateway.memory_mb} MB"
            if not gateway.is_running:
                reason = f"ended by itself with {gateway.process.returncode}"
            self._record(f"{gateway.name}: end {self.ends[gateway.name]}, {reason}")
            gateway.kill()
            await asyncio.sleep(RESTART_SECONDS)
            gateway.start()
            await gateway.wait_ready()
            self._record(f"{gateway.name}: started again, ready")

    async def _send_ordinary(self, gateway):
        number = 0
        while True:
            number += 1
            began_at = time.monotonic()
            request = head(f"/order/{number}", f"ordinary-{gateway.name}-{number}",
                           "Content-Length: 3") + b"abc"  # fmt: skip
            answer = await ask(gateway, request, 3.0)
            status = answer[0] if answer else "no answer"
            counts = self.answers[gateway.name]
            counts[status] = counts.get(status, 0) + 1
            self._record(
                f"{gateway.name}: ordinary order {number}: {status}, "
                f"{time.monotonic() - began_at:.2f} s"
            )
            await asyncio.sleep(0.25)

    def summary(self):
        for gateway in self._rig.gateways:
            name = gateway.name
            self._record.say(
                f"{name}: {self.ends[name]} ends, peak {self.peak[name]:.0f} MB of "
                f"{gateway.memory_mb} MB, ordinary orders {self.answers[name]}"
            )
