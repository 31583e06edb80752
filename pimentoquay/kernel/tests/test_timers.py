import pytest

from pimentoquay.kernel import TimerService

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


async def test_cancelled_subscriptions_are_not_kept():
    timers = TimerService()
    for _ in range(100):
        timers.after(3600.0, print).cancel()
        timers.every(3600.0, print).cancel()
    assert not timers._subscriptions
