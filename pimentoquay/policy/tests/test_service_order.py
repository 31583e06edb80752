import random
import zlib
from dataclasses import replace

import pytest

from pimentoquay.policy.fleet import EngineEntry, EngineStage, RepeatRule, Route
from pimentoquay.policy.memory_forecast import GrowingRun, MemoryNeed
from pimentoquay.policy.pool_placement import PoolPlacement, StreamNeed
from pimentoquay.policy.service_order import (
    GUARANTEED_SHARE,
    MAX_PRIORITY,
    ServiceOrder,
    Supply,
    clamp_priority,
)
from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    QueuedTokens,
    StreamTimes,
    decide_wait,
)
from pimentoquay.policy.stream_queue import StreamQueue, WaitingStream, tokens_ahead
from pimentoquay.policy.stream_urgency import stream_priorities, urgency_of
from pimentoquay.policy.tests.priority_loads import (
    CAPACITY_PER_ENGINE,
    PoolLoad,
    arrivals,
    burst,
)
from pimentoquay.policy.workspaces import Workspace

LIMITS = AdmissionLimits()
ENGINES = [EngineEntry("e1", "llm", "10.0.0.1:1", "hall", False, 12, EngineStage.DECODE)]
USABLE = 20_000


def need(priority=0, workspace="", arrived_at=0.0, tokens=8_000, software="", patience=4.0):
    times = StreamTimes(arrived_at, arrived_at + 0.9, arrived_at + patience)
    return StreamNeed(
        GrowingRun(tokens, 0), tokens, tokens, times, True, software, priority, workspace
    )


def waiting(priority=0, workspace="", arrived_at=0.0, software="", late_in=0.9):
    times = StreamTimes(arrived_at, arrived_at + late_in, arrived_at + 4.0)
    memory = MemoryNeed(prompt=6_000, expected_output=1_000, max_output=2_000)
    return WaitingStream(memory, times, software, frozenset(), priority, workspace)


def granted_order(streams, now=0.0):
    """Return the order in which a coordinator serves streams, one at a time."""
    pool = PoolPlacement("hall", 0.0)
    for number, stream in enumerate(streams):
        pool.request(("a", str(number)), stream, now)
    order = []
    while (placed := pool.place_next(ENGINES, USABLE, now)) is not None:
        order.append(int(placed[0][1]))
        granted = pool.grant(placed[0], placed[1], None, now)
        pool.apply_report("a", {}, {}, granted.number, now)
    return order


def test_streams_are_served_by_priority_and_then_by_time_and_arrival():
    """Paid streams (priority 0) waited behind unpaid ones that had come before."""
    late = replace(need(0), times=StreamTimes(-3.0, -2.0, 2.0))
    assert granted_order([need(2), need(0, arrived_at=0.1), late, need(1)]) == [1, 2, 3, 0]


def test_a_stream_that_has_begun_comes_before_a_higher_priority():
    """What engines had done for it was lost when it was refused for a new one."""
    engines = [replace(ENGINES[0], software="v1")]
    pool = PoolPlacement("hall", 0.0)
    pool.request(("a", "new"), need(0), 0.0)
    pool.request(("a", "begun"), need(2, arrived_at=0.5, software="v1"), 0.5)
    placed = pool.place_next(engines, USABLE, 0.5)
    assert placed is not None and placed[0] == ("a", "begun")


def test_priorities_out_of_range_count_as_the_nearest():
    """A configuration's priority may be any integer; none of them may break the order."""
    assert clamp_priority(-(10**30)) == 0
    assert clamp_priority(10**30) == MAX_PRIORITY
    assert granted_order([need(10**30), need(-5), need(1)]) == [1, 2, 0]


def test_a_lower_priority_gets_its_share_while_higher_ones_could_use_all():
    """With a strict order alone, a burst of one priority left the others nothing."""
    pool = PoolPlacement("hall", 0.0)
    tokens = {0: 0, 2: 0}
    for number in range(400):
        now = number / 100
        for priority in tokens:
            key = "a", f"{priority} {number}"
            pool.request(key, need(priority, arrived_at=now, patience=9.0), now)
        placed = pool.place_next(ENGINES, USABLE, now)
        assert placed is not None
        key, engine = placed
        stream = pool.stream_of(key)
        tokens[stream.priority] += stream.tokens
        pool.apply_report("a", {}, {}, pool.grant(key, engine, None, now).number, now)
    share = tokens[2] / sum(tokens.values())
    assert share == pytest.approx(GUARANTEED_SHARE, abs=0.01)


