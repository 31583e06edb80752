"""Streams that have begun while all their engines are silent for a while, as in a freeze."""

import asyncio
from dataclasses import dataclass, field

import pytest

from pimentoquay.gateway.tests.rig import rig, until
from pimentoquay.standin.platform_engine import PlatformEngine

# In virtual time, as the silence lasts for seconds.
pytestmark = pytest.mark.looptime(start=1000)


@dataclass
class FreezingEngine(PlatformEngine):
    """Engine that neither answers nor goes on with its streams while it is frozen."""

    thawed: asyncio.Event = field(default_factory=asyncio.Event)

    async def _handle_request(self, request, reply):
        await self.thawed.wait()
        await super()._handle_request(request, reply)

    async def _stream(self, arrival, behaviour, headers, reply):
        self.holds.pop(arrival.headers.get("pimentoquay-kv-hold", ""), None)
        reply.start(200, (*headers, (b"Content-Type", b"text/event-stream")))
        first = int(arrival.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            await self.thawed.wait()
            reply.write(self.event(number))
            await asyncio.sleep(0.1)
        reply.end()


@pytest.mark.parametrize("seconds", [1.0, 2.2, 4.0])
async def test_a_stream_that_has_begun_outlasts_a_silence_of_all_engines(seconds):
    """It was cut, with seconds of its time left, as no engine could be used at that moment."""
    async with rig() as env:
        engines = []
        for name in ("dec-1", "dec-2"):
            await env.engine_by_id[name].close()
            engine = FreezingEngine(name, "llm", stage="decode", born=2, events=20)
            engine.thawed.set()
            engines.append(engine)
            await env.add_engine(engine)
        fleet = env.gateway_by_vm["vm-1"].fleet
        await until(lambda: sum(each.incarnation == 2 for each in fleet.engines()) == 2, "listed")
        caller = asyncio.create_task(env.stream("/digest/a"))
        await asyncio.sleep(0.5)
        for engine in engines:
            engine.thawed.clear()
        await asyncio.sleep(seconds)
        for engine in engines:
            engine.thawed.set()
        response = await caller
        assert response.is_whole
        assert response.body == b"".join(engines[0].event(number) for number in range(1, 21))
