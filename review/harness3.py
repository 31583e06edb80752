"""Deployments for the scripts of this review: gateways in processes, stand-ins in the script.

A script starts gateways with the command of the deploy file, each at a loopback address of its own.
The store and the engines are the project's stand-ins, with what a case needs added; callers are
small clients of this module. All that was sent, answered and run is written to a record.
"""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT))

from pimentoquay.standin.platform_engine import PlatformEngine
from pimentoquay.standin.platform_store import PlatformStore

BEAT_SECONDS = 1.2
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.0
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
    "reuseWindowS": 4.8,
    "requireFence": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
}
MEMORY = {
    "slotCount": 64,
    "kvTokens": 91_912,
    "kvTokenBytes": 18_432,
    "handleTtlS": 0.5,
    "holdMs": 2000.0,
    "switchS": 6.0,
}
HOST = "shop.example"


def route(name, kind, service, **more):
    """Return a route of a configuration whose path prefix is its name."""
    item = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 14_000,
        "targetLatencyMs": 900,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
    }
    return item | more


ROUTES = (
    route("look", "idempotent", "desk", maxAttempts=2, timeoutMs=2500, targetLatencyMs=200),
    route("order", "non_idempotent", "desk", timeoutMs=2500, targetLatencyMs=200),
    route("sheet", "stream", "llm", gapTargetMs=300, stickySessions=True),
)
PLAIN_SERVICES = ("desk",)


def configuration(version, routes=ROUTES, plain=PLAIN_SERVICES):
    """Return a configuration with one service of model engines and some plain ones."""
    services = [{"name": name, "healthPath": "/health", "maxConns": 100} for name in plain]
    services.append({"name": "llm", "healthPath": "/health", "maxConns": 360, "engineId": MEMORY})
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15_000,
    }
    item = {"version": version, "routes": list(routes), "services": services, "limits": limits}
    return json.dumps(item).encode()


class Record:
    """What was sent, answered and run, with times since the start of the script."""

    def __init__(self, path):
        self._lines = []
        self._path = path
        self._began_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._began_at

    def add(self, what, /, **fields):
        """Add a line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._lines.append(f"{self.now():9.3f} {what} {text}".rstrip())

    def write(self):
        """Write the record to its file."""
        self._path.write_text("\n".join(self._lines) + "\n")


@dataclass
class Arrived:
    """A request at an engine: its id and path, when it came, and whether it was run."""

    request: str
    path: str
    at: float
    is_prefill: bool
    engine: str
    service: str


@dataclass
class Engine(PlatformEngine):
    """Engine that records its requests; ``work_seconds`` is the time of a call or a prefill."""

    record: Any = None
    work_seconds: float = 0.02
    prefill_seconds: float = 0.05
    requests: list = field(default_factory=list)
    is_listed: bool = True
    state: str = "ready"

    async def _respond(self, arrival, request, reply):
        request_id = arrival.headers.get("pimentoquay-request-id", "")
        if request_id:
            arrived = Arrived(
                request_id,
                arrival.target,
                self.record.now(),
                arrival.is_prefill,
                self.id,
                self.service,
            )
            self.requests.append(arrived)
            what = "prefills" if arrival.is_prefill else "runs"
            self.record.add(
                f"engine {what}",
                engine=self.id,
                service=self.service,
                request=request_id,
                path=arrival.target,
            )
        await super()._respond(arrival, request, reply)

    async def _answer(self, arrival, headers, reply):
        self.running += 1
        try:
            await asyncio.sleep(self.prefill_seconds if arrival.is_prefill else self.work_seconds)
            await super()._answer(arrival, headers, reply)
        finally:
            self.running -= 1


class Gateway:
    """One gateway in a process of its own, started with the command of the deploy file."""

    def __init__(self, deployment, name, number):
        self._deployment = deployment
        self.name = name
        self.host = deployment.host(10 + number)
        self.front, self.ready, self.control, self.inner = _free_ports(self.host, 4)
        self.process = None

    def settings(self):
        """Return the settings as the platform writes them."""
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
            "seedAddrs": [f"{g.host}:{g.control}" for g in self._deployment.gateways[:3]],
            "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537,
                "cpuCores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "vip",
            "beatIntervalMs": 1200,
            "tolerate": {"machines": 2, "zones": 1, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": self._deployment.store_address,
                "form": "log",
                "writesPerS": 400,
                "readsPerS": 2000,
                "keep_s": 300,
                "partMb": 200,
            },
        }

    async def start(self):
        """Start the process."""
        folder = self._deployment.folder
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        names = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in names if name in os.environ}
        environment["PIMENTOQUAY_CONFIG"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_command(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._deployment.record.add("gateway started", gateway=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self._deployment.record.add(
                "signal", gateway=self.name, signal=signal.Signals(number).name
            )
            self.process.send_signal(number)

    async def is_ready(self):
        """Return whether the gateway says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    async def wait_ready(self, seconds=20.0):
        """Wait until the gateway is ready; raise ``CannotRunError`` if it is not in time."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")


class CannotRunError(Exception):
    """The case could not be brought about."""


def deploy_command():
    """Return the command of the deploy file that each entry VM runs."""
    with (ROOT / "deploy" / "system.toml").open("rb") as file:
        run = tomllib.load(file)["roles"]["gateway"]["run"].split()
    return [sys.executable if run[0] == "python3" else run[0], *run[1:]]


def _free_ports(host, count):
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


class Deployment:
    """Store, engines and gateways of one script."""

    def __init__(self, folder, record):
        self.folder, self.record = folder, record
        net = random.SystemRandom()
        self._net = f"127.{net.randint(20, 250)}.{net.randint(1, 250)}."
        self.store = PlatformStore()
        self.store_address = ""
        self.gateways: list[Gateway] = []
        self.engines: list[Engine] = []
        self._beats: dict[str, asyncio.Task] = {}

    def host(self, number):
        """Return the address of a machine."""
        return f"{self._net}{number}"

    async def start(self, gateways, engines, document):
        """Start all parts, and wait until the gateways are ready."""
        self.store_address = await self.store.serve(self.host(1))
        await self.store.put("keyed.op", "config", document)
        for engine in engines:
            await self.add_engine(engine)
        self.gateways = [Gateway(self, f"vm-{n}", n) for n in range(1, gateways + 1)]
        await asyncio.gather(*(each.start() for each in self.gateways))
        await asyncio.gather(*(each.wait_ready() for each in self.gateways))

    async def add_engine(self, engine):
        """Start an engine, which writes its entry at intervals."""
        engine.record = self.record
        await engine.serve(self.host(100 + len(self.engines)))
        self.engines.append(engine)
        await self.write_entry(engine)
        self._beats[engine.id] = asyncio.create_task(self._beat(engine))

    async def write_entry(self, engine):
        """Let an engine write its entry."""
        await self.store.put("keyed.servers", engine.id, engine.entry(engine.state))

    async def drain_engine(self, engine):
        """Let an engine report that it drains; return when the store has confirmed that."""
        engine.state, engine.is_leaving = "draining", True
        await self.write_entry(engine)
        self.record.add("store confirms: draining", engine=engine.id)
        return self.record.now()

    async def unlist_engine(self, engine):
        """Remove an engine's entry, as it leaves without a report; return when that is confirmed."""
        self._beats.pop(engine.id).cancel()
        engine.is_leaving = True
        await self.store.put("keyed.servers", engine.id, b"")
        self.record.add("store confirms: gone", engine=engine.id)
        return self.record.now()

    async def end_engine(self, engine):
        """End an engine's process."""
        beat = self._beats.pop(engine.id, None)
        if beat is not None:
            beat.cancel()
        engine.crash()
        self.record.add("engine exits", engine=engine.id)

    async def _beat(self, engine):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            await self.write_entry(engine)

    async def close(self):
        """End all that was started."""
        for task in self._beats.values():
            task.cancel()
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        for engine in self.engines:
            with contextlib.suppress(Exception):
                await engine.close()
        await self.store.close()


