import asyncio

import pytest

from pimentoquay.backends.base import PlainCall, PlainLostError
from pimentoquay.backends.plain_http import HttpPlainClient
from pimentoquay.messages.cluster import Member, MemberKind, MemberState
from pimentoquay.services.base import LogOutcomeUnknownError, LogUnavailableError
from pimentoquay.services.log_http import HttpLogClient
from pimentoquay.services.membership_http import HttpMembershipClient
from pimentoquay.services.weight_store_http import HttpWeightStoreClient
from pimentoquay.standin import (
    LogModel,
    PlainModel,
    StandinLog,
    StandinMembership,
    StandinPlain,
    StandinWeights,
)
from pimentoquay.standin.serve_plain import plain_app
from pimentoquay.standin.serve_platform import log_app, membership_app, weights_app
from pimentoquay.standin.tests.served import free_address, served

MEMBER = Member(
    "e", MemberKind.ENGINE, MemberState.LIVE, "r", "dc", "127.0.0.1:1", "m", True
)  # fmt: skip


def call(request_id="r", method="POST"):
    return PlainCall(request_id, method, "/orders", b"{}", "application/json")


async def test_log_over_http_distinguishes_lost_responses_from_outages():
    log = StandinLog(LogModel(latency=0.0))
    async with served(log_app(log)) as address:
        client = HttpLogClient(address)
        assert await client.append("a/b", b"\x00\xff") == 0
        page = await client.read("a/b", 0, 0.0)
        assert [record.data for record in page.records] == [b"\x00\xff"]
        log.lose_next_answers(1)
        with pytest.raises(LogOutcomeUnknownError):
            await client.append("a/b", b"x")
        log.outage(60.0)
        with pytest.raises(LogUnavailableError):
            await client.append("a/b", b"y")
        with pytest.raises(LogUnavailableError):
            await client.read("a/b", 0, 0.0)
        assert len(log.records("a/b")) == 2


async def test_append_without_a_listening_log_raises_log_unavailable():
    with pytest.raises(LogUnavailableError):
        await HttpLogClient(free_address()).append("a", b"x")


async def test_membership_and_weights_over_http():
    membership, weights = StandinMembership([MEMBER]), StandinWeights(1e12, {"v": 5})
    async with (
        served(membership_app(membership)) as membership_address,
        served(weights_app(weights)) as weights_address,
    ):
        client = HttpMembershipClient(membership_address)
        assert (await client.members()).members == (MEMBER,)
        membership.outage(60.0)
        with pytest.raises(ConnectionError):
            await client.members()
        assert await HttpWeightStoreClient(weights_address).size_of("m", "v") == 5


async def test_plain_calls_over_http_mark_calls_that_did_not_run():
    service = StandinPlain("s", PlainModel(service_seconds=0.0))
    async with served(plain_app(service)) as address:
        client = HttpPlainClient(address)
        assert (await client.call(call("a"), 5.0)).status == 200
        service.refuse_next(1)
        assert (await client.call(call("b"), 5.0)).not_run
        service.crash_after_next(1)
        with pytest.raises(PlainLostError) as caught:
            await client.call(call("c"), 5.0)
        assert caught.value.written
        assert [run.request_id for run in service.observed().runs] == ["a", "c"]
    with pytest.raises(PlainLostError) as caught:
        await client.call(call("d"), 5.0)
    assert not caught.value.written


async def test_no_method_is_retried_after_a_connection_loss():
    service = StandinPlain("s", PlainModel(service_seconds=0.0))
    async with served(plain_app(service)) as address:
        client = HttpPlainClient(address)
        for method in ("GET", "PUT", "DELETE", "POST"):
            await client.call(call(method, method), 5.0)
            service.crash_after_next(1)
            with pytest.raises(PlainLostError):
                await client.call(call(method + "-lost", method), 5.0)
        assert service.observed().request_ids_twice == ()
        assert len(service.observed().runs) == 8


async def test_the_response_of_a_cancelled_call_is_not_given_to_the_next_call():
    service = StandinPlain("s", PlainModel(service_seconds=0.1))
    async with served(plain_app(service)) as address:
        client = HttpPlainClient(address)
        await client.call(call("first"), 5.0)
        late = asyncio.create_task(client.call(call("cancelled"), 5.0))
        await asyncio.sleep(0.05)
        late.cancel()
        await asyncio.wait([late])
        answer = await client.call(call("next"), 5.0)
        assert b'"next"' in answer.body
