"""A stream that its engine broke off inside an event looks complete to its caller.

A route of kind ``stream`` is split between a service of model engines and a plain one, as in the
configuration that ``fleetbench wire`` shows. The engines of the plain service are processes; each
is killed with SIGKILL while it writes an event, and another one takes its place.
"""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import (
    Engine,
    configuration,
    route,
    run_case,
    send,
    stream_headers,
)

sys.path.insert(0, str(Path(__file__).resolve().parent))

from engine import whole_stream

SPLIT = [{"service": "llm", "weight": 50}, {"service": "feed", "weight": 50}]
ROUTES = (
    route("sheet", "stream", "llm", gapTargetMs=300, stickySessions=True, trafficSplit=SPLIT),
    route("order", "non_idempotent", "desk", timeoutMs=2500, targetLatencyMs=200),
)
ROUNDS = 6
STREAMS_PER_ROUND = 6
KILLED_IN_EVENT = "4"


class EngineProcess:
    """An engine in a process of its own, which writes no entry itself."""

    def __init__(self, deployment, record, number):
        self._deployment, self._record = deployment, record
        self.id = f"feed-{number}"
        self._host = deployment.host(200 + number)
        self.process = None
        self.kills_in_event = ""
        self._tasks = []
        self._sequence = 0

    async def start(self):
        """Start the process, and list the engine."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("engine.py")),
            self.id,
            self._host,
            stdout=asyncio.subprocess.PIPE,
        )
        port = int((await self.process.stdout.readline()).split()[1])
        self._address = f"{self._host}:{port}"
        self._tasks = [asyncio.create_task(self._watch()), asyncio.create_task(self._beat())]

    async def _watch(self):
        while line := (await self.process.stdout.readline()).decode().split():
            self._record.add(f"engine {' '.join(line)}", engine=self.id)
            is_half = line[0] == "writes" and line[2:] == [self.kills_in_event, "14"]
            if is_half:
                self.process.kill()
                self._record.add("engine killed", engine=self.id, signal="SIGKILL")

    async def _beat(self):
        while True:
            self._sequence += 1
            item = {
                "service": "feed",
                "address": self._address,
                "zone": "hall",
                "version": "v1",
                "slotCount": 6,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._sequence,
                "born": 1,
            }
            await self._deployment.store.put("keyed.servers", self.id, json.dumps(item).encode())
            await asyncio.sleep(1.2)

    async def end(self):
        """End the process and its entry."""
        self._tasks[1].cancel()
        await self._deployment.store.put("keyed.servers", self.id, b"")
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self._tasks[0]


async def case(deployment, record, has_trouble):
    model = [
        Engine("pre-0", "llm", stage="prefill"),
        Engine("dec-0", "llm", stage="decode", events=10, pause=0.05),
    ]
    await deployment.start(
        2, [*model, Engine("desk-0", "desk")], configuration(1, ROUTES, ("feed", "desk"))
    )
    broken, answers = [], []
    for number in range(ROUNDS):
        engine = EngineProcess(deployment, record, number)
        await engine.start()
        try:
            await asyncio.sleep(2.0)
            if has_trouble:
                engine.kills_in_event = KILLED_IN_EVENT
            gateways = deployment.gateways * (STREAMS_PER_ROUND // 2)
            sent = (
                send(each, record, "/sheet/x", body=b"prompt", headers=stream_headers(), seconds=5)
                for each in gateways
            )
            answers += await asyncio.gather(*sent)
        finally:
            await engine.end()
        await asyncio.sleep(1.0)
    for answer in answers:
        if answer.status != 200 or not answer.is_whole:
            continue
        whole = whole_stream(answer.request)
        is_of_feed = answer.headers["pimentoquay-server-stamp"].startswith("stamp-feed")
        if is_of_feed and answer.body != whole and not answer.body.endswith(b"\n\n"):
            broken.append(
                f"{answer.request}: the answer of {len(answer.body)} of {len(whole)} bytes "
                f"looks complete and ends inside an event: {answer.body[-20:]!r}"
            )
    record.add("streams", sent=len(answers), whole=sum(each.is_whole for each in answers))
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
