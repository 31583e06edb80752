"""A stream is sent to its decode engine long after that engine has said that it leaves.

The prefill engine is five times slower than usual and reads one prompt after the other. Decode
engines are replaced one after the other, as in a release: a new one is added, the old one reports
that it drains, serves for a little longer than ``drainMs``, and exits.
"""

import asyncio
import sys
from dataclasses import dataclass, field
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

GATEWAYS = 4
ROUNDS = 12
SENT_AFTER_SECONDS = 0.3
EXIT_AFTER_SECONDS = 2.8
PROMPT_TOKENS = 9_500
TOKENS_PER_SECOND = 55_555.6
SLOW_FACTOR = 5.0


@dataclass
class PrefillEngine(Engine):
    """Prefill engine that reads one prompt after the other."""

    factor: float = 1.0
    turn: asyncio.Lock = field(default_factory=asyncio.Lock)

    async def _answer(self, arrival, headers, reply):
        tokens = int(arrival.headers["pimentoquay-token-counts"].split(",")[0])
        async with self.turn:
            await asyncio.sleep(self.factor * tokens / TOKENS_PER_SECOND)
        await super()._answer(arrival, headers, reply)


def decode_engine(number):
    return Engine(f"dec-{number}", "llm", stage="decode", events=20, pause=0.05)


async def case(deployment, record, has_trouble):
    prefill = PrefillEngine("pre-0", "llm", stage="prefill", prefill_seconds=0.0)
    decode = [decode_engine(0), decode_engine(1)]
    desk = Engine("desk-0", "desk")
    await deployment.start(GATEWAYS, [prefill, *decode, desk], configuration(1))
    await asyncio.sleep(4.0)
    if has_trouble:
        prefill.factor = SLOW_FACTOR
    left_at_by_engine, answers = {}, []
    for number in range(ROUNDS):
        decode.append(decode_engine(number + 2))
        await deployment.add_engine(decode[-1])
        await asyncio.sleep(1.6)
        leaving = decode[number]
        left_at_by_engine[leaving.id] = await deployment.drain_engine(leaving)
        await asyncio.sleep(SENT_AFTER_SECONDS)
        headers = stream_headers(PROMPT_TOKENS)
        sent = [
            asyncio.create_task(send(each, record, "/sheet/x", body=b"prompt", headers=headers))
            for each in deployment.gateways
        ]
        await asyncio.sleep(EXIT_AFTER_SECONDS - SENT_AFTER_SECONDS)
        await deployment.end_engine(leaving)
        await deployment.store.put("keyed.servers", leaving.id, b"")
        answers += await asyncio.gather(*sent)
    record.add("streams", sent=len(answers), whole=sum(each.is_whole for each in answers))
    whole_by_id = {each.request: each.is_whole for each in answers}
    broken = []
    for engine in decode:
        for each in engine.requests:
            late = each.at - left_at_by_engine.get(each.engine, float("inf"))
            if late > DRAIN_SECONDS:
                fate = "whole" if whole_by_id[each.request] else "cut"
                broken.append(
                    f"{each.request} reached {each.engine} {late:.3f} s after the store had "
                    f"confirmed that it drains; its caller's answer is {fate}"
                )
    return broken


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
