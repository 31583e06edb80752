"""Replays of an engine whose memory is always wanted, with both ways to give it out."""

import math
import random

from pimentoquay.policy.memory_forecast import (
    GrowingRun,
    MemoryNeed,
    peak_tokens,
    remaining_tokens,
    round_up_to_blocks,
)

CAPACITY, MOST, STEP = 91_912, 8320, 64
USABLE = int(CAPACITY * 0.85)


class Run:
    def __init__(self, draw):
        self.prompt = max(500, min(11_000, int(4700 * math.exp(draw.gauss(0, 0.45)))))
        expected = 4000 * math.exp(draw.gauss(0, 0.3))
        self.expected = int(min(MOST, expected * 1.11))
        self.length = max(STEP, min(MOST, int(expected * math.exp(draw.gauss(0, 0.36)))))
        self.generated = 0

    @property
    def now(self):
        rest = remaining_tokens(self.expected, self.generated, MOST)
        return GrowingRun(self.prompt + self.generated, rest)


def reserved(runs, new):
    return sum(max(run.prompt + run.expected, run.now.tokens) for run in [*runs, new])


def forecast(runs, new):
    return peak_tokens(run.now for run in [*runs, new])


def replay(need, seed, steps=4000):
    """Return the answers that ended, and those that were preempted when memory ran out."""
    draw = random.Random(seed)
    runs: list[Run] = []
    ended = preempted = 0
    new = Run(draw)
    for _ in range(steps):
        for run in runs:
            run.generated += STEP
        ended += sum(run.generated >= run.length for run in runs)
        runs = [run for run in runs if run.generated < run.length]
        while sum(run.now.tokens for run in runs) > CAPACITY:
            runs.pop()
            preempted += 1
        while need(runs, new) <= USABLE:
            runs.append(new)
            new = Run(draw)
    return ended, preempted


def test_the_forecast_serves_more_from_the_same_memory_and_seldom_runs_out():
    ended, preempted = map(sum, zip(*(replay(forecast, seed) for seed in range(4)), strict=True))
    before, _ = map(sum, zip(*(replay(reserved, seed) for seed in range(4)), strict=True))
    assert ended > 1.1 * before
    assert preempted < 0.02 * ended


def test_the_peak_comes_right_before_a_run_ends():
    runs = [GrowingRun(10, 5), GrowingRun(10, 20), GrowingRun(3, 0)]
    totals = [sum(run.tokens + step for run in runs if step <= run.remaining) for step in range(30)]
    assert peak_tokens(runs) == max(totals)
    assert peak_tokens([]) == 0


def test_an_answer_longer_than_expected_is_taken_to_grow_on():
    assert remaining_tokens(1000, 400, MOST) == 600
    assert remaining_tokens(1000, 2000, MOST) == 300
    assert remaining_tokens(1000, MOST, MOST) == 0
    assert remaining_tokens(1000, MOST - 10, MOST) == 10


def test_a_run_seen_a_while_ago_has_grown_since():
    assert GrowingRun(100, 50).after(20) == GrowingRun(120, 30)
    assert GrowingRun(100, 50).after(80) == GrowingRun(150, 0)


def test_memory_is_counted_in_blocks():
    assert [round_up_to_blocks(tokens) for tokens in (1, 16, 17)] == [16, 16, 32]


def test_half_of_what_an_answer_still_needs_is_held_from_the_start():
    need = MemoryNeed(prompt=1600, expected_output=3200, max_output=MOST)
    assert (need.held, need.tokens) == (3200, 4800)
    goes_on = MemoryNeed(prompt=1600, expected_output=3200, max_output=MOST, begun=1600)
    assert (goes_on.held, goes_on.tokens) == (4000, 4800)
    assert goes_on.run_at(1600) == GrowingRun(3200, 1600)
