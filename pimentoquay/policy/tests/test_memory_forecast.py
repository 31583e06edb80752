"""Simulate an engine whose memory is always in demand, with reservations and with forecasts."""

import math
import random

from pimentoquay.policy.memory_forecast import (
    GrowingRun,
    MemoryNeed,
    peak_tokens,
    remaining_tokens,
    round_up_to_blocks,
)

CAPACITY, MAX_OUTPUT, STEP_TOKENS = 91_912, 8320, 64
USABLE = int(CAPACITY * 0.85)


class Run:
    """A request with random lengths of prompt and answer, and an estimate of the answer."""

    def __init__(self, rng):
        self.prompt = max(500, min(11_000, int(4700 * math.exp(rng.gauss(0, 0.45)))))
        expected = 4000 * math.exp(rng.gauss(0, 0.3))
        self.expected = int(min(MAX_OUTPUT, expected * 1.11))
        self.length = max(
            STEP_TOKENS, min(MAX_OUTPUT, int(expected * math.exp(rng.gauss(0, 0.36))))
        )
        self.generated = 0

    @property
    def current(self):
        remaining_growth = remaining_tokens(self.expected, self.generated, MAX_OUTPUT)
        return GrowingRun(self.prompt + self.generated, remaining_growth)


def reserved_tokens(runs, next_run):
    return sum(max(run.prompt + run.expected, run.current.tokens) for run in [*runs, next_run])


def forecast_tokens(runs, next_run):
    return peak_tokens(run.current for run in [*runs, next_run])


def simulate(required_tokens, seed, steps=4000):
    """Return the number of completed answers, and of those preempted when memory ran out."""
    rng = random.Random(seed)
    runs: list[Run] = []
    ended = preempted = 0
    next_run = Run(rng)
    for _ in range(steps):
        for run in runs:
            run.generated += STEP_TOKENS
        ended += sum(run.generated >= run.length for run in runs)
        runs = [run for run in runs if run.generated < run.length]
        while sum(run.current.tokens for run in runs) > CAPACITY:
            runs.pop()
            preempted += 1
        while required_tokens(runs, next_run) <= USABLE:
            runs.append(next_run)
            next_run = Run(rng)
    return ended, preempted


def test_forecast_completes_more_answers_in_the_same_memory_with_few_preemptions():
    ended, preempted = map(
        sum, zip(*(simulate(forecast_tokens, seed) for seed in range(4)), strict=True)
    )
    ended_with_reservations, _ = map(
        sum, zip(*(simulate(reserved_tokens, seed) for seed in range(4)), strict=True)
    )
    assert ended > 1.1 * ended_with_reservations
    assert preempted < 0.02 * ended


def test_the_peak_comes_right_before_a_run_ends():
    runs = [GrowingRun(10, 5), GrowingRun(10, 20), GrowingRun(3, 0)]
    totals = [sum(run.tokens + step for run in runs if step <= run.remaining) for step in range(30)]
    assert peak_tokens(runs) == max(totals)
    assert peak_tokens([]) == 0


def test_answer_longer_than_expected_is_expected_to_keep_growing():
    assert remaining_tokens(1000, 400, MAX_OUTPUT) == 600
    assert remaining_tokens(1000, 2000, MAX_OUTPUT) == 300
    assert remaining_tokens(1000, MAX_OUTPUT, MAX_OUTPUT) == 0
    assert remaining_tokens(1000, MAX_OUTPUT - 10, MAX_OUTPUT) == 10


def test_growth_of_a_run_stops_at_its_expected_length():
    assert GrowingRun(100, 50).after(20) == GrowingRun(120, 30)
    assert GrowingRun(100, 50).after(80) == GrowingRun(150, 0)


def test_memory_is_counted_in_blocks():
    assert [round_up_to_blocks(tokens) for tokens in (1, 16, 17)] == [16, 16, 32]


def test_memory_is_held_for_half_of_the_remaining_output():
    need = MemoryNeed(prompt=1600, expected_output=3200, max_output=MAX_OUTPUT)
    assert (need.held, need.tokens) == (3200, 4800)
    resumed = MemoryNeed(prompt=1600, expected_output=3200, max_output=MAX_OUTPUT, begun=1600)
    assert (resumed.held, resumed.tokens) == (4000, 4800)
    assert resumed.run_at(1600) == GrowingRun(3200, 1600)
