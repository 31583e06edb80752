import math
import random

from pimentoquay.policy.output_estimate import OutputEstimate

MOST = 8320
DEVIATION = 0.36


def answers(count, slope=0.46, deviation=DEVIATION, seed=1):
    """Callers' estimates and lengths as on a day of the platform: much wider estimates."""
    draw = random.Random(seed)
    for _ in range(count):
        hint = min(20_000, int(4000 * math.exp(draw.gauss(0, 0.68))))
        length = 4000 * (hint / 4000) ** slope * math.exp(draw.gauss(0, deviation))
        yield hint, max(64, min(MOST, int(length)))


def mean_error(estimate, cases):
    return sum(abs(math.log(estimate(hint) / length)) for hint, length in cases) / len(cases)


def test_estimates_are_drawn_to_the_middle_and_beat_the_callers_own():
    """Before the change the caller's estimate was reserved as it was, and half of the streams whose
    callers hoped for short answers outgrew their memory and were preempted."""
    cases = list(answers(400))
    estimate = OutputEstimate()
    untaught = mean_error(lambda hint: estimate.tokens(hint, MOST), cases)
    least = DEVIATION * math.sqrt(2 / math.pi)
    assert untaught < 1.1 * least < mean_error(lambda hint: min(hint, MOST), cases)
    outgrown = [length > estimate.tokens(hint, MOST, 0.3) for hint, length in cases if hint < 2000]
    assert sum(outgrown) < 0.5 * len(outgrown)


def test_a_gateway_learns_other_habits_from_the_answers_it_sees():
    cases = list(answers(400, slope=0.95, deviation=0.1, seed=2))
    estimate = OutputEstimate()
    before = mean_error(lambda hint: estimate.tokens(hint, MOST), cases)
    for hint, length in cases:
        estimate.note(hint, MOST, length)
    assert mean_error(lambda hint: estimate.tokens(hint, MOST), cases) < 0.5 * before


def test_more_spreads_are_exceeded_by_fewer_answers():
    estimate = OutputEstimate()
    cases = list(answers(400))
    for hint, length in cases:
        estimate.note(hint, MOST, length)
    shares = [
        sum(length > estimate.tokens(hint, MOST, deviations) for hint, length in cases) / len(cases)
        for deviations in (0.0, 1.0)
    ]
    assert 0.4 < shares[0] < 0.6 and 0.08 < shares[1] < 0.25


def test_an_estimate_stays_within_what_the_request_allows():
    estimate = OutputEstimate()
    assert estimate.tokens(10**9, MOST) == MOST
    assert estimate.tokens(1, 1) == 1
    assert estimate.tokens(0, MOST) == MOST // 2
    estimate.note(0, MOST, 5)
    assert estimate.tokens(0, MOST) == MOST // 2
