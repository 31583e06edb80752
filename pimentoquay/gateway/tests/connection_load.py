"""Connections that a gateway opens to engines under a seeded load; run by hand.

Example: ``python -m pimentoquay.gateway.tests.connection_load --seed 1 --seconds 20``. Each line
names a load, the requests sent, the share served, the reservations that engines refused, and the
connections opened to engines per 1,000 requests.
"""

import argparse
import asyncio
import random
from dataclasses import dataclass

from loguru import logger

from pimentoquay.gateway.tests.rig import model_headers, rig
from pimentoquay.kernel.errors import HttpError

PREFILL_SECONDS = 0.1
EVENT_SECONDS = 0.1


@dataclass(frozen=True)
class Mix:
    """A load: calls and streams a second, and the share of reservations that engines refuse."""

    name: str
    calls: float
    streams: float
    refused: float = 0.0


MIXES = (
    Mix("calls", calls=100.0, streams=0.0),
    Mix("streams", calls=0.0, streams=20.0),
    Mix("few streams", calls=0.0, streams=2.0),
    Mix("both", calls=50.0, streams=20.0),
    Mix("streams, one reservation in five refused", calls=0.0, streams=20.0, refused=0.2),
)


async def play(mix, seed, seconds):
    """Play a load and return its line."""
    arrivals, draw = random.Random(f"{seed} {mix.name}"), random.Random(seed)
    async with rig() as env:
        refused = [0]
        for engine in env.engine_by_id.values():
            engine.events, engine.pause = 10, EVENT_SECONDS
            _slow_down_prefills(engine)
            _refuse_some(engine, mix.refused, draw, refused)
        links = env.gateway_by_vm["vm-1"].links
        before = links.opened_connections
        loop = asyncio.get_running_loop()
        now, ends_at = loop.time(), loop.time() + seconds
        tasks: list = []
        total = mix.calls + mix.streams
        while (now := now + arrivals.expovariate(total)) < ends_at:
            is_call = arrivals.random() < mix.calls / total
            prompt, hint = arrivals.randint(500, 8000), arrivals.randint(100, 3000)
            await asyncio.sleep(now - loop.time())
            tasks.append(asyncio.create_task(_send(env, len(tasks), is_call, prompt, hint)))
        results = await asyncio.gather(*tasks)
        opened = links.opened_connections - before
        share = sum(results) / len(results)
        per_thousand = 1000.0 * opened / len(results)
        return (
            f"{mix.name}: {len(results)} requests, {share:.3f} served, {refused[0]} reservations"
            f" refused, {per_thousand:.1f} connections per 1,000 requests"
        )


def _slow_down_prefills(engine):
    answer = engine._answer

    async def answer_later(arrival, headers, reply):
        if arrival.is_prefill:
            await asyncio.sleep(PREFILL_SECONDS)
        await answer(arrival, headers, reply)

    engine._answer = answer_later


def _refuse_some(engine, share, draw, refused):
    create = engine._create_hold

    def create_or_refuse(tokens, reply):
        if draw.random() < share:
            refused[0] += 1
            reply.send(503, ((b"Pimentoquay-Not-Executed", b"1"),), b"")
        else:
            create(tokens, reply)

    engine._create_hold = create_or_refuse


async def _send(env, number, is_call, prompt, hint):
    path = "/look/a" if is_call else "/sheet/a"
    headers = () if is_call else model_headers(prompt=prompt, hint=hint)
    try:
        response = await env.send_request(path, headers=headers, request_id=f"load-{number}")
    except HttpError:
        return False
    return response.status == 200 and response.is_whole


def main():
    """Play the loads one after the other."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    arguments = parser.parse_args()
    logger.remove()
    for mix in MIXES:
        print(asyncio.run(play(mix, arguments.seed, arguments.seconds)), flush=True)


if __name__ == "__main__":
    main()
