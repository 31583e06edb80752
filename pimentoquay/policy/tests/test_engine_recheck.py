"""Releases of engines beside requests that wait between the choice of an engine and the send."""

import random
from dataclasses import replace

import pytest

from pimentoquay.policy.engine_notices import EngineNotices
from pimentoquay.policy.engine_recheck import takes_work
from pimentoquay.policy.fleet import EngineEntry

DRAIN_SECONDS = 2.0
SERVED_SECONDS = 2.8
"""Time from the report of an engine that leaves until it exits."""

HEARD_SECONDS = 1.0
"""Time from the report until a VM has read it; the answers of the engine say it at once."""


def engine(number, incarnation=1):
    return EngineEntry(
        f"dec-{number}", "llm", f"10.0.0.{number}:80", "hall", False, 64, incarnation=incarnation
    )


def replay(seed, looks_again):
    """Replace 30 engines one after the other; return how many streams came too late.

    Each second 20 streams choose among the engines that take work, and wait for up to 2 s.
    """
    chance, notices = random.Random(seed), EngineNotices()
    left_at = {number: 5.0 + 3.0 * number for number in range(30)}
    late = 0

    def listed(number, now):
        left = left_at.get(number)
        if left is None or now < left + HEARD_SECONDS:
            return engine(number)
        return replace(engine(number), is_draining=True) if now < left + SERVED_SECONDS else None

    for step in range(20 * 100):
        now = step / 20
        chosen = [
            number
            for number in range(34)
            if takes_work(engine(number), listed(number, now), notices)
        ]
        number = chance.choice(chosen)
        sent_at = now + chance.uniform(0.0, 2.0)
        is_sent = not looks_again or takes_work(engine(number), listed(number, sent_at), notices)
        late += is_sent and sent_at > left_at.get(number, 1e9) + DRAIN_SECONDS
    return late


@pytest.mark.parametrize("seed", range(4))
def test_no_stream_that_has_waited_reaches_an_engine_that_left_long_ago(seed):
    """Guards against a choice that is made before a wait and not looked at again after it."""
    assert replay(seed, looks_again=False) > 0
    assert replay(seed, looks_again=True) == 0


def test_another_start_under_the_same_id_is_another_engine():
    notices = EngineNotices()
    assert not takes_work(engine(1), engine(1, incarnation=2), notices)


def test_an_engine_that_says_that_it_leaves_takes_no_work_while_its_entry_is_older():
    notices = EngineNotices()
    notices.record_leaving([engine(1).start], 1.0)
    assert not takes_work(engine(1), engine(1), notices)
    assert takes_work(engine(2), engine(2), notices)
