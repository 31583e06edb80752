"""Streams that callers take up, beside more new ones than memory allows; in virtual time."""

from dataclasses import dataclass, field

import pytest

from pimentoquay.policy.stream_admission import AdmissionLimits, StreamTimes, stream_times
from pimentoquay.policy.tests.virtual_vms import EventQueue

PLACES, HOLD_SECONDS, TARGET, GAP, TIMEOUT = 40, 3.0, 0.9, 0.3, 14.0
LIMITS = AdmissionLimits()


@dataclass(eq=False)
class Waiter:
    is_continued: bool
    times: StreamTimes

    def rank(self, now):
        return self.times.urgency(now, LIMITS), self.times.arrived_at


@dataclass
class Overload(EventQueue):
    """Twice as many streams as there are places for, one in six of them taken up again."""

    seed: int
    seconds: float = 60.0
    waiting: list = field(default_factory=list)
    free: int = PLACES

    def __post_init__(self):
        super().__init__(self.seed)
        self.asked = {False: 0, True: 0}
        self.served = {False: 0, True: 0}

    def run(self):
        now = 0.0
        while now < self.seconds:
            now += self.random.expovariate(2 * PLACES / HOLD_SECONDS)
            self.at(now, self.arrive, self.random.random() < 1 / 6)
        self.run_all()
        return {kind: self.served[kind] / self.asked[kind] for kind in self.asked}

    def arrive(self, is_continued):
        self.asked[is_continued] += 1
        earlier = self.random.uniform(1.0, 6.0) if is_continued else 0.0
        times = stream_times(
            self.now,
            self.now - earlier,
            is_continued,
            TARGET,
            GAP,
            self.now + TIMEOUT - earlier,
        )
        waiter = Waiter(is_continued, times)
        self.waiting.append(waiter)
        self.at(times.leaves_at - LIMITS.work_seconds, self.leave, waiter)
        self.place()

    def leave(self, waiter):
        if waiter in self.waiting:
            self.waiting.remove(waiter)

    def place(self):
        while self.free and self.waiting:
            waiter = min(self.waiting, key=lambda each: each.rank(self.now))
            self.waiting.remove(waiter)
            self.served[waiter.is_continued] += 1
            self.free -= 1
            self.at(self.now + self.random.uniform(0.5, 1.5) * HOLD_SECONDS, self.end)

    def end(self):
        self.free += 1
        self.place()


@pytest.mark.parametrize("seed", range(1, 9))
def test_streams_that_are_taken_up_go_on_as_often_as_new_ones_begin(seed):
    load = Overload(seed)
    share = load.run()
    assert share[True] >= share[False]
    places_in_all = PLACES / HOLD_SECONDS * load.seconds
    assert load.served[False] >= places_in_all - load.asked[True]
