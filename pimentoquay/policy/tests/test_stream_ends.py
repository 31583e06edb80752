"""Streams that break off at any place and go on beside an engine that sends empty streams."""

import random
from dataclasses import dataclass

import pytest

from pimentoquay.policy.stream_end import is_end_confirmed

ENGINES = ("dec-1", "dec-2", "dec-3", "dec-4", "dec-5", "dec-6")
FAULTY = "dec-3"
MAX_RUNS, TRIES = 2, 3
MAX_EVENTS = 12


@dataclass
class Outcome:
    """How many streams ended as whole, and how many of these lack events."""

    whole: int = 0
    short: int = 0


def run_at(engine, sent, events, rng, breaks):
    """Return the events that a run adds, and whether it ended in order."""
    if engine == FAULTY:
        return 0, True
    left = events - sent
    if rng.random() < breaks:
        return rng.randint(0, left), False
    return left, True


def play_attempt(sent, events, rng, breaks, engines=ENGINES):
    """Return the events that a caller has after one attempt, and whether it ended as whole."""
    empty: set[str] = set()
    for _ in range(MAX_RUNS):
        engine = rng.choice([each for each in engines if each not in empty])
        added, has_ended = run_at(engine, sent, events, rng, breaks)
        sent += added
        if has_ended and not added:
            empty.add(engine)
            has_ended = is_end_confirmed(sent, MAX_EVENTS, empty)
        if has_ended:
            return sent, True
    return sent, False


def play(seed, breaks, streams=1000):
    rng = random.Random(seed)
    outcome = Outcome()
    for _ in range(streams):
        sent, is_whole, events = 0, False, rng.randint(1, MAX_EVENTS)
        for _ in range(TRIES):
            if not is_whole:
                sent, is_whole = play_attempt(sent, events, rng, breaks)
        outcome.whole += is_whole
        outcome.short += is_whole and sent < events
    return outcome


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("breaks", [0.05, 0.3])
def test_no_stream_ends_as_whole_at_the_empty_stream_of_one_faulty_engine(seed, breaks):
    """One in six of those that broke off did, at the engine that took them up."""
    assert play(seed, breaks).short == 0


def test_a_stream_of_which_only_the_end_was_lost_ends_as_whole_at_sound_engines():
    """Its caller has all events, and would ask for more until its time is over."""
    rng = random.Random(1)
    sound = play_attempt(5, 5, rng, 0.0, engines=[each for each in ENGINES if each != FAULTY])
    assert sound == (5, True)


def test_a_stream_that_has_not_begun_has_no_end():
    assert not is_end_confirmed(0, 0, {"dec-1", "dec-2"})
