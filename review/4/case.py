"""Sound events that were read together with a wrong one are missing in a stream that goes on.

Clients send streams that may be resumed. An engine hands out wrong bytes in one of its streams: in
one event the id is wrong. It writes its events in pieces of three, so the two events before the
wrong one arrive with it. With TROUBLE=0 it writes the same pieces with the right id.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402
from pimentoquay.standin.platform_engine import PlatformEngine  # noqa: E402

EVENTS = 21
EVENTS_PER_PIECE = 3
STREAMS = 60
SPOILED = "s40"
"""One answer of about 120 of both engines: under 3 in 100 of those of the engine that runs it."""

SPOILED_EVENT = 5
WRONG_ID = 65


class PieceEngine(PlatformEngine):
    """Engine that writes some events at a time, and may write a wrong id in one of them."""

    def prepare(self, deployment, is_disrupted):
        self.deployment = deployment
        self.spoiled = SPOILED if is_disrupted else ""

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        request_id = arrival.headers["pimentoquay-request-id"]
        after = arrival.headers.get("last-event-id")
        first = int(after) + 1 if after is not None else 0
        self.deployment.note("run", engine=self.id, id=request_id, after=after)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        for start in range(first, EVENTS, EVENTS_PER_PIECE):
            piece = b""
            for number in range(start, min(start + EVENTS_PER_PIECE, EVENTS)):
                written = number
                if (request_id, number, first) == (self.spoiled, SPOILED_EVENT, 0):
                    written = WRONG_ID
                    self.deployment.note("wrong bytes", engine=self.id, id=request_id, event=number)
                piece += f"id: {written}\ndata: piece {number}\n\n".encode()
            reply.write(piece)
            await asyncio.sleep(0.05)
        reply.end()


async def main(deployment, is_disrupted):
    await deployment.start_store()
    for number in (1, 2):
        await deployment.add_engine(PlatformEngine(f"desk-{number}", "desk"))
    await deployment.add_engine(PlatformEngine("pre-1", "llm", stage="prefill"))
    for number in (1, 2):
        engine = PieceEngine(f"dec-{number}", "llm", stage="decode")
        engine.prepare(deployment, is_disrupted)
        await deployment.add_engine(engine)
    await deployment.add_gateways(2)
    await asyncio.sleep(11.0)  # The budget of repeats of a gateway grows in its first ten seconds.
    expected = list(range(EVENTS))
    broken = []

    async def send_stream(number):
        request_id = f"s{number}"
        await asyncio.sleep(number * 0.2)
        gateway = deployment.gateways[number % 2]
        data = harness.request_bytes("/digest/a", request_id, model=True)
        answer = await harness.send(gateway, data)
        deployment.note(
            "answered",
            id=request_id,
            status=answer.status,
            whole=answer.is_whole,
            events=answer.event_ids,
        )
        if answer.status == 200 and answer.is_whole and answer.event_ids != expected:
            broken.append(request_id)

    await asyncio.gather(*(send_stream(number) for number in range(STREAMS)))
    deployment.note("at the end", whole_streams_with_missing_or_wrong_events=broken)
    return harness.BROKEN if broken else harness.HELD


harness.run(main, FOLDER)
