"""Tests of requests whose scheduler or entry was lost.

The requests continue with a new scheduler, are placed directly, or are resumed by another entry.
"""

import asyncio
from contextlib import aclosing

import pytest

from pimentoquay.backends.base import (
    RunningRequest,
)
from pimentoquay.entry.tests.fakes import (
    END,
    KIND,
    WHOLE,
    collect,
    entry_rig,
    frame,
    grant,
    no_reply,
    spec_of,
)
from pimentoquay.kernel import Envelope, RefusedError, ResultCode
from pimentoquay.messages.cluster import ClusterView
from pimentoquay.messages.placement import (
    Located,
    PlaceRequest,
    Reannouncement,
    Release,
    Stage,
)

pytestmark = pytest.mark.looptime

ONCE = KIND.__class__(**{**KIND.__dict__, "idempotent": False})
"""Kind of request that must run at most once."""


async def test_a_stream_survives_its_scheduler_and_is_announced_to_the_successor():
    async with entry_rig(("vm-a", "vm-b", "vm-c")) as rig:
        rig.next_answers(grant("p1", "d1"))
        rig.engine_by_name["d1"].tokens = 300
        lost_scheduler = rig.scheduler
        async with aclosing(rig.service.run(spec_of())) as stream:
            chunks = [await anext(stream)]
            live = tuple(
                vm
                for vm in rig.link.directory.view.live_vms
                if vm != lost_scheduler.node.identity.vm
            )
            view = ClusterView(2, rig.link.directory.view.members, live, ("city-hall",))
            await lost_scheduler.node.transport.close()
            rig.link.inbox.put_nowait(Envelope(view))
            chunks += [chunk async for chunk in stream]
        assert b"".join(chunks).endswith(frame(299) + END)
        announcement = rig.scheduler.of_type(Reannouncement)[0]
        assert rig.scheduler is not lost_scheduler
        assert [record.request_id for record in announcement.grants] == ["r1"]
        await asyncio.sleep(0.1)
        assert rig.scheduler.of_type(Release)[0].code is ResultCode.OK


async def test_a_request_waiting_at_a_lost_scheduler_is_placed_by_its_successor():
    async with entry_rig(("vm-a", "vm-b", "vm-c")) as rig:
        lost_scheduler = rig.scheduler
        rig.next_answers(grant("p1", "d1"))
        lost_scheduler.answers = [no_reply]
        task = asyncio.create_task(collect(rig.service.run(spec_of())))
        await asyncio.sleep(0.1)
        live = tuple(
            vm for vm in rig.link.directory.view.live_vms if vm != lost_scheduler.node.identity.vm
        )
        await lost_scheduler.node.transport.close()
        view = ClusterView(2, rig.link.directory.view.members, live, ("city-hall",))
        rig.link.inbox.put_nowait(Envelope(view))
        assert await task == WHOLE
        assert rig.scheduler.of_type(PlaceRequest)[0].attempt == 1


async def test_a_wait_shorter_than_the_timer_resolution_ends():
    lookups = []
    async with entry_rig() as rig:
        found = await rig.link._wait_for(lambda: lookups.append(1) if len(lookups) < 9 else 1, 1e-9)
        assert found is None
    assert len(lookups) <= 2


async def test_without_any_scheduler_a_few_requests_are_placed_directly():
    async with entry_rig() as rig:
        await rig.scheduler.node.transport.close()
        specs = [spec_of(f"r{index}") for index in range(10)]
        results = await asyncio.gather(
            *(collect(rig.service.run(spec)) for spec in specs), return_exceptions=True
        )
        assert results.count(WHOLE) == 6
        refused = [error.code for error in results if isinstance(error, RefusedError)]
        assert refused == [ResultCode.QUEUE_FULL] * 4


async def test_a_stream_is_resumed_through_another_entry():
    async with entry_rig() as rig:
        rig.scheduler.located = Located("r1", 4, "d2")
        rest = await collect(rig.service.resume(spec_of(), 2))
        assert rest == b"".join(map(frame, (2, 3, 4))) + END
        assert rig.engine_by_name["d2"].calls == ["resume@2:4"]


async def test_a_stream_is_found_on_its_engine_when_its_scheduler_died_with_its_entry():
    async with entry_rig() as rig:
        running = RunningRequest("r1", 4, Stage.DECODE, False, 3, 0.5)
        rig.engine_by_name["d2"].running = (running,)
        rest = await collect(rig.service.resume(spec_of(), 2))
        assert rest == b"".join(map(frame, (2, 3, 4))) + END
        await asyncio.sleep(0.1)
        announcement = rig.scheduler.of_type(Reannouncement)[0]
        assert [(record.attempt, record.stage) for record in announcement.grants] == [
            (4, Stage.DECODE)
        ]


async def test_a_stream_is_found_at_once_although_its_scheduler_has_no_successor_yet():
    async with entry_rig() as rig:
        running = RunningRequest("r1", 4, Stage.DECODE, False, 3, 0.5)
        rig.engine_by_name["d2"].running = (running,)
        await rig.scheduler.node.transport.close()
        before = asyncio.get_running_loop().time()
        rest = await collect(rig.service.resume(spec_of(), 2))
        assert rest.endswith(END)
        assert asyncio.get_running_loop().time() - before < 0.2


async def test_resuming_an_unknown_stream_is_refused_and_nothing_runs():
    async with entry_rig() as rig:
        with pytest.raises(RefusedError) as caught:
            await collect(rig.service.resume(spec_of(), 2))
        assert caught.value.code is ResultCode.REQUEST_UNKNOWN
        assert not any(engine.calls for engine in rig.engine_by_name.values())
