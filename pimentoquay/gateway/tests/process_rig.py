"""Gateways in processes of their own, beside stand-ins of the store and the engines.

All machines have addresses on loopback of their own, and links between them that can fail.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pimentoquay.gateway.tests.link_proxy import Links
from pimentoquay.gateway.tests.rig import ROUTES, configuration
from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import PlatformStore

ROOT = Path(__file__).resolve().parents[3]
GRACE_SECONDS = 8.0
BEAT_SECONDS = 1.2
BIG_REPEATS = 10_000
BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": GRACE_SECONDS,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "downgradeSlackMs": 250,
    "maxSkewMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retryBudgetSlack": 54,
    "recoverS": 12,
    "transitMs": 120,
    "requireFence": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
}


@dataclass
class Run:
    """A run of a request at an engine; ``ended_at`` stays infinite if the engine broke off."""

    engine: str
    path: str
    began_at: float
    is_complete: bool = False
    ended_at: float = float("inf")


def plain_body(request_id, path):
    """Return the body of the answer to a call."""
    line = f"answer to {request_id}\n".encode()
    return line * (BIG_REPEATS if path.endswith("/big") else 20)


def event_bytes(request_id, number):
    return f"id: {number}\ndata: piece {number} of {request_id}\n\n".encode()


def event_count(request_id):
    """Return the number of events of a stream, which its id determines."""
    return random.Random(request_id).choice((8, 20, 40, 60))


@dataclass
class SoakEngine(PlatformEngine):
    """Engine whose answers name their requests; it records its runs by request id."""

    runs_by_request: dict = field(default_factory=dict)
    broke_off_at: list = field(default_factory=list)
    pause: float = 0.05

    def crash(self):
        self.broke_off_at.append(time.monotonic())
        super().crash()

    def _begin(self, arrival):
        run = Run(self.id, arrival.target, time.monotonic())
        request_id = arrival.headers["pimentoquay-request-id"]
        self.runs_by_request.setdefault(request_id, []).append(run)
        return request_id, run

    async def _answer(self, arrival, headers, reply):
        if arrival.is_prefill:
            await super()._answer(arrival, headers, reply)
            return
        request_id, run = self._begin(arrival)
        seconds = random.Random(request_id).choice((0.0, 0.02, 0.03, 0.05, 0.4, 1.2))
        self.running += 1
        try:
            await asyncio.sleep(seconds)
            reply.send(200, headers, plain_body(request_id, arrival.target))
            run.is_complete = True
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        request_id, run = self._begin(arrival)
        self.running += 1
        try:
            reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
            first = int(arrival.headers.get("last-event-id", "0")) + 1
            for number in range(first, event_count(request_id) + 1):
                reply.write(event_bytes(request_id, number))
                await asyncio.sleep(self.pause)
            reply.end()
            run.is_complete = True
        finally:
            self.running -= 1
            run.ended_at = time.monotonic()


def free_ports(host, count):
    """Return different TCP ports that nothing uses at an address."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class ProcessGateway:
    """One gateway, which may be stopped and started again; ``boot`` counts its processes."""

    def __init__(self, rig, name, number):
        self.rig, self.name = rig, name
        self.host = rig.host(10 + number)
        self.front, self.ready, self.control, self.inner = free_ports(self.host, 4)
        self.process: Any = None
        self.boot = 0
        self.stopped_at = []
        self.killed_at = []
        self.is_stopping = False
        self.log = rig.folder / f"{name}.log"

    def settings(self):
        return {
            "nodeName": self.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "control"],
            "ipAddr": self.host,
            "zone": "hall",
            "region": "here",
            "zones": {"hall": "here"},
            "listen": {
                "frontAddr": f"{self.host}:{self.front}",
                "readyAddr": f"{self.host}:{self.ready}",
                "controlAddr": f"{self.host}:{self.control}",
            },
            "innerPortRange": [self.inner, self.inner],
            "seedAddrs": [f"{g.host}:{g.control}" for g in self.rig.gateways[:3]],
            "bootstrap": True,
            "limits": self.rig.limits,
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.rig.store_address, "form": "log"},
        }

    async def start(self):
        """Start the process; its output is added to its log."""
        path = self.rig.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {
            **os.environ,
            "PIMENTOQUAY_CONFIG": str(path),
            "LINK_SOURCE": self.host,
            "LINK_NETS": f"{self.rig.machine_net} {self.rig.proxy_net}",
        }
        command = (sys.executable, "-m", "pimentoquay.gateway.tests.process_launcher")
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.boot += 1

    async def is_ready(self):
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    async def wait_ready(self, seconds=60.0):
        """Return whether the gateway got ready in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at and self.process.returncode is None:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process.returncode is None:
            if number == signal.SIGTERM:
                self.stopped_at.append(time.monotonic())
                self.is_stopping = True
            self.signal_again(number)

    def signal_again(self, number):
        """Send a signal that begins nothing new."""
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def end(self):
        """Wait for the end of a stopping process, which the platform kills after its grace."""
        process = self.process
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await process.wait()
        except TimeoutError:
            self.killed_at.append(time.monotonic())
            with contextlib.suppress(ProcessLookupError):  # It has just ended.
                process.kill()
            await process.wait()
        return process.returncode


class ProcessRig:
    """Store, engines, links and gateways of one run."""

    def __init__(self, folder, delay=0.0):
        self.folder = folder
        net = random.SystemRandom()
        # A machine is 127.a.b.n, and its proxy 127.a.b+1.n.
        first, second = net.randint(20, 250), 2 * net.randint(1, 120)
        self.machine_net, self.proxy_net = f"127.{first}.{second}.", f"127.{first}.{second + 1}."
        self.links = Links(delay)
        self.store = PlatformStore()
        self.store_address = ""
        self.gateways, self.engines, self.gone = [], [], []
        self.version = 0
        self.limits = {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4100}
        self.idle_changes = [(float("-inf"), 15.0)]
        self._beat_by_engine = {}
        self._engine_count = 0

    def host(self, number):
        return f"{self.machine_net}{number}"

    async def _link(self, host, port):
        await self.links.listen(host.replace(self.machine_net, self.proxy_net), host, port)

    async def start(self, gateways, engines):
        self.store_address = await self.store.serve(self.host(1))
        await self._link(self.host(1), int(self.store_address.rpartition(":")[2]))
        await self.configure(ROUTES)
        stages = ["", "", "prefill", "decode", "decode"]
        for number in range(max(5, engines)):
            await self.add_engine(stages[number % 5])
        self.gateways += [ProcessGateway(self, f"vm-{n}", n) for n in range(1, gateways + 1)]
        for gateway in self.gateways:
            await self._link(gateway.host, gateway.control)
            await self._link(gateway.host, gateway.inner)
            await gateway.start()
        ready = await asyncio.gather(*(each.wait_ready() for each in self.gateways))
        if not all(ready):
            raise RuntimeError("the gateways did not get ready")

    async def configure(self, routes, idle_seconds=None):
        """Publish a version; the limit of idle time stays as it is unless one is given."""
        self.version += 1
        if idle_seconds is not None:
            self.idle_changes.append((time.monotonic(), idle_seconds))
        limits = {"idleTimeoutMs": int(self.idle_changes[-1][1] * 1000)}
        document = configuration(self.version, routes, limits=limits)
        await self.store.put("keyed.op", "config", document)

    def idle_seconds_at(self, at):
        """Return the limit of idle time that was the newest one at a time."""
        return [seconds for began_at, seconds in self.idle_changes if began_at <= at][-1]

    async def add_engine(self, stage):
        self._engine_count += 1
        name = f"engine-{self._engine_count}"
        engine = SoakEngine(name, "llm" if stage else "desk", stage=stage)
        await engine.serve(self.host(100 + self._engine_count))
        await self._link(*split(engine.address))
        self.engines.append(engine)
        await self.list_engine(engine)
        self._beat_by_engine[name] = asyncio.create_task(self._beat(engine))
        return engine

    async def list_engine(self, engine, state="ready"):
        await self.store.put("keyed.servers", engine.id, engine.entry(state))

    async def _beat(self, engine):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if not engine.is_crashed:
                await self.list_engine(engine, "draining" if engine.is_leaving else "ready")

    async def remove_engine(self, engine):
        """Let an engine that has drained leave for good."""
        self._beat_by_engine.pop(engine.id).cancel()
        await self.store.put("keyed.servers", engine.id, b"")
        await engine.close()
        self.gone.append(engine)

    async def close(self):
        for task in self._beat_by_engine.values():
            task.cancel()
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        await self.links.close()
        for engine in (*self.engines, *self.gone):
            await engine.close()
        await self.store.close()


def split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
