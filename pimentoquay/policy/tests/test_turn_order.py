"""Connections that send tiny items without end, beside sound ones, in virtual time."""

import random

import pytest

from pimentoquay.kernel.turns import RoundRobin
from pimentoquay.policy.turn_order import OLDEST_SHARE, LeastServedFirst

TURN_SECONDS = 0.001
NEEDED_TURNS = 3
"""Number of turns that a sound connection needs each time."""


class Load:
    """Endless connections always have work; 20 sound ones have some now and then."""

    def __init__(self, seed, endless, make_order):
        self.now = 0.0
        self.order = make_order(lambda: self.now)
        self.random = random.Random(seed)
        self.due_by_key = {f"sound-{n}": self.random.uniform(0.0, 0.5) for n in range(20)}
        self.left_by_key = {}
        self.begun_by_key = {}
        self.waits = []
        self.turns_by_key = {}
        for number in range(endless):
            self.order.add(f"endless-{number}")

    def play(self, seconds):
        while self.now < seconds:
            self._begin_sound()
            key = self.order.take()
            self.now += TURN_SECONDS
            if key is None:
                continue
            self.turns_by_key[key] = self.turns_by_key.get(key, 0) + 1
            if key.startswith("sound"):
                self._finish_turn(key)
            else:
                self.order.add(key)

    def _begin_sound(self):
        for key, due in self.due_by_key.items():
            if due <= self.now and key not in self.left_by_key:
                self.left_by_key[key] = NEEDED_TURNS
                self.begun_by_key[key] = self.now
                self.order.add(key)

    def _finish_turn(self, key):
        self.left_by_key[key] -= 1
        if self.left_by_key[key]:
            self.order.add(key)
            return
        del self.left_by_key[key]
        self.waits.append(self.now - self.begun_by_key[key])
        self.due_by_key[key] = self.now + self.random.uniform(0.3, 0.7)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("endless", [6, 60, 300])
def test_sound_connections_wait_for_few_turns_beside_endless_ones(seed, endless):
    load = Load(seed, endless, LeastServedFirst)
    load.play(20.0)
    warm = load.waits[20:]
    assert len(warm) > 500
    # Sound ones wait for each other, for one turn that has begun and for one in OLDEST_SHARE.
    turns = NEEDED_TURNS * 20 + 1
    assert max(warm) <= TURN_SECONDS * (turns + turns / (OLDEST_SHARE - 1) + 1)


def test_one_turn_after_the_other_keeps_sound_connections_waiting():
    load = Load(0, 300, lambda now: RoundRobin())
    load.play(20.0)
    assert sorted(load.waits)[len(load.waits) // 2] > 0.5


def test_endless_connections_share_the_turns_that_are_left():
    load = Load(0, 6, LeastServedFirst)
    load.play(20.0)
    counts = [count for key, count in load.turns_by_key.items() if key.startswith("endless")]
    assert len(counts) == 6
    assert max(counts) - min(counts) <= 2


def test_a_connection_that_has_had_many_turns_does_not_wait_for_new_ones_for_long():
    now = 0.0
    order = LeastServedFirst(lambda: now)
    order.add("old")
    for _ in range(5000):
        assert order.take() == "old"
        order.add("old")
    order.add("new")
    taken = []
    for _ in range(200):
        key = order.take()
        taken.append(key)
        order.add(key)
    assert taken.count("old") > 50


def test_a_connection_with_many_turns_goes_on_beside_ever_new_connections():
    """It got no turn at all, for as long as a new connection came for each turn."""
    now = 0.0
    order = LeastServedFirst(lambda: now)
    for _ in range(200):
        order.add("old")
        order.take()
    order.add("old")
    taken = []
    for number in range(5000):
        now += 0.001
        order.add(number)
        taken.append(order.take())
    assert "old" in taken[: 2 * OLDEST_SHARE]


def test_connections_that_have_had_no_turn_for_long_are_forgotten():
    now = 0.0
    order = LeastServedFirst(lambda: now)
    for number in range(5000):
        now += 0.01
        order.add(number)
        order.take()
    assert len(order._served_by_key) < 500


def test_a_connection_that_has_ended_gets_no_turn():
    order = LeastServedFirst(lambda: 0.0)
    order.add("a")
    order.add("b")
    order.discard("a")
    assert order.take() == "b"
    assert order.take() is None
