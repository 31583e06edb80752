"""Soak of streams during releases, while gateways are killed and stopped in series, or all at once.

Callers take their streams up at any gateway. It runs in virtual time. A long run by hand, each seed
some seconds long::

    python -m pimentoquay.gateway.tests.release_soak --seeds 50 --seconds 20
"""

import argparse
import asyncio
import contextlib
import random
import re
from collections import Counter
from dataclasses import dataclass, field

import looptime
from loguru import logger

from pimentoquay.gateway.tests.rig import Rig, model_headers, rig
from pimentoquay.http1 import find_header
from pimentoquay.kernel.errors import HttpError
from pimentoquay.policy.fleet import DECODE_STAGES
from pimentoquay.standin.platform_engine import PlatformEngine

EVENTS, PAUSE = 25, 0.1
TIMEOUT, RETRY_SECONDS, MAX_ATTEMPTS = 14.0, 0.4, 6
DECODE_ENGINES = 4
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S*)\n\n")


class VersionedEngine(PlatformEngine):
    """Engine whose events name its software version."""

    def event(self, number):
        return f"id: {number}\ndata: {self.software}\n\n".encode()


@dataclass
class Stream:
    """What a caller has got of a stream; ``first_id`` is the request that brought the first event.

    ``events`` holds the number and the version of each event.
    """

    name: str
    began_at: float
    events: list = field(default_factory=list)
    first_id: str = ""

    @property
    def is_whole(self):
        return len(self.events) == EVENTS

    def headers(self):
        if not self.events:
            return ()
        last = str(self.events[-1][0]).encode()
        return ((b"Last-Event-Id", last), (b"Resumes", self.first_id.encode()))


