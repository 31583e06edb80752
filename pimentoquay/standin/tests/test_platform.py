import asyncio

import pytest

from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.base import LogOutcomeUnknownError, LogUnavailableError
from pimentoquay.standin import LogModel, StandinLog, StandinMembership, StandinWeights

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


def member(name, state=MemberState.LIVE):
    return Member(name, MemberKind.ENTRY_VM, state, "r", "dc", "10.0.0.1:1", "", False)


async def test_each_stream_has_its_own_offsets():
    log = StandinLog()
    assert [await log.append(name, b"") for name in ("a", "a", "b")] == [0, 1, 0]
    page = await log.read("a", 1, 0.0)
    assert [record.offset for record in page.records] == [1]
    assert (page.first_offset, page.next_offset) == (0, 2)


async def test_a_read_waits_for_the_next_record():
    log = StandinLog()
    reading = asyncio.create_task(log.read("a", 0, 5.0))
    await asyncio.sleep(1)
    await log.append("a", b"x")
    assert [record.data for record in (await reading).records] == [b"x"]
    start = asyncio.get_running_loop().time()
    assert (await log.read("a", 1, 5.0)).records == ()
    assert asyncio.get_running_loop().time() - start >= 5.0


async def test_an_append_whose_response_is_lost_stays_on_the_log():
    log = StandinLog()
    log.lose_next_answers(1)
    with pytest.raises(LogOutcomeUnknownError):
        await log.append("a", b"x")
    assert [record.data for record in log.records("a")] == [b"x"]
    assert await log.append("a", b"y") == 1


async def test_outage_rejects_calls_and_waiting_reads():
    log = StandinLog()
    reading = asyncio.create_task(log.read("a", 0, 60.0))
    await asyncio.sleep(1)
    log.outage(5.0)
    with pytest.raises(LogUnavailableError):
        await reading
    with pytest.raises(LogUnavailableError):
        await log.append("a", b"x")
    await asyncio.sleep(5.1)
    assert await log.append("a", b"x") == 0


async def test_offsets_continue_after_records_expire():
    log = StandinLog(LogModel(retention=10.0))
    await log.append("a", b"old")
    await asyncio.sleep(11)
    await log.append("a", b"new")
    page = await log.read("a", 0, 0.0)
    assert (page.first_offset, [record.offset for record in page.records]) == (1, [1])


async def test_appends_over_the_rate_are_delayed_and_then_refused():
    log = StandinLog(LogModel(append_rate=10.0, append_wait=0.5))
    results = await asyncio.gather(
        *(log.append("a", b"") for _ in range(10)), return_exceptions=True
    )
    offsets = [result for result in results if isinstance(result, int)]
    assert offsets == [0, 1, 2, 3, 4, 5]
    assert sum(isinstance(result, LogUnavailableError) for result in results) == 4


async def test_membership_changes_are_visible_after_the_lag():
    membership = StandinMembership([member("a"), member("b")], lag=2.0)
    membership.leave("a")
    membership.remove("b")
    assert (await membership.members()).members == (member("a"), member("b"))
    await asyncio.sleep(2.1)
    assert (await membership.members()).members == (member("a", MemberState.LEAVING),)


async def test_membership_outage_raises_a_connection_error():
    membership = StandinMembership([member("a")])
    membership.outage(1.0)
    with pytest.raises(ConnectionError):
        await membership.members()
    await asyncio.sleep(1.1)
    assert len((await membership.members()).members) == 1


async def test_weight_readers_share_the_rate():
    weights = StandinWeights(1e9, {"v": 1_000_000_000})
    start = asyncio.get_running_loop().time()
    await asyncio.gather(weights.fetch("m", "v"), weights.fetch("m", "v"))
    assert asyncio.get_running_loop().time() - start == pytest.approx(2.0, abs=0.001)
    assert weights.max_concurrent_reads == 2
