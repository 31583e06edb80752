"""Simulate a burst of twice the capacity to compare rules for admission and order of streams."""

import random
from dataclasses import dataclass

from pimentoquay.policy.stream_admission import (
    AdmissionLimits,
    ReleaseRate,
    StreamTimes,
    StreamUrgency,
    decide_wait,
    first_request_at,
    patience_seconds,
)

LIMITS = AdmissionLimits()
TARGET_SECONDS, PATIENCE_SECONDS = 0.9, 3.6
CAPACITY, TOKENS, HOLD_SECONDS = 360_000, 9_600, 3.2
IN_TIME_VALUE, LATE_VALUE = 31.0, 6.3


@dataclass(eq=False)
class Stream:
    """A simulated stream; its value is higher if it has begun in time."""

    times: StreamTimes
    value: float = 0.0


def simulate(choose, admits, seed=1, step=0.01, end=30.0):
    """Return the total value of all streams as a share of the value if all had begun in time.

    A stream that is never served has no value, and one that begins late has ``LATE_VALUE``. Streams
    arrive at a rate of 6.5 per second, and of 15 per second in two bursts, from 5 s to 10 s and
    from 16 s to 20 s.
    """
    rng = random.Random(seed)
    running: list[tuple[float, Stream]] = []
    waiting: list[Stream] = []
    streams, held = [], 0
    now, next_at = 0.0, 0.0
    while now < end:
        running = [each for each in running if each[0] > now]
        held = len(running) * TOKENS
        while next_at <= now:
            stream = Stream(StreamTimes(now, now + TARGET_SECONDS, now + PATIENCE_SECONDS))
            streams.append(stream)
            if admits(stream, waiting, held, now):
                waiting.append(stream)
            is_burst = 5 <= now < 10 or 16 <= now < 20
            next_at += rng.expovariate(15.0 if is_burst else 6.5)
        waiting = [each for each in waiting if now + LIMITS.work_seconds < each.times.leaves_at]
        while waiting and held + TOKENS <= CAPACITY:
            stream = choose(waiting, now)
            waiting.remove(stream)
            begins = now + LIMITS.work_seconds
            stream.value = IN_TIME_VALUE if begins <= stream.times.late_at else LATE_VALUE
            running.append((now + HOLD_SECONDS, stream))
            held += TOKENS
        now += step
    return sum(stream.value for stream in streams) / (len(streams) * IN_TIME_VALUE)


def admit_by_decision(stream, waiting, held, now):
    urgent = sum(
        TOKENS for each in waiting if each.times.urgency(now, LIMITS) is StreamUrgency.IN_TIME
    )
    rate = ReleaseRate(HOLD_SECONDS).tokens_per_second(held)
    tokens = 0 if held + TOKENS <= CAPACITY else TOKENS
    return decide_wait(
        tokens, urgent, len(waiting) * TOKENS, rate, stream.times, now, LIMITS
    ).should_wait


def choose_by_urgency(waiting, now):
    return min(waiting, key=lambda each: (each.times.urgency(now, LIMITS), each.times.arrived_at))


def choose_by_arrival(waiting, now):
    return min(waiting, key=lambda each: each.times.arrived_at)


def admit_in_time_only(stream, waiting, held, now):
    """Admit only streams that can begin in time."""
    rate = ReleaseRate(HOLD_SECONDS).tokens_per_second(held)
    has_memory = held + TOKENS <= CAPACITY
    wait = 0.0 if has_memory else (len(waiting) + 1) * TOKENS / max(1.0, rate)
    return now + wait + LIMITS.work_seconds <= stream.times.late_at


def mean_value(choose, admits):
    return sum(simulate(choose, admits, seed) for seed in range(5)) / 5


def test_value_of_a_burst_is_higher_than_with_simpler_rules():
    ours = mean_value(choose_by_urgency, admit_by_decision)
    assert ours > mean_value(choose_by_arrival, admit_in_time_only)
    assert ours > mean_value(choose_by_arrival, lambda *_: True) + 0.1


def test_stream_waits_while_it_can_be_served_and_is_refused_with_a_retry_time_otherwise():
    rate = ReleaseRate(3.0).tokens_per_second(300_000)
    times = StreamTimes(0.0, 0.9, 3.6)
    assert decide_wait(10_000, 0, 0, rate, times, 0.0, LIMITS).should_wait
    assert decide_wait(10_000, 150_000, 150_000, rate, times, 0.0, LIMITS).should_wait
    refused = decide_wait(10_000, 400_000, 400_000, rate, times, 0.0, LIMITS)
    assert not refused.should_wait and 3.6 < refused.seconds <= LIMITS.max_retry_after


def test_stream_that_cannot_begin_in_time_is_late():
    times = StreamTimes(0.0, 0.9, 3.6)
    assert times.urgency(0.5, LIMITS) is StreamUrgency.IN_TIME
    assert times.urgency(0.7, LIMITS) is StreamUrgency.LATE


def test_first_request_time_is_estimated_from_the_remaining_wait():
    assert first_request_at(10.0, 12.5, 14.0) == 8.5
    assert first_request_at(10.0, 14.0, 14.0) == 10.0
    assert first_request_at(10.0, None, 14.0) == 10.0


def test_callers_wait_for_the_longest_of_three_times():
    assert patience_seconds(0.9, 0.3) == 3.6
    assert patience_seconds(0.1, 0.1) == 2.0
    assert patience_seconds(0.1, 1.0) == 8.0
