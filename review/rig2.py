"""A small deployment on loopback for the cases of the second review.

The gateways are processes, started with the command of the deploy file. The store and the engines
are the project's stand-ins, which run in the process of the case.
"""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
for place in (ROOT / "target" / "deps", ROOT):
    sys.path.insert(0, str(place))

from pimentoquay.standin.platform_engine import PlatformEngine  # noqa: E402
from pimentoquay.standin.platform_store import PlatformStore  # noqa: E402

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
HOST_HEADER = "shop.example"
BEAT_SECONDS = 1.2
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "downgradeSlackMs": 250, "maxSkewMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10,
    "retryBudgetSlack": 54, "recoverS": 12, "transitMs": 120, "reuseWindowS": 3,
    "requireFence": True, "leaseMs": 3000, "thawSlackMs": 300,
}  # fmt: skip
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}  # fmt: skip
MEMORY = {
    "slotCount": 64, "kvTokens": 91912, "kvTokenBytes": 18432, "handleTtlS": 0.5, "holdMs": 2000,
    "switchS": 6.0, "stride": 1,
}  # fmt: skip


def trouble():
    """Return whether the case is to bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def route(name, service, kind, **more):
    return {
        "name": name, "host": HOST_HEADER, "pathPrefix": f"/{name}/", "service": service,
        "kind": kind, "timeoutMs": 2500, "targetLatencyMs": 200, "maxAttempts": 1, "priority": 2,
        **more,
    }  # fmt: skip


ORDER = route("order", "desk", "non_idempotent")
LOOK = route("look", "desk", "idempotent", maxAttempts=2)
SHEET = route(
    "sheet", "llm", "stream", timeoutMs=14000, targetLatencyMs=900, maxAttempts=2, priority=1,
    resumable=True, stickySessions=True, gapTargetMs=300,
)  # fmt: skip
ONCE = {**SHEET, "name": "once", "pathPrefix": "/once/", "resumable": False, "maxAttempts": 1}
ROUTES = (ORDER, LOOK, SHEET, ONCE)


class Record:
    """Lines of ``record.txt``, with the seconds since the beginning of the case."""

    def __init__(self, folder):
        self.began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w")

    def __call__(self, text):
        line = f"{time.monotonic() - self.began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()

    def say(self, text):
        self(text)
        print(text, flush=True)


def free_ports(host, count):
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]


_libc = ctypes.CDLL(None)
_SET_PARENT_DEATH_SIGNAL = 1


def _end_with_parent():
    """Let the system kill a process when the one that started it ends."""
    _libc.prctl(_SET_PARENT_DEATH_SIGNAL, signal.SIGKILL)


class Gateway:
    """A machine with one process of the deploy file's command."""

    def __init__(self, rig, number, memory_mb, max_fds, zone):
        self.rig, self.name, self.zone = rig, f"front-{zone}-{number}", zone
        self.host = rig.host(10 + number)
        self.front, self.ready, self.control, self.inner, self.metrics = free_ports(self.host, 5)
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.process = None
        self.starts = 0

    @property
    def settings_path(self):
        return self.rig.folder / f"{self.name}.json"

    @property
    def log_path(self):
        return self.rig.folder / f"{self.name}.log"

    def settings(self):
        seeds = [f"{each.host}:{each.control}" for each in self.rig.gateways[:3]]
        zones = {each.zone: "here" for each in self.rig.gateways}
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "front",
            "serves": ["front", "control"], "ipAddr": self.host, "zone": self.zone,
            "region": "here", "zones": zones,
            "listen": {
                "frontAddr": f"{self.host}:{self.front}", "readyAddr": f"{self.host}:{self.ready}",
                "controlAddr": f"{self.host}:{self.control}",
            },
            "innerPortRange": [self.inner, self.inner], "seedAddrs": seeds, "bootstrap": True,
            "countsAsLoss": False,
            "limits": {
                "cpuShare": 0.537, "cpuCores": 2, "memoryMb": self.memory_mb,
                "maxFds": self.max_fds, "linkMbps": 1000.0, "diskMb": 0,
            },
            "dataDir": None, "discovery": "platform", "entry": "vip", "beatIntervalMs": 1200,
            "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": self.rig.bounds,
            "platform": {
                "address": self.rig.store_address, "form": "log", "writesPerS": 400,
                "readsPerS": 2000, "parts": 8,
            },
        }  # fmt: skip

    def start(self):
        self.settings_path.write_text(json.dumps(self.settings()))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["gateway"]["run"])
        command[command.index("--metrics-port") + 1] = str(self.metrics)
        environment = {
            "PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8", "PIMENTOQUAY_CONFIG": str(self.settings_path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }  # fmt: skip
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log,
                stderr=log, preexec_fn=_end_with_parent,
            )  # fmt: skip
        self.starts += 1

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def signal(self, number):
        if self.is_running:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def status(self, field):
        """Return a size of the process in MB, such as ``VmRSS``; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = [line for line in text.splitlines() if line.startswith(field + ":")]
        return int(found[0].split()[1]) / 1024 if found else 0.0

    async def is_ready(self, seconds=1.0):
        try:
            async with asyncio.timeout(seconds):
                reader, writer = await asyncio.open_connection(self.host, self.ready)
                writer.write(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await reader.readline()
                writer.transport.abort()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in head

    async def wait_ready(self, seconds=30.0):
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at and self.is_running:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


class Rig:
    """Store, engines and gateways; ``async with`` ends them all."""

    def __init__(self, routes=ROUTES, bounds=None):
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        net = random.SystemRandom()
        self.net = f"127.{net.randint(20, 250)}.{net.randint(1, 250)}."
        self.store, self.store_address = PlatformStore(), ""
        self.routes, self.bounds = routes, {**BOUNDS, **(bounds or {})}
        self.gateways, self.engines = [], []
        self.version = 0
        self._beats = {}

    def host(self, number):
        return f"{self.net}{number}"

    async def __aenter__(self):
        self.store_address = await self.store.serve(self.host(1))
        await self.configure()
        return self

    async def __aexit__(self, *error):
        for task in self._beats.values():
            task.cancel()
        for gateway in self.gateways:
            gateway.signal(signal.SIGCONT)
            gateway.kill()
        for engine in self.engines:
            await engine.close()
        await self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def configure(self, **more):
        self.version += 1
        services = [
            {"name": "desk", "healthPath": "/health", "maxConns": 100},
            {"name": "llm", "healthPath": "/health", "maxConns": 360, "engineId": MEMORY},
        ]
        item = {
            "version": self.version, "routes": list(self.routes), "services": services,
            "limits": LIMITS, **more,
        }  # fmt: skip
        await self.store.put("keyed.op", "config", json.dumps(item).encode())

    async def add_engine(self, stage="", kind=PlatformEngine, zone="hall", **more):
        number = len(self.engines) + 1
        engine = kind(
            f"i-{number:04d}", "llm" if stage else "desk", stage=stage, data_centre=zone,
            born=int(time.time() * 1000), **more,
        )  # fmt: skip
        await engine.serve(self.host(100 + number))
        self.engines.append(engine)
        await self.list_engine(engine)
        self._beats[engine.id] = asyncio.create_task(self._beat(engine))
        return engine

    async def list_engine(self, engine):
        state = "draining" if engine.is_leaving else "ready"
        await self.store.put("keyed.servers", engine.id, engine.entry(state))

    async def _beat(self, engine):
        while True:
            await asyncio.sleep(BEAT_SECONDS)
            if not engine.is_crashed:
                await self.list_engine(engine)

    async def add_gateways(self, count, memory_mb=150, max_fds=4100, zones=("hall",)):
        first = len(self.gateways)
        for number in range(first, first + count):
            zone = zones[number % len(zones)]
            self.gateways.append(Gateway(self, number + 1, memory_mb, max_fds, zone))
        for gateway in self.gateways[first:]:
            gateway.start()
        ready = await asyncio.gather(*(each.wait_ready() for each in self.gateways[first:]))
        if not all(ready):
            raise RuntimeError("the gateways did not get ready")


def head(path, request_id, *headers, method="POST", deadline_ms=2500):
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST_HEADER}",
        f"Pimentoquay-Request-Id: {request_id}", f"Pimentoquay-Deadline-Ms: {deadline_ms}",
        *headers, "", "",
    ]  # fmt: skip
    return "\r\n".join(lines).encode()


MODEL_HEADERS = (
    "Pimentoquay-Model: m", "Pimentoquay-Token-Counts: 5200,60",
    "Pimentoquay-Prompt-Prefix: 5c1e07a2:200,91bd3f06:5000", "Pimentoquay-Length-Hint: 50",
)  # fmt: skip


async def ask(gateway, request, seconds=20.0):
    """Send a request on a new connection; return status, headers and body, or None for none."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
            writer.write(request)
            return await read_answer(reader)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


async def read_answer(reader):
    """Read an answer; raise ``EOFError`` if it is not whole."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while size := int((await reader.readline()).strip() or b"x", 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return status, headers, body


def run_case(main, folder):
    """Run a case's coroutine function and exit with its outcome."""
    record = Record(Path(folder))

    async def bounded():
        async with asyncio.timeout(110):
            return await main(record)

    try:
        outcome = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001
        record.say(f"the case could not run: {error!r}")
        outcome = CANNOT_RUN
    record.say({HELD: "the rule held", BROKEN: "the rule was broken"}.get(outcome, "not run"))
    sys.exit(outcome)
