"""A stream goes on at an engine of another software version than the one that began it.

A ``stream`` route that may be resumed leads to a plain service, of which engines of two software
versions serve side by side. Three of eight engines crash in turn; callers take up their streams at any gateway.
"""

import asyncio
import re
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[0]))

from harness3 import (
    Engine,
    configuration,
    new_id,
    route,
    run_case,
    send,
)

ROUTES = (
    route("ticker", "stream", "feed", gapTargetMs=300, resumable=True, maxAttempts=2),
    route("order", "non_idempotent", "desk", timeoutMs=2500, targetLatencyMs=200),
)
EVENTS = 120
EVENT_BYTES = 600
PAUSE_SECONDS = 0.02
ROUNDS = 3
STREAMS = 32
CRASHES_AFTER_SECONDS = 2.2
MAX_MIXED = 2


@dataclass
class FeedEngine(Engine):
    """Engine of a plain service that answers with a stream, whose events name its version."""

    def event(self, number):
        text = f"id: {number}\ndata: {self.software} piece {number} "
        return text.ljust(EVENT_BYTES - 2, ".").encode() + b"\n\n"

    async def _answer(self, arrival, headers, reply):
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        first = int(arrival.headers.get("last-event-id", "-1")) + 1
        for number in range(first, EVENTS):
            reply.write(self.event(number))
            await asyncio.sleep(PAUSE_SECONDS)
        reply.end()


def versions_of(body):
    """Return the versions of the whole events of an answer, and the id of the last one."""
    events = re.findall(rb"id: ([0-9]+)\ndata: (v[0-9]+) [^\n]*\n\n", body)
    return {version.decode() for _, version in events}, int(events[-1][0]) if events else None


async def take(deployment, record, number):
    """Take a stream to its end as a caller does, with one retry; return its versions."""
    gateways = deployment.gateways
    answer = await send(gateways[number % 2], record, "/ticker/x", body=b"now", seconds=8.0)
    versions, last = versions_of(answer.body)
    if answer.is_whole or last is None:
        return answer.request, versions
    headers = (f"Last-Event-Id: {last}", f"Resumes: {answer.request}")
    again = await send(
        gateways[(number + 1) % 2],
        record,
        "/ticker/x",
        body=b"now",
        seconds=6.0,
        headers=headers,
        request_id=new_id(),
    )
    record.add("caller resumes", request=again.request, resumes=answer.request, after=last)
    return answer.request, versions | versions_of(again.body)[0]


async def case(deployment, record, has_trouble):
    feeds = [FeedEngine(f"feed-{n}", "feed") for n in range(8)]
    for engine in feeds[4:]:
        engine.software = "v2"
    desk = Engine("desk-0", "desk")
    await deployment.start(2, [*feeds, desk], configuration(1, ROUTES, ("feed", "desk")))
    await asyncio.sleep(4.0)
    taken = []
    for crashing in feeds[:ROUNDS]:
        tasks = []
        for number in range(STREAMS):
            tasks.append(asyncio.create_task(take(deployment, record, number)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(CRASHES_AFTER_SECONDS - STREAMS * 0.02)
        if has_trouble:
            await deployment.end_engine(crashing)
        taken += await asyncio.gather(*tasks)
        await asyncio.sleep(1.0)
    mixed = [(request, versions) for request, versions in taken if len(versions) > 1]
    record.add("streams", sent=len(taken), of_two_versions=len(mixed))
    if len(mixed) <= MAX_MIXED:
        return []
    return [f"{request} holds events of {sorted(versions)}" for request, versions in mixed]


if __name__ == "__main__":
    sys.exit(run_case(tempfile.mkdtemp(), case))
