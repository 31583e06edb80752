"""Streams whose granted engine refused the memory, and which ask their coordinator again."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from pimentoquay.gateway.pool_coordinator import PoolCoordinator
from pimentoquay.messages.pools import PlaceClass, PlaceOutcome, PlaceRequest, PoolKey
from pimentoquay.policy.pool_placement import PoolPlacement
from pimentoquay.policy.tests.test_service_order import ENGINES as ONE_ENGINE
from pimentoquay.policy.tests.test_service_order import need

UNUSED: Any = None
ENGINES = [*ONE_ENGINE, replace(ONE_ENGINE[0], id="e2")]
KEY = PoolKey("llm", "hall", 0)


def request(full_engine=""):
    return PlaceRequest("k", KEY, 9_000, 0, 9_000, 9_000, True, 0.0, 0.9, 4.0, full_engine)


@pytest.fixture
def sent():
    return []


@pytest.fixture
def coordinator(sent):
    limits = SimpleNamespace(
        may_grant=lambda engine, now: True, limited=False, limit_of=lambda start: None
    )
    shared: Any = SimpleNamespace(
        closed_versions=lambda service, stages: frozenset(),
        available_engines=lambda service, stages: tuple(ENGINES) if len(stages) > 1 else (),
        fleet=SimpleNamespace(pools=lambda service: {KEY: tuple(ENGINES)}),
        links=SimpleNamespace(limits=limits),
        pauses=SimpleNamespace(keeps=lambda start, fill, now: True),
        stream_priorities=(0,),
        speeds=SimpleNamespace(of=lambda service: None),
    )
    node: Any = SimpleNamespace(
        identity=SimpleNamespace(vm="a"), timers=SimpleNamespace(now=lambda: 10.0)
    )
    made = PoolCoordinator(
        node,
        shared,
        lambda service: 20_000,
        lambda key: "a",
        lambda vm, message: sent.append(message),
        UNUSED,
    )
    made.is_active = True
    return made


def test_a_stream_counts_once_though_its_engine_refused_the_memory(coordinator, sent):
    """Each refusal of an engine counted as demand and was charged to the workspace again."""
    coordinator.receive(PlaceClass("k", KEY, 0, "w"), "b")
    coordinator.receive(request(), "b")
    assert sent[-1].outcome is PlaceOutcome.GRANTED
    order = coordinator._pool_by_key[KEY].placement._order

    def counted():
        return order._demand.above(1, 10.0), order._credit_by_priority

    before = counted()
    assert before[0] > 0
    charged: list[Any] = []
    order.serve = lambda key, stream: charged.append(key)
    coordinator.receive(request(sent[-1].engine), "b")
    assert sent[-1].outcome is PlaceOutcome.GRANTED
    assert counted() == before
    assert charged == []
    assert not order._item_by_key


def test_a_stream_that_waits_after_a_refusal_counts_no_more_when_its_request_is_repeated():
    """The repeated request of a waiting stream names no engine any more."""
    pool = PoolPlacement("hall", 0.0)
    pool.request(("b", "k"), replace(need(0, "w"), is_regrant=True), 0.0)
    pool.request(("b", "k"), need(0, "w"), 0.5)
    pool.grant(("b", "k"), ENGINES[0], None, 0.5)
    assert pool._order._demand.class_count == 0
    assert pool._order._excess(0, "w") == 0
    pool.request(("b", "other"), need(0, "w"), 0.6)
    assert pool._order._demand.class_count == 1
