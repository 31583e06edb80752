"""Wake-ups of the scheduler: no placement is missed although it only acts on changes."""

import random

import pytest

from pimentoquay.backends.base import EngineRole
from pimentoquay.kernel import ResultCode
from pimentoquay.messages.placement import Grant, Refusal, Release, Stage, StageReport
from pimentoquay.scheduler.tests.test_shard import ENTRY, SECTION, messages, request, shard_of

STEP_SECONDS = 0.001
RUN_SECONDS = 12.0
ROLES = {
    "p": EngineRole.PREFILL,
    "q": EngineRole.PREFILL,
    "d": EngineRole.DECODE,
    "e": EngineRole.DECODE,
}


class RandomTraffic:
    """Random requests to one scheduler, with stage durations close to its estimates.

    After each simulated millisecond it checks whether a placement was possible but not made.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.scheduler = shard_of(ROLES, slots=3)
        self.now = 1.0
        self.due = []
        self.count = 0
        self.granted = 0
        self.missed_since = None
        self.longest_missed = 0.0

    def step(self):
        self.now += STEP_SECONDS
        if self.rng.random() < 0.02:
            self.count += 1
            prompt = self.rng.choice([100, 200, 400, 3000])
            self.scheduler.place(ENTRY, request(f"r{self.count}", 4.0, prompt=prompt), self.now)
        for item in [item for item in self.due if item[0] <= self.now]:
            self.due.remove(item)
            self.deliver(item[1])
        if self.scheduler.wake_at <= self.now:
            self.scheduler.dispatch(self.now)
        for message in messages(self.scheduler):
            self.schedule_reports(message)
        self.check_missed_placement()

    def deliver(self, message):
        if isinstance(message, Release):
            self.scheduler.release(message, self.now)
        else:
            self.scheduler.report(message, self.now)

    def schedule_reports(self, message):
        if isinstance(message, Refusal):
            return
        assert isinstance(message, Grant)
        self.granted += 1
        name = message.request_id
        size = self.scheduler.ledger.get(name).request.prompt_tokens
        at = self.now + size * 0.0005 * self.rng.uniform(0.9, 1.1)
        stages = [(Stage.PREFILL, message.prefill_engine, 0.0005)]
        stages.append((Stage.TRANSFER, message.decode_engine, 0.0001))
        for stage, engine, rate in stages:
            report = StageReport(name, 0, stage, engine, ResultCode.OK, size, 0, size * rate)
            self.due.append((at, report))
            at += size * 0.0001
        self.due.append((at + self.rng.uniform(0.1, 1.0), Release(name, ResultCode.OK, 40, 1.0)))

    def check_missed_placement(self):
        """Track for how long the head of the queue could have been placed but was not."""
        first = self.scheduler.waiting.first()
        choice = first and self.scheduler._selector.choose(first, False, self.now)
        if choice is None:
            self.missed_since = None
            return
        self.missed_since = self.missed_since or self.now
        self.longest_missed = max(self.longest_missed, self.now - self.missed_since)


@pytest.mark.parametrize("seed", range(4))
def test_no_placement_is_missed_for_longer_than_a_tick(seed):
    run = RandomTraffic(seed)
    while run.now < RUN_SECONDS:
        run.step()
    assert run.granted > 20
    assert run.longest_missed <= SECTION.tick + 2 * STEP_SECONDS


def test_an_arrival_behind_a_blocked_request_costs_no_decision(monkeypatch):
    scheduler = shard_of({"p": EngineRole.PREFILL, "d": EngineRole.DECODE}, slots=1)
    scheduler.place(ENTRY, request("a"), 1.0)
    scheduler.place(ENTRY, request("b"), 1.01)
    calls = []
    monkeypatch.setattr(scheduler._selector, "choose", lambda *args: calls.append(args))
    scheduler.place(ENTRY, request("c", deadline_in=6.0), 1.02)
    assert calls == []
    scheduler.place(ENTRY, request("first", deadline_in=4.0), 1.03)
    assert len(calls) == 1


def test_nothing_wakes_a_scheduler_without_waiting_requests():
    scheduler = shard_of({"p": EngineRole.PREFILL, "d": EngineRole.DECODE})
    scheduler.place(ENTRY, request("a"), 1.0)
    assert scheduler.wake_at == float("inf")
