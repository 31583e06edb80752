"""One caller names ``Host`` in its ``Connection`` header, beside ordinary callers.

Not one of the cases; see REPORT-2.md. Run: python3 review/host_in_connection.py
"""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from rig2 import (  # noqa: E402
    BROKEN,
    HELD,
    MODEL_HEADERS,
    PlatformEngine,
    Rig,
    ask,
    head,
    run_case,
    trouble,
)

SECONDS = 30.0
CALLER_SECONDS = 0.1
"""Time between two requests of the one caller to each gateway."""

ORDINARY_SECONDS = 0.25
STARVED_SHARE = 0.25


class Served:
    """How many ordinary requests of each kind were sent and served."""

    def __init__(self, record):
        self._record = record
        self.sent = {"stream": 0, "order": 0, "look": 0}
        self.served = dict.fromkeys(self.sent, 0)
        self.statuses = {}

    async def send(self, gateway, kind, number):
        """Send a request, and once more if it is refused, after the time that is stated."""
        self.sent[kind] += 1
        for attempt in (1, 2):
            name = f"{kind}-{number}-{attempt}"
            if kind == "stream":
                request = head(f"/sheet/{number}", name, *MODEL_HEADERS, "Content-Length: 0",
                               deadline_ms=14000)  # fmt: skip
            else:
                request = head(f"/{kind}/{number}", name, "Content-Length: 0")
            answer = await ask(gateway, request, 15.0)
            status = answer[0] if answer else "no answer"
            self.statuses[kind, status] = self.statuses.get((kind, status), 0) + 1
            self._record(f"{gateway.name}: {name}: {status}")
            if status == 200:
                self.served[kind] += 1
                return
            if status not in (429, 503):
                return
            await asyncio.sleep(min(4.0, float(answer[1].get("retry-after", "0.5"))))


async def one_caller(gateway, counts):
    number = 0
    options = "keep-alive, Host" if trouble() else "keep-alive"
    while True:
        number += 1
        request = head(f"/sheet/own-{number}", f"own-{gateway.name}-{number}", *MODEL_HEADERS,
                       f"Connection: {options}", "Content-Length: 0", deadline_ms=14000)  # fmt: skip
        answer = await ask(gateway, request, 15.0)
        status = answer[0] if answer else "no answer"
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(CALLER_SECONDS)


async def main(record):
    async with Rig() as rig:
        for _ in range(3):
            await rig.add_engine()
        for stage in ("prefill",) * 2 + ("decode",) * 4:
            await rig.add_engine(stage, kind=PlatformEngine, pause=0.01)
        await rig.add_gateways(2)
        await asyncio.sleep(4.0)
        counts, served, tasks = {}, Served(record), []
        callers = [asyncio.create_task(one_caller(each, counts)) for each in rig.gateways]
        await asyncio.sleep(1.0)
        ends_at, number = time.monotonic() + SECONDS, 0
        while time.monotonic() < ends_at:
            number += 1
            for kind in served.sent:
                gateway = rig.gateways[number % 2]
                tasks.append(asyncio.create_task(served.send(gateway, kind, number)))
            await asyncio.sleep(ORDINARY_SECONDS)
        await asyncio.gather(*tasks)
        for task in callers:
            task.cancel()
        record.say(f"the one caller: {counts}")
        record.say(f"ordinary requests sent {served.sent}, served {served.served}")
        record.say(f"answers: {served.statuses}")
        share = sum(served.served.values()) / sum(served.sent.values())
        lowest = min(served.served[kind] / sent for kind, sent in served.sent.items())
        return BROKEN if lowest < STARVED_SHARE * share else HELD


run_case(main, tempfile.mkdtemp(prefix="case-"))
