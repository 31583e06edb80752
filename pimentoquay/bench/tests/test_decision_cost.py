"""Tests that the cost of a decision grows at most with the logarithm of the queue length."""

import math

from pimentoquay.bench.decision_cost import QUEUE_SIZES, decision_cost, queue_steps


def test_queue_steps_grow_with_the_logarithm():
    steps = {size: queue_steps(size) for size in QUEUE_SIZES}
    steps_per_log = {size: steps[size] / math.log2(size) for size in QUEUE_SIZES}
    assert steps_per_log[QUEUE_SIZES[-1]] <= 1.3 * steps_per_log[QUEUE_SIZES[0]], steps


def test_decisions_are_made_while_the_queue_stays():
    cost = decision_cost(50)
    assert cost.placement_us > 0 and cost.arrival_us > 0