def test_the_lowest_priority_is_refused_first_and_told_when_to_come_back():
    pool = PoolPlacement("hall", -1.0)
    pool.apply_report("b", {"e1": (GrowingRun(USABLE, 0),)}, {}, 0, 0.0)
    for number in range(3):
        pool.request(("a", f"low {number}"), need(2, patience=8.0), 0.0)
        assert pool.refuse_long_wait(("a", f"low {number}"), ENGINES, 0.0).should_wait
    for number in range(4):
        pool.request(("a", f"high {number}"), need(0, arrived_at=0.1, patience=8.0), 0.1)
        assert pool.refuse_long_wait(("a", f"high {number}"), ENGINES, 0.1).should_wait
    displaced = pool.displace(ENGINES, 0.1)
    assert displaced and {service_class for _, service_class, _ in displaced} == {(2, "")}
    for key, _, decision in displaced:
        assert not pool.is_waiting(key)
        assert LIMITS.min_retry_after <= decision.seconds <= LIMITS.max_retry_after
    assert all(pool.is_waiting(("a", f"high {number}")) for number in range(4))


def test_a_new_coordinator_places_lower_priorities_once_the_others_are_known():
    """Memory that had become free meanwhile went to those that asked first."""
    pool = PoolPlacement("hall", 0.0)
    pool.hold_lower(0, 0.5)
    pool.request(("a", "low"), need(2), 0.0)
    assert pool.place_next(ENGINES, USABLE, 0.1) is None
    pool.request(("a", "high"), need(0), 0.2)
    placed = pool.place_next(ENGINES, USABLE, 0.2)
    assert placed is not None and placed[0] == ("a", "high")
    pool.grant(*placed, None, 0.2)
    placed = pool.place_next(ENGINES, USABLE, 0.5)
    assert placed is not None and placed[0] == ("a", "low")


def test_a_new_coordinator_refuses_no_stream_that_it_holds():
    """Empty engines free no memory, so held streams were refused by a wait that nothing caused."""
    engines = [replace(ENGINES[0], id=f"e{number}") for number in range(8)]
    pool = PoolPlacement("hall", 0.0)
    pool.hold_lower(0, 0.5)
    pool.request(("a", "high"), need(0), 0.1)
    assert pool.place_next(engines, USABLE, 0.1) is not None
    pool.grant(("a", "high"), engines[0], None, 0.1)
    pool.request(("a", "low"), need(2, arrived_at=0.1), 0.1)
    assert pool.place_next(engines, USABLE, 0.1) is None
    assert pool.refuse_long_wait(("a", "low"), engines, 0.1).should_wait
    assert pool.displace(engines, 0.4) == []
    placed = pool.place_next(engines, USABLE, 0.5)
    assert placed is not None and placed[0] == ("a", "low")


def test_a_later_hold_does_not_shorten_an_earlier_one():
    """The hold of a stall ended that of the start, before the other streams were known."""
    pool = PoolPlacement("hall", 100.0)
    pool.hold_lower(0, 100.5)
    pool.hold_lower(0, 100.05)
    pool.request(("a", "low"), need(2, arrived_at=100.0), 100.0)
    assert pool.place_next(ENGINES, USABLE, 100.4) is None
    assert pool.place_next(ENGINES, USABLE, 100.5) is not None


def test_a_coordinator_displaces_nothing_before_all_gateways_have_reported():
    """What engines hold is not known until then, so memory seemed never to come free."""
    pool = PoolPlacement("hall", 0.0)
    for number in range(4):
        pool.request(("a", f"high {number}"), need(0), 0.1)
        pool.request(("a", f"low {number}"), need(2), 0.1)
    assert pool.displace(ENGINES, 0.6) == []
    assert pool.displace(ENGINES, 0.9)


