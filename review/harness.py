"""Stand-ins and processes of a small deployment on loopback, for the scripts of the review.

The store and the engines are the project's own stand-ins and run in the process of the script.
The gateways are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
for folder in (ROOT, ROOT / "target" / "deps"):
    sys.path.insert(0, str(folder))

from loguru import logger  # noqa: E402
from pimentoquay.standin.platform_engine import PlatformEngine  # noqa: E402
from pimentoquay.standin.platform_store import PlatformStore  # noqa: E402

logger.remove()  # The record says what the stand-ins do.

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

BEAT_SECONDS = 1.2
"""Interval at which an engine writes its entry, as ``beatIntervalMs`` of the settings."""

BOUNDS = {
    "seedLagS": 3,
    "addrReuseS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
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
"""Bounds of the sheets of the first two sites."""

HOST = "shop.example"

MEMORY = {
    "slotCount": 64,
    "kvTokens": 91_912,
    "kvTokenBytes": 18_432,
    "handleTtlS": 0.5,
    "holdMs": 2000.0,
    "stride": 64,
    "switchS": 6.0,
}


def route(name, kind, service, **more):
    """Return a route of the configuration whose path begins with its name."""
    item = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 14_000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    }
    return item | more


ROUTES = (
    route("look", "idempotent", "desk", timeoutMs=2500, targetLatencyMs=200),
    route("order", "non_idempotent", "desk", maxAttempts=1, timeoutMs=2500, targetLatencyMs=200),
    route("digest", "stream", "llm", resumable=True, gapTargetMs=300, stickySessions=True),
    route("sheet", "stream", "llm", maxAttempts=1, gapTargetMs=300, stickySessions=True),
)


def configuration(version=7, routes=ROUTES):
    """Return the operator's configuration as it lies in the store."""
    services = [
        {"name": "desk", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": False},
        {"name": "llm", "healthPath": "/health", "maxConns": 360, "engineId": MEMORY},
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    item = {"version": version, "routes": list(routes), "services": services, "limits": limits}
    return json.dumps(item).encode()


def free_ports(host, count):
    """Return different TCP ports that nothing uses at an address."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class Gateway:
    """One process of the deploy file, with the settings of one machine."""

    def __init__(self, deployment, name, host):
        self.name = name
        self.host = host
        self.deployment = deployment
        # The deploy file names the port of the metrics, so each machine has an address of its own.
        self.front, self.ready, self.control, self.inner = free_ports(host, 4)
        self.process = None
        self.store_address = deployment.store_address
        self.log = deployment.folder / f"{name}.log"

    def settings(self):
        """Return the settings file of the machine."""
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
            "seedAddrs": [f"{g.host}:{g.control}" for g in self.deployment.gateways[:3]],
            "bootstrap": True,
            "limits": {"cpuShare": 0.537, "cpuCores": 2, "memoryMb": 300, "maxFds": 4100},
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": 1200,
            "bounds": BOUNDS,
            "platform": {"address": self.store_address, "form": "log"},
        }

    async def start(self):
        """Start the process; its output goes to a file."""
        path = self.deployment.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "PIMENTOQUAY_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.deployment.processes.append(self.process)
        self.deployment.note("gateway started", name=self.name, pid=self.process.pid)

    async def is_ready(self):
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    async def wait_ready(self, seconds=15.0):
        """Wait until the gateway is ready."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} did not get ready in {seconds} s")

    def signal(self, number):
        """Send the process a signal."""
        self.deployment.note("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)


class CouldNotRunError(Exception):
    """The case could not run, so it shows nothing."""


class PagingStore(PlatformStore):
    """The project's store, whose pages of newest records are as long as the page says."""

    MAX_ITEMS = 500
    MAX_BYTES = 1_000_000

    def _newest(self, arguments, reply):
        newest = sorted(self._newest_by_topic.get(arguments["topic"], {}).items())
        left = [item for item in newest if item[0] > arguments.get("after", "")]
        items, size = [], 0
        for key, (offset, value) in left[: self.MAX_ITEMS]:
            size += len(value) * 4 // 3
            if items and size > self.MAX_BYTES:
                break
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        log = self._topic_by_name.get(arguments["topic"])
        answer = {
            "items": items,
            "hasMore": len(items) < len(left),
            "endOffset": log.end if log is not None else 0,
        }
        reply.send(200, (), json.dumps(answer).encode())


class Deployment:
    """Store, engines and gateways of one run, and its record."""

    def __init__(self, record_path):
        self._record = Path(record_path).open("w")
        self._started_at = time.monotonic()
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.store = PagingStore()
        self.store_address = ""
        self.gateways = []
        self.processes = []
        self.engines = []
        self._beat_by_engine = {}
        self._net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def note(self, event, /, **fields):
        """Write a line of the record."""
        seconds = time.monotonic() - self._started_at
        items = " ".join(f"{key}={value!r}" for key, value in fields.items())
        print(f"{seconds:8.3f} {event} {items}".rstrip(), file=self._record, flush=True)

    def host(self, number):
        """Return a loopback address of this run."""
        return f"{self._net}.{number}"

    async def start_store(self, **routes):
        """Serve the store, with the operator's configuration."""
        self.store_address = await self.store.serve(self.host(1))
        await self.store.put("keyed.op", "config", configuration(**routes))

    async def add_engine(self, engine, is_served=True):
        """Serve an engine, which writes its entry at intervals."""
        if is_served:
            await engine.serve(self.host(2))
        self.engines.append(engine)
        await self.store.put("keyed.servers", engine.id, engine.entry())
        self._beat_by_engine[engine.id] = asyncio.create_task(self._beat(engine))
        return engine

    def stop_beats(self, engine):
        """Let an engine write its entry no more."""
        self._beat_by_engine.pop(engine.id).cancel()

    async def _beat(self, engine):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if not engine.is_crashed:
                await self.store.put("keyed.servers", engine.id, engine.entry())

    async def add_small_fleet(self):
        """Add two plain servers, one prefill engine and two decode engines."""
        for number in (1, 2):
            await self.add_engine(PlatformEngine(f"desk-{number}", "desk"))
        await self.add_engine(PlatformEngine("pre-1", "llm", stage="prefill"))
        for number in (1, 2):
            await self.add_engine(PlatformEngine(f"dec-{number}", "llm", stage="decode"))

    async def add_gateways(self, count):
        """Start gateways and wait until all are ready."""
        self.gateways = [
            Gateway(self, f"front-{number}", self.host(10 + number)) for number in range(count)
        ]
        await asyncio.gather(*(each.start() for each in self.gateways))
        await asyncio.gather(*(each.wait_ready() for each in self.gateways))

    async def close(self):
        """End all processes that were started, and the stand-ins."""
        for task in self._beat_by_engine.values():
            task.cancel()
        for process in self.processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
                await process.wait()
        self._record.close()
        self._folder.cleanup()


class Answer:
    """What a client got for one request; ``is_whole`` is false if the channel ended before."""

    def __init__(self, status=0, headers=b"", body=b"", is_whole=False):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole

    @property
    def event_ids(self):
        """Ids of the events of a stream, in order."""
        lines = self.body.replace(b"\r", b"").split(b"\n")
        return [int(line[3:]) for line in lines if line.startswith(b"id:")]


def request_bytes(
    path, request_id, method="POST", body=b"x" * 600, deadline_ms=14_000, model=False
):
    """Return a client's request; ``model`` adds the headers of a request to a model."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Pimentoquay-Request-Id: {request_id}",
        f"Pimentoquay-Deadline-Ms: {deadline_ms}",
    ]
    if model:
        lines += [
            "Pimentoquay-Model: m",
            "Pimentoquay-Token-Counts: 5000,8320",
            "Pimentoquay-Length-Hint: 4000",
            f"Pimentoquay-Prompt-Prefix: 5c1e07a2:200,{request_id}:4800",
        ]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


async def send(gateway, data, seconds=16.0):
    """Send a request on a new channel, and return the answer or what came of it."""
    answer = Answer()
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            try:
                writer.write(data)
                await _read_answer(reader, answer)
            finally:
                writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        pass  # The answer stays as it is, not whole.
    return answer


async def _read_answer(reader, answer):
    head = await reader.readuntil(b"\r\n\r\n")
    answer.status, answer.headers = int(head.split(b" ", 2)[1]), head.lower()
    if b"transfer-encoding: chunked" in answer.headers:
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            answer.body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        length = answer.headers.partition(b"content-length:")[2].split(b"\r\n")[0]
        answer.body = await reader.readexactly(int(length))
    answer.is_whole = True


def run(main, folder, seconds=110.0):
    """Run a case and exit with its status; ``main`` gets the deployment and whether to disrupt."""

    async def play():
        deployment = Deployment(Path(folder) / "record.txt")
        try:
            async with asyncio.timeout(seconds):
                status = await main(deployment, os.environ.get("TROUBLE", "1") != "0")
        except (CouldNotRunError, TimeoutError, OSError) as error:
            deployment.note("could not run", error=repr(error))
            status = COULD_NOT_RUN
        finally:
            deployment.note("end")
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                for path in deployment.folder.glob("*.log"):
                    Path(keep, path.name).write_bytes(path.read_bytes())
            await deployment.close()
        return status

    status = asyncio.run(play())
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status])
    os._exit(status)
