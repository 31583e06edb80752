import asyncio
import json

import pytest

from pimentoquay.backends.base import PlainCall, PlainLostError
from pimentoquay.standin import PlainModel, StandinPlain

pytestmark = [pytest.mark.asyncio, pytest.mark.looptime]


def call(request_id="r", key="k"):
    body = json.dumps({"idempotency_key": key}).encode()
    return PlainCall(request_id, "POST", "/orders", body, "application/json")


async def test_runs_are_counted_by_request_and_by_key():
    service = StandinPlain("s")
    await service.call(call("a", "k"), 1.0)
    await service.call(call("b", "k"), 1.0)
    await service.call(call("b", ""), 1.0)
    observed = service.observed()
    assert (observed.request_ids_twice, observed.keys_twice) == (("b",), ("k",))


async def test_a_refused_call_is_marked_as_not_run():
    service = StandinPlain("s")
    service.refuse_next(1)
    answer = await service.call(call(), 1.0)
    assert answer.not_run
    assert service.observed().runs == ()


@pytest.mark.parametrize(("fault", "runs"), [("crash_before_next", 0), ("crash_after_next", 1)])
async def test_a_lost_call_may_have_run(fault, runs):
    service = StandinPlain("s")
    getattr(service, fault)(1)
    with pytest.raises(PlainLostError) as caught:
        await service.call(call(), 1.0)
    assert caught.value.written
    assert len(service.observed().runs) == runs


async def test_a_call_that_times_out_still_runs_once():
    service = StandinPlain("s", PlainModel(service_seconds=2.0))
    with pytest.raises(PlainLostError) as caught:
        await service.call(call(), 1.0)
    assert caught.value.written
    await asyncio.sleep(1.1)
    assert len(service.observed().runs) == 1


async def test_a_call_of_a_service_that_is_down_is_marked_as_not_written():
    service = StandinPlain("s")
    service.crash()
    with pytest.raises(PlainLostError) as caught:
        await service.call(call(), 1.0)
    assert not caught.value.written
