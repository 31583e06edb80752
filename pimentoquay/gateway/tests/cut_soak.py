"""Soak of gateways whose links are cut while gateways are killed, stopped and started in series.

It runs in virtual time. A long run by hand, each seed some seconds long::

    python -m pimentoquay.gateway.tests.cut_soak --seeds 50 --seconds 8
"""

import argparse
import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field

import looptime
from loguru import logger

from pimentoquay.gateway.tests.rig import Rig, model_headers, read_response, rig
from pimentoquay.http1 import ConnectionPool, ReusePolicy
from pimentoquay.kernel.errors import HttpError
from pimentoquay.standin.virtual_links import Cut

VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
CUTS = (Cut.SILENT, Cut.REFUSED, Cut.RESET, Cut.NEW_REFUSED, Cut.NEW_SILENT)
PATHS = ("/look/a", "/order/a", "/digest/a", "/sheet/a")
EVENTS, PAUSE = 12, 0.03
FAILED = 0

RETURN_SECONDS = 0.05
"""Time after which a caller comes back that was not served."""


@dataclass
class Soak:
    """Callers that keep their connections, and a series of failures that overlap."""

    env: Rig
    seed: int
    seconds: float
    status_by_request: dict = field(default_factory=dict)
    faults: list = field(default_factory=list)
    _down: set = field(default_factory=set)

    def __post_init__(self):
        self.random = random.Random(self.seed)

    async def run(self):
        for vm in VMS[1:]:
            await self.env.add_gateway(vm)
        for engine in self.env.engine_by_id.values():
            engine.events, engine.pause = EVENTS, PAUSE
        ends_at = asyncio.get_running_loop().time() + self.seconds
        callers = [self._call(number, ends_at) for number in range(12)]
        await asyncio.gather(self._trouble(ends_at), *callers)
        for vm in VMS:
            self.env.links.heal(vm)
        self._check()
        return self

    async def _trouble(self, ends_at):
        tasks = []
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(self.random.uniform(0.1, 0.5))
            vm = self.random.choice(VMS)
            act = self.random.choice((self._cut, self._cut, self._heal, self._kill, self._stop))
            tasks.append(asyncio.create_task(act(vm)))
        await asyncio.gather(*tasks)

    async def _cut(self, vm):
        engines = list(self.env.engine_by_id.values())
        chosen = self.random.sample(engines, self.random.choice((1, 3, len(engines))))
        self.env.links.cut(vm, self.random.choice(CUTS), [each.address for each in chosen])

    async def _heal(self, vm):
        self.env.links.heal(vm)

    async def _kill(self, vm):
        if len(self._down) < 2 and vm not in self._down:
            self._down.add(vm)
            await self.env.kill(vm)
            await self._start(vm)

    async def _stop(self, vm):
        if len(self._down) < 2 and vm not in self._down:
            self._down.add(vm)
            await self.env.stop(vm)
            await self.env.kill(vm)
            await self._start(vm)

    async def _start(self, vm):
        await asyncio.sleep(self.random.uniform(0.0, 0.5))
        await self.env.add_gateway(vm)
        self._down.discard(vm)

    async def _call(self, number, ends_at):
        pool = None
        count = 0
        while asyncio.get_running_loop().time() < ends_at:
            if pool is None:
                pool = self._connect()
            if pool is None:
                await asyncio.sleep(0.05)
                continue
            count += 1
            request = f"soak-{number}-{count}"
            path = self.random.choice(PATHS)
            status = FAILED
            with contextlib.suppress(HttpError, TimeoutError):
                async with asyncio.timeout(6.0):
                    status = await self._send(pool, path, request)
            self.status_by_request[request] = path, status
            if status == FAILED:
                pool.close()
                pool = None
            if status != 200:
                await asyncio.sleep(RETURN_SECONDS)
        if pool is not None:
            pool.close()

    def _connect(self):
        """Return connections to a gateway that listens, or None if the one chosen does not."""
        gateway = self.env.gateway_by_vm.get(self.random.choice(VMS))
        if gateway is None or not gateway.dispatcher.is_ready:
            return None
        return ConnectionPool(f"127.0.0.1:{gateway.caller_server.port}", 1.0, ReusePolicy())

    async def _send(self, pool, path, request):
        is_stream = path.startswith(("/digest", "/sheet"))
        headers = (
            (b"Host", b"shop.example"),
            (b"Pimentoquay-Request-Id", request.encode()),
            (b"Pimentoquay-Deadline-Ms", b"5000" if is_stream else b"1000"),
            *(model_headers() if is_stream else ()),
        )
        async with pool.exchange(b"POST", path.encode(), headers, b"x") as exchange:
            response = await read_response(exchange)
        if response.status == 200 and response.is_whole and is_stream:
            expected = b"".join(
                f"id: {number}\ndata: piece {number}\n\n".encode()
                for number in range(1, EVENTS + 1)
            )
            if response.body != expected:
                self.faults.append(f"{request}: not the engine's answer")
        return response.status if response.is_whole else FAILED

    def _count_runs(self):
        return Counter(
            arrival.headers["pimentoquay-request-id"]
            for engine in self.env.engine_by_id.values()
            for arrival in engine.arrivals
            if not arrival.is_prefill
        )

    def _check(self):
        runs = self._count_runs()
        for request, (path, status) in self.status_by_request.items():
            if path.startswith(("/order", "/sheet")):
                if runs[request] > 1:
                    self.faults.append(f"{request}: ran {runs[request]} times")
                if status in (429, 503) and request in runs:
                    self.faults.append(f"{request}: answered {status} and has run")
            if status == 200 and request not in runs:
                self.faults.append(f"{request}: answered without a run")
        for vm, gateway in self.env.gateway_by_vm.items():
            if gateway.guard.reported_crashes:
                self.faults.append(f"{vm}: evidence of crashes that never were")


async def soak(seed, seconds):
    """Run one seed, and return its faults and the share of requests that were served."""
    random.seed(seed)
    async with rig() as env:
        done = await Soak(env, seed, seconds).run()
    statuses = [status for _, status in done.status_by_request.values()]
    return done.faults, statuses.count(200) / max(1, len(statuses)), len(statuses)


def main():
    """Run seeds one after the other, and print each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=8.0)
    options = parser.parse_args()
    logger.remove()
    for seed in range(options.first, options.first + options.seeds):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=1000)) as runner:
            faults, share, count = runner.run(soak(seed, options.seconds))
        print(f"seed {seed}: {count} requests, {share:.2f} served, faults {faults}", flush=True)


if __name__ == "__main__":
    main()
