"""Replayed loads of heads that take far more memory than their length, without a network."""

import pytest

from pimentoquay.policy.byte_budget import CONNECTION_BYTES, WAIT_SECONDS, ByteBudget
from pimentoquay.policy.process_limits import MB, process_limits

LARGE_HEAD, BODY = 45 * 1024, 60 * 1024
"""What a head of 256 short headers takes, and a body that needs no claim."""

SOUND_HEAD, SOUND_BODY = 3 * 1024, 4 * 1024
STEP_SECONDS = 0.1


class Caller:
    """Sends a head, which is parsed once it has room, and then a body in some pieces."""

    def __init__(self, budget, head, body, is_whole, now):
        self.budget, self.head, self.body, self.is_whole = budget, head, body, is_whole
        self.held, self.began_at, self.end, self.waited = 0, now, "", 0.0
        self.is_waiting = self.is_parsed = False
        self.account, self.victim = budget.open(self, now)

    def go_on(self, now):
        if self.end or self.is_waiting:
            return
        if not self.held:
            self.budget.begin(self.account, now)
            self.held = self.head
        elif self.held < self.head + self.body:
            piece = min(self.budget.readable(self.account), self.head + self.body - self.held)
            self.held += piece
            self.budget.progress(self.account, piece, now)
        self.is_waiting = not self.budget.update(self.account, self.held, 0, now)
        if not self.is_waiting and self.is_whole and self.held == self.head + self.body:
            self.finish("served", now)

    def finish(self, end, now):
        self.end, self.waited = end, now - self.began_at
        self.budget.release(self.account, now)
        self.budget.end(self.account, now)
        self.budget.close(self.account)


def replay(budget, callers, sound_of, seconds):
    """Let a crowd send, and sound callers come in each step; return these and the most held."""
    sound, most = [], 0
    for tick in range(int(seconds / STEP_SECONDS)):
        now = tick * STEP_SECONDS
        sound.append(sound_of(now))
        for caller in (*callers, *sound):
            caller.go_on(now)
            most = max(most, budget.used)
        decision = budget.decide(now)
        for caller in decision.resumed:
            caller.is_waiting = False
        for caller, is_stalled, _ in decision.ended:
            caller.finish("stalled" if is_stalled else "no room", now)
    return sound, most


@pytest.mark.parametrize("memory_mb", [88, 150])
@pytest.mark.parametrize(
    ("head", "body"), [(SOUND_HEAD, SOUND_BODY), (LARGE_HEAD, 10)], ids=["few", "many"]
)
def test_sound_requests_are_served_beside_heads_whose_bodies_do_not_come(memory_mb, head, body):
    """Heads counted as nothing once they were parsed, and took a process over its memory."""
    limits = process_limits(memory_mb * MB, 4100)
    budget = ByteBudget(limits.budget_bytes, limits.callers, limits.system_bytes)
    count = limits.callers - 100
    crowd = [Caller(budget, LARGE_HEAD, BODY, False, 0.0) for _ in range(count)]
    assert count * (LARGE_HEAD + BODY) > budget.limit
    sound, most = replay(budget, crowd, lambda now: Caller(budget, head, body, True, now), 8.0)
    ended = [each for each in sound if each.end]
    assert {each.end for each in ended} == {"served"}
    assert len(ended) >= len(sound) - 20
    assert max(each.waited for each in ended) < WAIT_SECONDS - 1
    assert most <= budget.limit + limits.callers * CONNECTION_BYTES


def test_a_caller_that_sends_nothing_more_holds_no_room_by_waiting():
    """It was taken for one whose reading had stopped, and the one that needed its room ended."""
    budget = ByteBudget(2 * LARGE_HEAD, 10)
    callers = [Caller(budget, LARGE_HEAD, 10, False, 0.0) for _ in range(2)]
    callers[0].go_on(0.0)
    callers[1].go_on(0.5)
    assert [each.is_waiting for each in callers] == [False, True]
    assert budget.update(callers[0].account, LARGE_HEAD, 0, 0.9)
    assert budget.waiting == 1
    assert [(user, stalled) for user, stalled, _ in budget.decide(1.1).ended] == [
        (callers[0], True)
    ]
