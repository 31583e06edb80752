import asyncio
import time

import pytest

from pimentoquay.kernel.timeouts import STEPS, attempt_timeout


@pytest.mark.looptime
async def test_a_block_that_takes_too_long_ends_in_time():
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    with pytest.raises(TimeoutError):
        async with attempt_timeout(0.1):
            await asyncio.sleep(1.0)
    assert loop.time() - started_at == pytest.approx(0.1)


@pytest.mark.looptime
async def test_a_block_that_ends_is_not_interrupted_later():
    async with attempt_timeout(0.1):
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.0)


@pytest.mark.looptime
async def test_a_cancelled_block_is_cancelled():
    async def wait():
        async with attempt_timeout(0.1):
            await asyncio.sleep(1.0)

    task = asyncio.create_task(wait())
    await asyncio.sleep(0.01)
    task.cancel()
    with pytest.raises(asyncio.CancelledError):
        await task


def stand_still(seconds):
    time.sleep(seconds)


async def test_time_in_which_the_process_stood_still_does_not_count():
    async with attempt_timeout(0.5):
        await asyncio.sleep(0)
        stand_still(0.8)
        for _ in range(10):
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)


async def test_a_process_that_stands_still_again_and_again_gives_up_too():
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with attempt_timeout(0.05):
            while time.monotonic() - started_at < 2.0:
                stand_still(0.08)
                await asyncio.sleep(0)


@pytest.mark.parametrize("stalls", [(0.21,), (0.24,), (0.15, 0.15), (0.08, 0.08, 0.08)])
async def test_a_stall_that_ends_with_the_timeout_does_not_count_either(stalls):
    """Only one that outlasted the timeout by a quarter of it counted as a stall."""
    async with attempt_timeout(0.2):
        for seconds in stalls:
            await asyncio.sleep(0)
            stand_still(seconds)
        for _ in range(10):
            await asyncio.sleep(0)
        await asyncio.sleep(0.01)


async def test_a_process_that_stands_still_in_each_step_gives_up_after_twice_the_steps():
    with pytest.raises(TimeoutError):
        async with attempt_timeout(0.04):
            for _ in range(4 * STEPS):
                stand_still(0.02)
                await asyncio.sleep(0)
