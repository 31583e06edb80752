"""An engine that has left is used on by a gateway that takes over reading the store.

The store is down for some seconds. Much later the gateways are stopped one after the other, as in
a rolling restart, and an engine leaves in each round: its entry is removed, and it goes on serving
for a while and exits.
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

from pimentoquay.standin.platform_store import StoreFault

GATEWAYS = 5
ROUNDS = 3
DOWN_SECONDS = 4.0
CALM_SECONDS = 6.0
SENT_AFTER_SECONDS = 2.05
EXIT_AFTER_SECONDS = 2.6


async def case(deployment, record, has_trouble):
    decode = [
        Engine(f"dec-{n}", "llm", stage="decode", events=20, pause=0.05) for n in range(ROUNDS + 2)
    ]
    prefill = [Engine(f"pre-{n}", "llm", stage="prefill") for n in range(2)]
    desk = Engine("desk-0", "desk")
    await deployment.start(GATEWAYS, [*decode, *prefill, desk], configuration(1))
    await asyncio.sleep(4.0)
    if has_trouble:
        record.add("store is down")
        deployment.store.fault = StoreFault.BUSY
    await asyncio.sleep(DOWN_SECONDS)
    deployment.store.fault = StoreFault.NONE
    record.add("store is up")
    await asyncio.sleep(CALM_SECONDS)
    broken, answers = [], []
    for number in range(ROUNDS):
        stopped, left = deployment.gateways[number], deployment.gateways[number + 1 :]
        stopped.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        leaving = decode[number]
        gone_at = await deployment.unlist_engine(leaving)
        await asyncio.sleep(SENT_AFTER_SECONDS)
        sent = [
            asyncio.create_task(
                send(each, record, "/sheet/x", body=b"prompt", headers=stream_headers())
            )
            for each in left
        ]
        await asyncio.sleep(EXIT_AFTER_SECONDS - SENT_AFTER_SECONDS)
        await deployment.end_engine(leaving)
        whole_by_id = {each.request: each.is_whole for each in await asyncio.gather(*sent)}
        answers += whole_by_id.values()
        for each in leaving.requests:
            if each.at - gone_at > DRAIN_SECONDS:
                fate = "whole" if whole_by_id.get(each.request) else "cut"
                broken.append(
                    f"{each.request} reached {each.engine} {each.at - gone_at:.3f} s after the "
                    f"store had confirmed that it is gone; its caller's answer is {fate}"
                )
        await stopped.process.wait()
        await asyncio.sleep(3.5)
    record.add("streams", sent=len(answers), whole=sum(answers))
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
