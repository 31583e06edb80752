import asyncio
import contextlib

import pytest

from pimentoquay.kernel import programs


async def stubborn():
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(3600)
        await asyncio.sleep(0)
        return_now = asyncio.current_task().cancelling() > 1
        if return_now:
            return


async def test_a_task_that_swallows_its_cancellation_does_not_hold_up_the_end(monkeypatch):
    monkeypatch.setattr(programs, "STOP_SECONDS", 0.01)
    task = asyncio.create_task(stubborn())
    await asyncio.sleep(0)
    await programs.end_task(task)
    assert not task.done()
    task.cancel()
    await asyncio.wait({task})


async def test_the_error_that_ended_a_task_is_raised():
    async def fail():
        raise OSError("in use")

    task = asyncio.create_task(fail())
    await asyncio.wait({task})
    with pytest.raises(OSError, match="in use"):
        await programs.end_task(task)
