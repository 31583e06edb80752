import asyncio
import contextlib
import os
import signal

import pytest

from pimentoquay.kernel import programs


async def ignore_first_cancellation():
    while True:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.sleep(3600)
        await asyncio.sleep(0)
        is_cancelled_again = asyncio.current_task().cancelling() > 1
        if is_cancelled_again:
            return


async def test_task_that_ignores_cancellation_does_not_delay_exit(monkeypatch):
    monkeypatch.setattr(programs, "STOP_SECONDS", 0.01)
    task = asyncio.create_task(ignore_first_cancellation())
    await asyncio.sleep(0)
    await programs.cancel_task(task)
    assert not task.done()
    task.cancel()
    await asyncio.wait({task})


async def test_the_error_that_ended_a_task_is_raised():
    async def fail():
        raise OSError("in use")

    task = asyncio.create_task(fail())
    await asyncio.wait({task})
    with pytest.raises(OSError, match="in use"):
        await programs.cancel_task(task)


def test_a_drain_goes_on_after_a_signal_that_does_not_end_the_program():
    has_drained = []

    async def main(stop):
        os.kill(os.getpid(), signal.SIGTERM)
        await stop.wait()
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.05)
        has_drained.append(True)

    assert programs.run_until_stopped(main, (signal.SIGINT,)) == programs.EXIT_OK
    assert has_drained
    assert programs.run_until_stopped(main) == programs.EXIT_KILLED
    assert len(has_drained) == 1