@dataclass
class Answer:
    """What a caller got: ``status`` is 0 without an answer, ``is_whole`` whether it is complete."""

    request: str
    sent_at: float
    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0


_numbers = iter(range(1, 1_000_000))


def new_id():
    """Return the id of another request."""
    return f"{next(_numbers):06x}{random.getrandbits(40):010x}"


async def send(
    gateway, record, path, *, method="POST", body=b"", seconds=14.0, headers=(), request_id=None
):
    """Send one request on a new connection, and return its answer."""
    request_id = request_id or new_id()
    answer = Answer(request_id, record.now())
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Pimentoquay-Request-Id: {request_id}",
        f"Pimentoquay-Deadline-Ms: {int(seconds * 1000)}",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    record.add("caller sends", gateway=gateway.name, request=request_id, path=path)
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await _read_answer(reader, answer)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        record.add("caller's connection ends", request=request_id, error=repr(error))
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = record.now()
    record.add(
        "caller gets",
        request=request_id,
        status=answer.status,
        whole=answer.is_whole,
        stamp=answer.headers.get("pimentoquay-server-stamp", "-"),
        bytes=len(answer.body),
    )
    return answer


async def _read_answer(reader, answer):
    while True:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        if answer.status >= 200:
            break
    pairs = (line.split(":", 1) for line in head[1:] if line)
    answer.headers = {name.strip().lower(): value.strip() for name, value in pairs}
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    else:
        answer.body = await reader.readexactly(int(answer.headers.get("content-length", "0")))
    answer.is_whole = True


def stream_headers(prompt=1000, output=20):
    """Return the headers of a stream."""
    part = f"{random.getrandbits(32):08x}:200,{random.getrandbits(32):08x}:{prompt - 200}"
    return (
        "Pimentoquay-Model: m",
        f"Pimentoquay-Token-Counts: {prompt},{output}",
        f"Pimentoquay-Prompt-Prefix: {part}",
    )


def run_case(folder, case):
    """Run a case: ``case(deployment, record, has_trouble)`` returns what broke the rule.

    Exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
    """
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), record)
            try:
                async with asyncio.timeout(110.0):
                    return await case(deployment, record, has_trouble)
            finally:
                await deployment.close()
                if os.environ.get("KEEP_LOGS"):
                    for each in deployment.gateways:
                        log = Path(temporary) / f"{each.name}.log"
                        (Path(os.environ["KEEP_LOGS"]) / log.name).write_bytes(log.read_bytes())

    try:
        broken = asyncio.run(run())
    except (CannotRunError, TimeoutError, OSError) as error:
        record.add("the case could not run", error=repr(error))
        record.write()
        print(f"could not run: {error!r}")
        return 2
    for each in broken:
        record.add(f"rule broken: {each}")
        print(f"rule broken: {each}")
    record.add("result", trouble=has_trouble, broken=len(broken))
    record.write()
    if not broken:
        print("the rule held")
    return 1 if broken else 0
