import math
import random

import pytest

from pimentoquay.policy.output_estimate import OutputLengthEstimator

MAX_TOKENS = 8320
DEVIATION = 0.36


def answers(count, slope=0.46, deviation=DEVIATION, seed=1):
    """Generate pairs of a caller's estimate and an answer's length; estimates vary far more."""
    rng = random.Random(seed)
    for _ in range(count):
        hint = min(20_000, int(4000 * math.exp(rng.gauss(0, 0.68))))
        length = 4000 * (hint / 4000) ** slope * math.exp(rng.gauss(0, deviation))
        yield hint, max(64, min(MAX_TOKENS, int(length)))


def mean_error(estimate, cases):
    return sum(abs(math.log(estimate(hint) / length)) for hint, length in cases) / len(cases)


def test_predictions_are_better_than_the_callers_estimates():
    """Guards against reserving memory for the caller's estimate as it is.

    Half of the streams with low estimates then outgrew their memory and were preempted.
    """
    cases = list(answers(400))
    estimate = OutputLengthEstimator()
    error_before_fit = mean_error(lambda hint: estimate.tokens(hint, MAX_TOKENS), cases)
    min_error = DEVIATION * math.sqrt(2 / math.pi)
    assert (
        error_before_fit < 1.1 * min_error < mean_error(lambda hint: min(hint, MAX_TOKENS), cases)
    )
    outgrown = [
        length > estimate.tokens(hint, MAX_TOKENS, 0.3) for hint, length in cases if hint < 2000
    ]
    assert sum(outgrown) < 0.5 * len(outgrown)


def test_fit_adapts_to_the_answers_of_other_callers():
    cases = list(answers(400, slope=0.95, deviation=0.1, seed=2))
    estimate = OutputLengthEstimator()
    error_before_fit = mean_error(lambda hint: estimate.tokens(hint, MAX_TOKENS), cases)
    for hint, length in cases:
        estimate.record(hint, MAX_TOKENS, length)
    assert (
        mean_error(lambda hint: estimate.tokens(hint, MAX_TOKENS), cases) < 0.5 * error_before_fit
    )


def test_predictions_with_more_deviations_are_exceeded_by_fewer_answers():
    estimate = OutputLengthEstimator()
    cases = list(answers(400))
    for hint, length in cases:
        estimate.record(hint, MAX_TOKENS, length)
    shares = [
        sum(length > estimate.tokens(hint, MAX_TOKENS, deviations) for hint, length in cases)
        / len(cases)
        for deviations in (0.0, 1.0)
    ]
    assert 0.4 < shares[0] < 0.6 and 0.08 < shares[1] < 0.25


def test_prediction_stays_within_the_maximum_length():
    estimate = OutputLengthEstimator()
    assert estimate.tokens(10**9, MAX_TOKENS) == MAX_TOKENS
    assert estimate.tokens(1, 1) == 1
    assert estimate.tokens(0, MAX_TOKENS) == MAX_TOKENS // 2
    estimate.record(0, MAX_TOKENS, 5)
    assert estimate.tokens(0, MAX_TOKENS) == MAX_TOKENS // 2


@pytest.mark.parametrize("hint", [0, 1, 4000, 10**15])
@pytest.mark.parametrize("max_tokens", [0, 1])
def test_an_answer_of_at_most_no_token_has_a_prediction(max_tokens, hint):
    """The logarithm of the hint's ratio to the maximum divided by zero."""
    assert OutputLengthEstimator().tokens(hint, max_tokens, deviations=1.0) == 1