@dataclass
class ReleaseSoak:
    """Callers of streams, and a series of releases and of ends of gateways that overlap."""

    env: Rig
    seed: int
    seconds: float
    vms: int = 3
    callers: int = 70
    streams: list = field(default_factory=list)
    faults: list = field(default_factory=list)

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.names = [f"vm-{number}" for number in range(1, self.vms + 1)]
        self.asked: Counter[bool] = Counter()
        self.served: Counter[bool] = Counter()
        self.version = 0
        self._down: set[str] = set()
        self._engines: list[VersionedEngine] = []

    async def run(self):
        await self._join(1)
        for engine_id in ("dec-1", "dec-2", "pre-1"):
            await self.env.store.put("keyed.servers", engine_id, b"")
        for vm in self.names:
            await self.env.add_gateway(vm)
        await asyncio.sleep(1.5)
        ends_at = asyncio.get_running_loop().time() + self.seconds
        await asyncio.gather(
            self._trouble(ends_at), *(self._call(n, ends_at) for n in range(self.callers))
        )
        self._check()
        return self

    async def _join(self, share):
        """Add engines of a new version; return those that it replaces."""
        self.version += 1
        count = max(2, int(share * DECODE_ENGINES))
        for number in range(count + 1):
            stage = "decode" if number < count else "prefill"
            name = f"v{self.version}-{number}"
            engine = VersionedEngine(name, "llm", stage=stage, software=f"v{self.version}")
            engine.events, engine.pause = EVENTS, PAUSE
            await self.env.add_engine(engine)
            self._engines.append(engine)
        old = [each for each in self._engines if each.software != f"v{self.version}"]
        decode = [each for each in old if each.stage == "decode"]
        prefill = [each for each in old if each.stage == "prefill"]
        return decode[:count] + prefill[: max(0, len(prefill) - 1)]

    async def _trouble(self, ends_at):
        tasks = []
        while asyncio.get_running_loop().time() < ends_at:
            await asyncio.sleep(self.random.uniform(0.5, 3.0))
            acts = (self._release, self._release, self._kill_all, self._kill_all, self._kill)
            tasks.append(asyncio.create_task(self.random.choice((*acts, self._stop))()))
        await asyncio.gather(*tasks)

    async def _release(self):
        leaving = await self._join(self.random.choice((0.5, 1.0)))
        await asyncio.sleep(self.random.uniform(0.3, 1.0))
        for engine in leaving:
            if engine in self._engines:
                self._engines.remove(engine)
                await self.env.store.put("keyed.servers", engine.id, engine.entry("draining"))
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        for engine in leaving:
            await self.env.store.put("keyed.servers", engine.id, b"")

    async def _kill_all(self):
        vms = [vm for vm in self.names if vm not in self._down]
        self._down.update(vms)
        await asyncio.gather(*(self._end(vm) for vm in vms))
        await asyncio.sleep(self.random.uniform(0.3, 2.0))
        for vm in vms:
            await self._start(vm)

    async def _kill(self):
        vm = self.random.choice(self.names)
        if vm not in self._down:
            self._down.add(vm)
            await self._end(vm)
            await asyncio.sleep(self.random.uniform(0.0, 1.0))
            await self._start(vm)

    async def _end(self, vm):
        """End a gateway as a kill of its process does, with all of its connections."""
        self.env.gateway_by_vm[vm].caller_server.abort()
        await self.env.kill(vm)

    async def _stop(self):
        vm = self.random.choice(self.names)
        if vm not in self._down:
            self._down.add(vm)
            await self.env.stop(vm)
            await self.env.kill(vm)
            await self._start(vm)

    async def _start(self, vm):
        await self.env.add_gateway(vm, wait=False)
        self._down.discard(vm)

    async def _call(self, number, ends_at):
        loop, count = asyncio.get_running_loop(), 0
        while loop.time() < ends_at:
            count += 1
            stream = Stream(f"soak-{number}-{count}", loop.time())
            self.streams.append(stream)
            for attempt in range(MAX_ATTEMPTS):
                left = stream.began_at + TIMEOUT - loop.time()
                if stream.is_whole or left < 0.5:
                    break
                wait = await self._attempt(stream, f"{stream.name}-{attempt}", left)
                await asyncio.sleep(wait)
            await asyncio.sleep(self.random.uniform(0.0, 0.2))

    async def _attempt(self, stream, request_id, left):
        """Send a stream's request, and return the time after which its caller comes again."""
        ready = [vm for vm, each in self.env.gateway_by_vm.items() if each.dispatcher.is_ready]
        if not ready:
            return RETRY_SECONDS
        is_taken_up, before = bool(stream.events), len(stream.events)
        counts = not is_taken_up or self._serving(stream.events[0][1]) >= 2
        options = {"request_id": request_id, "deadline_ms": int(left * 1000)}
        headers, vm = (*model_headers(), *stream.headers()), self.random.choice(ready)
        wait, buffer = RETRY_SECONDS, b""
        with contextlib.suppress(HttpError, TimeoutError):
            async with (
                asyncio.timeout(left),
                self.env.open("/digest/a", vm=vm, headers=headers, **options) as exchange,
            ):
                wait = float(find_header(exchange.headers, b"retry-after") or RETRY_SECONDS)
                while (part := await exchange.read_chunk()) is not None:
                    buffer = self._take(stream, request_id, buffer + part, exchange.status)
        if counts and (not is_taken_up or self._serving(stream.events[0][1]) >= 2):
            self.asked[is_taken_up] += 1
            self.served[is_taken_up] += len(stream.events) > before
        return wait

    def _take(self, stream, request_id, data, status):
        """Add the events of an answer to a stream, and return the bytes behind them."""
        end = 0
        for found in _EVENT.finditer(data) if status == 200 else ():
            stream.first_id = stream.first_id or request_id
            stream.events.append((int(found[1]), found[2].decode()))
            end = found.end()
        return data[end:]

    def _serving(self, software):
        """Return the number of decode engines of a version that take work."""
        stages = {each.value for each in DECODE_STAGES}
        return sum(each.software == software and each.stage in stages for each in self._engines)

    def _check(self):
        for stream in self.streams:
            if [number for number, _ in stream.events] != list(range(1, len(stream.events) + 1)):
                self.faults.append(f"{stream.name}: events are missing or doubled")
            if len({software for _, software in stream.events}) > 1:
                self.faults.append(f"{stream.name}: events of several versions")
        for vm, task in self.env._task_by_vm.items():
            if task.done():
                self.faults.append(f"{vm}: ended by itself")


async def soak(seed, seconds, vms=3):
    """Run one seed."""
    random.seed(seed)
    async with rig(start_gateway=False) as env:
        return await ReleaseSoak(env, seed, seconds, vms).run()


def main():
    """Run seeds one after the other, and print each and the sum."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--vms", type=int, default=3)
    options = parser.parse_args()
    logger.remove()
    asked: Counter[bool] = Counter()
    served: Counter[bool] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=1000)) as runner:
            done = runner.run(soak(seed, options.seconds, options.vms))
        asked.update(done.asked)
        served.update(done.served)
        whole = sum(each.is_whole for each in done.streams)
        print(
            f"seed {seed}: {whole} of {len(done.streams)} whole, "
            f"{done.served[True]} of {done.asked[True]} went on, "
            f"{done.served[False]} of {done.asked[False]} began, faults {done.faults}",
            flush=True,
        )
    print(f"{served[True]} of {asked[True]} went on, {served[False]} of {asked[False]} began")


if __name__ == "__main__":
    main()
