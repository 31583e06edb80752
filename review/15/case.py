"""An engine that has left is used on by a gateway that takes over reading the store.

The store is down for some seconds. Much later the gateways are stopped one after the other, as in
a rolling restart, and an engine of each round leaves: its entry is removed, and it goes on serving.
"""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from harness3 import (  # noqa: E402
    DRAIN_SECONDS,
    Engine,
    configuration,
    run_case,
    send,
)

from pimentoquay.standin.platform_store import StoreFault  # noqa: E402

GATEWAYS = 5
ROUNDS = 3
DOWN_SECONDS = 4.0
CALM_SECONDS = 6.0
SENT_AFTER_SECONDS = 2.1


async def case(deployment, record, has_trouble):
    desks = [Engine(f"desk-{n}", "desk") for n in range(ROUNDS + 2)]
    model = [Engine("pre-0", "llm", stage="prefill"), Engine("dec-0", "llm", stage="decode")]
    await deployment.start(GATEWAYS, [*desks, *model], configuration(1))
    await asyncio.sleep(4.0)
    if has_trouble:
        record.add("store is down")
        deployment.store.fault = StoreFault.BUSY
    await asyncio.sleep(DOWN_SECONDS)
    deployment.store.fault = StoreFault.NONE
    record.add("store is up")
    await asyncio.sleep(CALM_SECONDS)
    broken = []
    for number in range(ROUNDS):
        stopped, left = deployment.gateways[number], deployment.gateways[number + 1 :]
        stopped.signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        leaving = desks[number]
        gone_at = await deployment.unlist_engine(leaving)
        await asyncio.sleep(SENT_AFTER_SECONDS)
        await asyncio.gather(
            *(send(each, record, "/order/x", body=b"toner", seconds=2.5) for each in left)
        )
        for each in leaving.requests:
            if each.at - gone_at > DRAIN_SECONDS:
                broken.append(
                    f"{each.request} reached {each.engine} {each.at - gone_at:.3f} s after the "
                    "store had confirmed that it is gone"
                )
        await asyncio.sleep(4.0)
        await deployment.end_engine(leaving)
        await stopped.process.wait()
        await asyncio.sleep(3.5)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
