"""An engine that has left stays in use after the gateway that reads the store has started again.

The gateway whose name sorts first reads the store for all. It is stopped with SIGTERM and started
again, as in a rolling restart, and two engines leave meanwhile, one after the other: their entries
are removed shortly before the new process reads the list, and they go on serving for a while and exit.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import (
    DRAIN_SECONDS,
    Engine,
    configuration,
    run_case,
    send,
    stream_headers,
)

GATEWAYS = 3
ROUNDS = 8
STREAMS = 3
DOWN_SECONDS = 0.5
REMOVED_BEFORE_READ_SECONDS = (0.3, 0.12)
SENT_AFTER_SECONDS = 2.6
EXIT_AFTER_SECONDS = 3.2


async def seconds_to_ready(gateway):
    """Start a gateway; return the seconds until it is ready, which is when it has the list."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    await gateway.start()
    while not await gateway.is_ready():
        await asyncio.sleep(0.01)
    return loop.time() - began_at


async def leave(deployment, engines, boot_seconds):
    """Remove the entries of engines shortly before a process that starts now reads the list."""
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    gone = []
    for engine, before in zip(engines, REMOVED_BEFORE_READ_SECONDS, strict=True):
        await asyncio.sleep(max(0.0, started_at + boot_seconds - before - loop.time()))
        gone.append((engine, await deployment.unlist_engine(engine)))
    return gone


async def case(deployment, record, has_trouble):
    leaving_at_once = len(REMOVED_BEFORE_READ_SECONDS)
    decode = [
        Engine(f"dec-{n:02}", "llm", stage="decode", events=20, pause=0.05)
        for n in range(ROUNDS * leaving_at_once + 2)
    ]
    prefill = [Engine(f"pre-{n}", "llm", stage="prefill") for n in range(2)]
    desk = Engine("desk-0", "desk")
    await deployment.start(GATEWAYS, [*decode, *prefill, desk], configuration(1))
    reader, others = deployment.gateways[0], deployment.gateways[1:]
    await asyncio.sleep(4.0)
    boot_seconds = 0.6
    if has_trouble:
        reader.signal(signal.SIGTERM)
        await reader.process.wait()
        await asyncio.sleep(DOWN_SECONDS)
        boot_seconds = await seconds_to_ready(reader)
        record.add("gateway ready", gateway=reader.name, after=f"{boot_seconds:.3f}")
        await asyncio.sleep(4.0)
    broken, answers = [], []
    for number in range(ROUNDS):
        leaving = decode[number * leaving_at_once : (number + 1) * leaving_at_once]
        starting = None
        if has_trouble:
            reader.signal(signal.SIGTERM)
            await reader.process.wait()
            await asyncio.sleep(DOWN_SECONDS)
            starting = asyncio.create_task(seconds_to_ready(reader))
        gone = await leave(deployment, leaving, boot_seconds)
        if starting is not None:
            boot_seconds = await starting
            record.add("gateway ready", gateway=reader.name, after=f"{boot_seconds:.3f}")
        last_gone_at = gone[-1][1]
        await asyncio.sleep(max(0.0, last_gone_at + SENT_AFTER_SECONDS - record.now()))
        sent = [
            asyncio.create_task(
                send(each, record, "/sheet/x", body=b"prompt", headers=stream_headers())
            )
            for each in others
            for _ in range(STREAMS)
        ]
        for engine, gone_at in gone:
            await asyncio.sleep(max(0.0, gone_at + EXIT_AFTER_SECONDS - record.now()))
            await deployment.end_engine(engine)
        whole_by_id = {each.request: each.is_whole for each in await asyncio.gather(*sent)}
        answers += whole_by_id.values()
        for engine, gone_at in gone:
            for each in engine.requests:
                if each.at - gone_at > DRAIN_SECONDS:
                    fate = "whole" if whole_by_id.get(each.request) else "cut"
                    broken.append(
                        f"{each.request} reached {each.engine} {each.at - gone_at:.3f} s after the "
                        f"store had confirmed that it is gone; its caller's answer is {fate}"
                    )
        await asyncio.sleep(2.0)
    record.add("streams", sent=len(answers), whole=sum(answers))
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