@pytest.mark.parametrize("software", ["", "v1"])
def test_the_wait_of_a_priority_that_sent_nothing_lately_is_finite(software):
    """A stream may wait for longer than the time after which its class is forgotten."""
    order = ServiceOrder(LIMITS)
    order.record_arrival(need(5), 0.0)
    for workspace in ("a", "b"):
        order.record_arrival(need(0, workspace), 20.0)
    stream = need(5, software=software)
    waits = order.waits(stream, [(need(0, "a"), 1.0)], Supply(10_000.0), 20.0)
    assert 0 < waits.total < 100


ONE_PRIORITY = (
    (1, (), (205, 148, 1632567890)),
    (1, (("kill", 12.0),), (200, 161, 2049064299)),
    (2, (), (221, 110, 3838543504)),
    (2, (("kill", 12.0),), (217, 118, 4249359252)),
)
"""Seed, failure, and the streams served, refused, and a digest of both in order, as the code before
priorities (e9cb9c6) gave them."""


@pytest.mark.parametrize("priority", [0, 2])
@pytest.mark.parametrize(("seed", "faults", "before"), ONE_PRIORITY)
def test_streams_of_one_priority_are_served_and_refused_as_before(seed, faults, before, priority):
    capacity = 4 * CAPACITY_PER_ENGINE
    requests = arrivals(seed, burst(0.8 * capacity, 2.2 * capacity), 20, 0)
    load = PoolLoad(requests, 4, faults, told_priority=priority)
    outcome = load.run()[0, ""]
    order = [(each[0], each[1].first_at, *each[2:]) for each in load.order]
    digest = zlib.crc32(repr(order).encode())
    assert (outcome.served, outcome.refused, digest) == before


@pytest.mark.parametrize("priority", [0, 3, 10**12, -4])
def test_a_gateway_of_a_full_mesh_decides_on_one_priority_as_before(priority):
    rng = random.Random(priority)
    queue = StreamQueue(LIMITS)
    streams: list[WaitingStream] = []
    engines = [replace(ENGINES[0], id=f"e{n}", software=f"v{n % 2}") for n in range(4)]
    for step in range(300):
        now = step * 0.05
        software = rng.choice(("", "", "", "v0"))
        stream = waiting(priority, "", now - rng.random(), software, rng.uniform(0.0, 2.0))
        queue.record_arrival(stream, now)
        peers = QueuedTokens(rng.choice((0, 9_000)), rng.choice((0, 6_000)))

        def rank(each, now=now):
            return each.times.urgency(now, LIMITS), each.times.arrived_at

        before = [each for each in streams if rank(each) < rank(stream)]
        assert queue.ahead_of(stream, now) == before
        rivals = [each for each in before if each.software in ("", software)]
        in_time = rank(stream)[0] == 0
        assert queue.is_next(stream, peers, now) == (
            not rivals and (in_time or not peers.urgent_tokens)
        )
        share = rng.choice((0.5, 1.0))
        own = tokens_ahead(streams, software, engines, share, now, LIMITS)
        urgent = int(share * peers.urgent_tokens) if software else peers.urgent_tokens
        everything = urgent if software else peers.tokens
        rate = rng.uniform(1_000, 90_000)
        assert queue.decide(stream, engines, share, peers, Supply(rate, 7), now) == decide_wait(
            stream.tokens,
            own.urgent_tokens + urgent,
            own.tokens + everything,
            rate,
            stream.times,
            now,
            LIMITS,
        )
        assert not queue.may_be_displaced(stream, now)
        queue.add(stream)
        streams.append(stream)
        if len(streams) > 30:
            gone = streams.pop(rng.randrange(30))
            if rng.random() < 0.5:
                queue.record_served(gone)
            queue.remove(gone)


