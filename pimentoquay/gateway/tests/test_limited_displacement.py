"""Streams that wait for the limits which engines name, while others of them may be displaced."""

from types import SimpleNamespace
from typing import Any

import pytest

from pimentoquay.gateway import reservations
from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.gateway.reservations import Reservations
from pimentoquay.kernel import RefusedError, ResultCode
from pimentoquay.messages.pools import PoolKey
from pimentoquay.policy.memory_forecast import MemoryNeed
from pimentoquay.policy.pool_placement import PoolPlacement
from pimentoquay.policy.stream_admission import AdmissionLimits, StreamTimes
from pimentoquay.policy.stream_queue import QueuedTokens, WaitingStream
from pimentoquay.policy.tests.test_service_order import ENGINES, need

UNUSED: Any = None


@pytest.mark.parametrize("may_grant", [False, True])
def test_a_coordinator_displaces_no_stream_that_waits_for_limits(may_grant):
    """Streams were refused for lack of memory although memory was not what they waited for."""
    key, sent = PoolKey("llm", "hall", 0), []
    shared: Any = SimpleNamespace(
        closed_versions=lambda service, stages: frozenset(),
        available_engines=lambda service, stages: tuple(ENGINES),
        fleet=SimpleNamespace(pools=lambda service: {key: tuple(ENGINES)}),
        links=SimpleNamespace(limits=SimpleNamespace(may_grant=lambda engine, now: may_grant)),
    )
    coordinator = PoolCoordinator(
        UNUSED, shared, UNUSED, UNUSED, lambda vm, message: sent.append(message), UNUSED
    )
    placement = PoolPlacement("hall", -1.0)
    for number in range(4):
        placement.request(("a", f"high {number}"), need(0), 0.1)
        placement.request(("a", f"low {number}"), need(2), 0.1)
    pool: Any = SimpleNamespace(placement=placement, started_at=-1.0)
    coordinator._displace(key, pool, 0.1)
    assert bool(sent) == may_grant


@pytest.mark.parametrize(
    ("limit_wait", "code"),
    [(2.0, ResultCode.DEADLINE_UNREACHABLE), (0.0, ResultCode.QUEUE_FULL)],
)
async def test_a_gateway_displaces_no_stream_that_waits_for_limits(monkeypatch, limit_wait, code):
    """As at a coordinator."""
    for name in ("refuse_if_version_gone", "refuse_if_hopeless"):
        monkeypatch.setattr(reservations, name, lambda *arguments: None)
    shared: Any = SimpleNamespace(
        run_ledger=None,
        guard=SimpleNamespace(check=lambda job: None),
        limit_wait=lambda service, stages, software: limit_wait,
    )
    pools: Any = SimpleNamespace(is_active=False)
    streams = Reservations(
        shared, lambda: QueuedTokens(0, 0), lambda: False, lambda: None, UNUSED, pools
    )

    def refuse(job, waiter):
        raise RefusedError(ResultCode.QUEUE_FULL, "displaced", 1.0)

    monkeypatch.setattr(streams, "_refuse_long_wait", lambda job, waiter: None)
    monkeypatch.setattr(streams, "_refuse_by_queue", refuse)
    monkeypatch.setattr(streams, "_is_next", lambda waiter: False)
    monkeypatch.setattr(streams._waiting, "may_be_displaced", lambda waiter, now: True)
    now = reservations.asyncio.get_running_loop().time()
    leaves_at = now + AdmissionLimits().work_seconds + 0.2
    waiter = WaitingStream(MemoryNeed(1, 1, 1), StreamTimes(now, now, leaves_at))
    job: Any = SimpleNamespace(service="llm")
    with pytest.raises(RefusedError) as refused:
        await streams.reserve(job, UNUSED, waiter)
    assert refused.value.code is code
