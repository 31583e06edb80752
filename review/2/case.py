"""One entry of another writer, whose version cannot be encoded, ends every process again and again.

The platform starts a process that has ended again after a second. Clients send plain calls and
streams all the time. With TROUBLE=0 the other writer's entry is the same but for the two
characters of its version that cannot be read.
"""

import asyncio
import itertools
import json
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

GATEWAYS = 3
PLAY_SECONDS = 35.0
RESTART_SECONDS = 1.0
MAX_OWN_ENDS = 2
"""A process may end by itself twice in the day; the third time counts."""

ENTRY = {
    "service": "label-press",
    "address": "127.9.9.9:8080",
    "zone": "hall",
    "version": "v1 \ud83d",
    "slotCount": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
}
"""A sound entry, but for its service, which no configuration names, and its version.

The version is a text that was cut within a character; the bytes are the JSON of that text.
"""


async def supervise(deployment, gateway, ends):
    """Restart a process that ends by itself, and count that."""
    while True:
        code = await gateway.process.wait()
        ends[gateway.name] += 1
        deployment.note("process ended by itself", name=gateway.name, exit=code)
        await asyncio.sleep(RESTART_SECONDS)
        await gateway.start()


async def send_requests(deployment, gateway, counts):
    """Send plain calls, each fifth request a stream, one after the other."""
    for number in itertools.count():
        is_stream = number % 5 == 4
        name = f"{gateway.name}-{number}"
        path = "/sheet/a" if is_stream else "/order/a"
        data = harness.request_bytes(path, name, deadline_ms=5000, model=is_stream)
        answer = await harness.send(gateway, data, seconds=6.0)
        counts["sent"] += 1
        counts["answered"] += answer.is_whole and answer.status == 200
        is_cut = bool(answer.status) and not answer.is_whole
        counts["cut_within_the_answer"] += is_cut
        if not answer.is_whole or answer.status != 200:
            deployment.note("not served", id=name, status=answer.status, whole=answer.is_whole)
        await asyncio.sleep(0.1)


async def main(deployment, is_disrupted):
    await deployment.start_store()
    await deployment.add_small_fleet()
    for engine in deployment.engines:
        engine.pause = 0.3 if engine.stage else 0.0
    await deployment.add_gateways(GATEWAYS)
    ends = {each.name: 0 for each in deployment.gateways}
    counts = {"sent": 0, "answered": 0, "cut_within_the_answer": 0}
    tasks = [
        asyncio.create_task(work)
        for each in deployment.gateways
        for work in (
            supervise(deployment, each, ends),
            send_requests(deployment, each, counts),
        )
    ]
    await asyncio.sleep(4.0)
    if sum(ends.values()) or not counts["answered"]:
        raise harness.CouldNotRunError(f"no quiet start: {ends} {counts}")
    deployment.note("before the entry", **counts)
    entry = ENTRY if is_disrupted else ENTRY | {"version": "v1 x"}
    deployment.note("entry of another writer", key="i-other", value=json.dumps(entry))
    await deployment.store.put("keyed.servers", "i-other", json.dumps(entry).encode())
    await asyncio.sleep(PLAY_SECONDS)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    deployment.note("at the end", **counts)
    runs = sum(len(each.arrivals) for each in deployment.engines)
    deployment.note("requests that reached engines", count=runs)
    deployment.note("ends by themselves", **{name.replace("-", "_"): n for name, n in ends.items()})
    often = sum(count > MAX_OWN_ENDS for count in ends.values())
    return harness.BROKEN if often >= 2 else harness.HELD


harness.run(main, FOLDER)