def test_in_a_full_mesh_lower_priorities_yield_to_those_of_other_gateways():
    """Gateways don't tell each other priorities, so they tell only what waits of the highest."""
    here, there, now = StreamQueue(LIMITS), StreamQueue(LIMITS), 0.1
    high, low = waiting(0), waiting(2)
    for queue in (here, there):
        queue.record_arrival(high, now)
        queue.record_arrival(low, now)
    there.add(low)
    assert there.queued(now) == QueuedTokens(low.tokens, 0)
    assert here.is_next(high, there.queued(now), now)
    there.add(high)
    assert there.queued(now).urgent_tokens == high.tokens
    assert not here.is_next(low, there.queued(now), now)
    assert here.is_next(high, there.queued(now), now)
    assert there.ahead_of(low, now) == [high]
    assert there.may_be_displaced(low, now) and not there.may_be_displaced(high, now)


@pytest.mark.parametrize(("priorities", "is_urgent"), [((0, 2), False), ((2,), True), ((), True)])
def test_a_gateway_that_saw_only_a_lower_priority_does_not_tell_it_as_urgent(priorities, is_urgent):
    """Late streams of the highest priority at other gateways yielded to it."""
    queue, low = StreamQueue(LIMITS, lambda: priorities), waiting(2)
    queue.record_arrival(low, 0.1)
    queue.add(low)
    assert queue.queued(0.1) == QueuedTokens(low.tokens, low.tokens if is_urgent else 0)


def test_in_a_full_mesh_a_lower_priority_keeps_its_share():
    """It yielded to all that was urgent at other gateways, and something always was."""
    queue, now = StreamQueue(LIMITS), 0.0
    low, served = None, {0: 0, 2: 0}
    for number in range(500):
        now = number / 100
        high = waiting(0, arrived_at=now)
        if low is None:
            low = waiting(2, arrived_at=now)
            queue.record_arrival(low, now)
            queue.add(low)
        queue.record_arrival(high, now)
        stream = low if queue.is_next(low, QueuedTokens(9_000, 9_000), now) else high
        queue.record_served(stream)
        served[stream.priority] += stream.tokens
        if stream is low:
            queue.remove(low)
            low = None
    share = served[2] / sum(served.values())
    assert share == pytest.approx(GUARANTEED_SHARE, abs=0.015)


def route(rank, repeat=RepeatRule.STREAM):
    return Route("r", "h", "/", repeat, 14.0, 1.0, (), rank=rank)


def test_engines_are_told_no_urgency_where_all_streams_have_one_priority():
    """Engines count a stream without one as of urgency 5, as before priorities."""
    for rank in (0, 2, 10**9):
        priorities = stream_priorities([route(rank), route(rank), route(1, RepeatRule.ONCE)])
        assert urgency_of(rank, priorities, False) is urgency_of(rank, priorities, True) is None


def test_engines_preempt_new_streams_first_and_then_by_priority():
    routes = [route(0), route(2), route(7)]
    priorities = stream_priorities(routes, [Workspace("a", 1), Workspace("b"), Workspace("c", 99)])
    assert priorities == (0, 1, 2, 7, 9)
    new = [urgency_of(each, priorities, False) or 0 for each in priorities]
    begun = [urgency_of(each, priorities, True) or 0 for each in priorities]
    assert new == sorted(set(new)) and begun == sorted(set(begun))
    assert max(begun) < min(new) == 5
    many = tuple(range(10))
    assert {urgency_of(each, many, True) for each in many} == set(range(5))
    assert {urgency_of(each, many, False) for each in many} == set(range(5, 10))


def test_a_long_queue_of_several_priorities_is_looked_through_only_once(monkeypatch):
    """All waiting streams ask at each change; with 150, that kept a gateway busy for 0.2 s."""
    queue, streams = StreamQueue(LIMITS), []
    for number in range(150):
        stream = waiting(number % 2, "", number * 0.001)
        queue.record_arrival(stream, 0.2)
        queue.add(stream)
        streams.append(stream)
    ranked, rank = [], ServiceOrder.rank

    def count(self, stream, now, is_promoted=False):
        ranked.append(stream)
        return rank(self, stream, now, is_promoted)

    monkeypatch.setattr(ServiceOrder, "rank", count)
    first = [each for each in streams if queue.is_next(each, QueuedTokens(0, 0), 0.2)]
    assert first == [streams[0]]
    assert len(ranked) < 10 * len(streams)
