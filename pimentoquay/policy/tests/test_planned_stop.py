"""Planned stops under seeded loads of requests on connections that stay open."""

import random
from collections import Counter

import pytest

from pimentoquay.policy.planned_stop import RunDurations, StopTimes, can_end_in_time

TIMES = StopTimes(diverted_at=3.0, ends_at=7.3)
EXCUSED_AFTER = TIMES.diverted_at
STREAM, CALL = "stream", "call"
PATIENCE = {STREAM: 14.0, CALL: 2.5}
"""Time that callers wait, in seconds."""


def run_seconds(kind, rng):
    if kind == CALL:
        return 0.03 + rng.expovariate(20.0)
    return 0.2 + rng.lognormvariate(0.0, 0.8)


def play(seed, decide=can_end_in_time, per_second=60.0):
    """Return what became of the requests that arrive during a stop, by kind.

    A request is passed on, or refused; passed on, it ends, is cut, or its caller's time is over.
    ``late cut`` counts those cut that came when callers were diverted already.
    """
    rng = random.Random(seed)
    durations = {STREAM: RunDurations(), CALL: RunDurations()}
    for kind, each in durations.items():
        for _ in range(64):
            each.record(run_seconds(kind, rng))
    outcomes: Counter[tuple[str, str]] = Counter()
    now = 0.0
    while now < TIMES.ends_at:
        now += rng.expovariate(per_second)
        kind = STREAM if rng.random() < 0.4 else CALL
        deadline, seconds = now + PATIENCE[kind], run_seconds(kind, rng)
        if not decide(TIMES, now, deadline, durations[kind].likely, True):
            outcomes[kind, "refused"] += 1
        elif min(now + seconds, deadline) <= TIMES.ends_at:
            outcomes[kind, "ended"] += 1
        else:
            outcomes[kind, "cut"] += 1
            outcomes[kind, "late cut"] += now > EXCUSED_AFTER
        if now <= EXCUSED_AFTER:
            outcomes[kind, "early"] += 1
    return outcomes


SEEDS = pytest.mark.parametrize("seed", range(8))


@SEEDS
def test_nothing_that_comes_after_callers_are_diverted_is_cut(seed):
    outcomes = play(seed)
    assert outcomes[STREAM, "late cut"] == outcomes[CALL, "late cut"] == 0


@SEEDS
def test_calls_are_served_until_their_callers_would_wait_beyond_the_end(seed):
    """They wait for 2.5 s: those of 4.8 s of 7.3 are taken."""
    outcomes = play(seed)
    taken = outcomes[CALL, "ended"]
    assert taken >= outcomes[CALL, "early"]
    assert outcomes[CALL, "cut"] == 0


@SEEDS
def test_streams_are_served_while_callers_still_arrive(seed):
    """They would all come again otherwise, to a VM that is as far away."""
    outcomes = play(seed)
    assert outcomes[STREAM, "ended"] + outcomes[STREAM, "cut"] == outcomes[STREAM, "early"]


@SEEDS
def test_without_the_decision_late_streams_are_cut(seed):
    outcomes = play(seed, decide=lambda *args: True)
    assert outcomes[STREAM, "late cut"] > 0


def test_streams_that_last_long_are_refused_before_callers_are_diverted():
    assert not can_end_in_time(TIMES, 2.0, 16.0, 6.0, True)
    assert can_end_in_time(TIMES, 1.0, 15.0, 6.0, True)


def test_a_stream_that_has_waited_goes_on_while_it_can_end():
    assert can_end_in_time(TIMES, 5.0, 13.0, 2.0, False)
    assert not can_end_in_time(TIMES, 5.5, 13.0, 2.0, False)
