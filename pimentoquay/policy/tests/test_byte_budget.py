"""Replayed loads of the budget of bytes and connections, without a network."""

import random

import pytest

from pimentoquay.http1.room import ClaimOutcome
from pimentoquay.policy.byte_budget import (
    CONNECTION_BYTES,
    SMALL_BYTES,
    STALL_SECONDS,
    WAIT_SECONDS,
    ByteBudget,
)
from pimentoquay.policy.process_limits import MB, OwnMemory, budget_bytes, process_limits

BODY = 4 * MB
LIMIT = 32 * MB


class Caller:
    """Sends a body in pieces as far as the budget lets it be read."""

    def __init__(self, budget, size, complete=True):
        self.budget, self.size, self.complete = budget, size, complete
        self.arrived = 0
        self.end = ""
        self.outcome = None
        self.account, self.victim = budget.open(self, 0.0)

    def begin(self, now):
        self.budget.begin(self.account, now)
        if self.size > SMALL_BYTES:
            self.outcome = self.budget.claim(self.account, self.size, now)
            if self.outcome is ClaimOutcome.REFUSED:
                self.finish("many wait", now)

    def read(self, count, now):
        if self.end or self.account.wanted:
            return
        most = self.size if self.complete else self.size - 1
        if self.size <= SMALL_BYTES:
            count = min(count, self.budget.readable(self.account))
        count = min(count, most - self.arrived)
        self.arrived += count
        self.budget.progress(self.account, count, now)
        held = 0 if self.account.claimed else self.arrived
        self.budget.update(self.account, held, 0, now)
        if self.arrived == self.size:
            self.budget.settle(self.account, self.size)
            self.budget.update(self.account, 0, 0, now)
            self.finish("served", now)

    def finish(self, end, now):
        self.end = end
        self.budget.release(self.account, now)
        self.budget.end(self.account, now)
        self.budget.close(self.account)


def replay(budget, callers, rate, seconds):
    """Let each caller send ``rate`` bytes a second, and return the most bytes held."""
    most, step = 0, 0.1
    for caller in callers:
        caller.begin(0.0)
    for tick in range(int(seconds / step)):
        now = (tick + 1) * step
        for caller in callers:
            caller.read(int(rate * step), now)
            most = max(most, budget.used)
        if budget.has_waiting:
            for caller, is_stalled, _ in budget.decide(now).ended:
                caller.finish("stalled" if is_stalled else "no room", now)
    return most


@pytest.mark.parametrize("count", [40, 200, 700])
def test_bodies_that_never_end_stay_within_the_budget_and_end_for_each_other(count):
    """Each was kept until its caller left, and nothing bounded their sum."""
    budget = ByteBudget(LIMIT, 1000)
    crowd = [Caller(budget, BODY, complete=False) for _ in range(count)]
    assert replay(budget, crowd, 100 * MB, 10.0) <= LIMIT
    assert {caller.end for caller in crowd} <= {"stalled", "no room", "many wait", ""}
    assert sum(caller.end == "" for caller in crowd) * BODY <= LIMIT


def test_a_small_request_is_read_beside_any_crowd():
    """Callers whose bodies never end must not keep an ordinary request waiting."""
    budget = ByteBudget(LIMIT, 1000)
    crowd = [Caller(budget, BODY, complete=False) for _ in range(200)]
    crowd += [Caller(budget, SMALL_BYTES, complete=False) for _ in range(700)]
    replay(budget, crowd, 100 * MB, 0.5)
    ordinary = Caller(budget, CONNECTION_BYTES)
    ordinary.begin(0.5)
    ordinary.read(CONNECTION_BYTES, 0.6)
    assert ordinary.end == "served"


def test_slow_bodies_that_go_on_are_served_and_not_ended_as_stalled():
    """Ending those that hold most would let large slow bodies end each other for ever."""
    budget = ByteBudget(LIMIT, 1000)
    crowd = [Caller(budget, BODY) for _ in range(12)]
    most = replay(budget, crowd, 2 * MB, 10.0)
    ends = [caller.end for caller in crowd]
    assert most <= LIMIT
    assert ends.count("served") == 12


def test_a_trickle_of_single_bytes_is_no_progress():
    """A caller that sends a byte now and then would keep its room for ever."""
    budget = ByteBudget(LIMIT, 1000)
    crowd = [Caller(budget, BODY) for _ in range(6)]
    replay(budget, crowd, 100, 1.0)
    waiting = Caller(budget, BODY)
    waiting.begin(1.0)
    assert waiting.outcome is ClaimOutcome.WAITING
    decision = budget.decide(0.1 + 2 * STALL_SECONDS)
    assert [is_stalled for _, is_stalled, _ in decision.ended] == [True]


def test_a_waiting_caller_is_refused_in_time_and_nothing_is_left():
    budget = ByteBudget(LIMIT, 1000)
    running = [Caller(budget, BODY) for _ in range(6)]
    for caller in running:
        caller.begin(0.0)
        budget.settle(caller.account, BODY)
    waiting = Caller(budget, BODY)
    waiting.begin(0.0)
    assert not budget.decide(WAIT_SECONDS - 0.1).ended
    assert [user for user, *_ in budget.decide(WAIT_SECONDS).ended] == [waiting]
    for caller in (*running, waiting):
        budget.close(caller.account)
    assert (budget.used, budget.connections, budget.has_waiting) == (0, 0, False)


def test_a_request_that_was_sent_ahead_waits_for_its_whole_time():
    """It was refused at once, as the wait during the request before it was counted too."""
    budget = ByteBudget(LIMIT, 1000)
    filler, caller = Caller(budget, LIMIT), Caller(budget, 1)
    budget.update(filler.account, LIMIT, 0, 0.0)
    budget.begin(caller.account, 0.0)
    budget.settle(caller.account, 1)
    assert not budget.update(caller.account, CONNECTION_BYTES, 0, 0.0)
    budget.release(caller.account, 10.0)
    budget.begin(caller.account, 10.0)
    assert not budget.decide(10.0 + WAIT_SECONDS - 0.1).ended
    assert [user for user, *_ in budget.decide(10.0 + WAIT_SECONDS).ended] == [caller]


def test_all_connections_are_looked_at_only_if_room_is_needed(monkeypatch):
    """Each look at waiting connections went through all others, 2.8 ms for 24,001 of them."""
    looks = []

    def look(budget, now):
        looks.append(now)
        return ()

    monkeypatch.setattr(ByteBudget, "_stalled", look)
    budget = ByteBudget(LIMIT, 1000)
    filler, caller = Caller(budget, LIMIT), Caller(budget, 1)
    budget.update(filler.account, LIMIT, 0, 0.0)
    assert not budget.update(caller.account, CONNECTION_BYTES, 0, 0.0)
    budget.decide(0.1)
    assert (budget.waiting, looks) == (2, [])
    budget.begin(caller.account, 0.2)
    budget.decide(0.2)
    assert looks == [0.2]


def test_the_largest_body_has_room_on_the_smallest_machine():
    limits = process_limits(88 * MB, 1638)
    budget = ByteBudget(limits.budget_bytes, limits.callers, limits.system_bytes)
    caller = Caller(budget, BODY)
    caller.begin(0.0)
    assert caller.outcome is ClaimOutcome.GRANTED


def test_the_most_idle_connection_ends_for_a_new_one():
    budget = ByteBudget(LIMIT, 2)
    first, second = Caller(budget, 1), Caller(budget, 1)
    assert budget.open("too early", 0.1)[1] == "too early"
    budget.begin(first.account, 0.2)
    account, victim = budget.open("new", 1.0)
    assert victim is second
    budget.close(second.account)
    budget.begin(account, 1.0)
    busy = budget.open("refused", 1.1)
    assert busy[1] == "refused"


def test_an_unread_answer_does_not_hide_other_idle_connections():
    """A new connection was refused because the longest idle one had an unsent answer."""
    budget = ByteBudget(LIMIT, 3)
    kept = [Caller(budget, 1) for _ in range(3)]
    for caller in kept:
        budget.begin(caller.account, 0.0)
        budget.release(caller.account, 0.0)
    budget.update(kept[0].account, 0, 5000, 0.0)
    assert budget.open("new", 10.0)[1] is kept[1]


def test_what_an_ending_connection_has_sent_gives_back_its_room():
    """An answer that was read after its connection began to close was counted until its end."""
    budget = ByteBudget(LIMIT, 1)
    caller = Caller(budget, 1)
    budget.update(caller.account, 0, 5000, 0.0)
    budget.end(caller.account, 0.0)
    budget.update(caller.account, 0, 0, 0.1)
    assert budget.used == 0
    assert budget.open("new", 1.0)[1] is caller


def act(draw, budget, accounts, account, now):
    actions = (
        lambda: budget.begin(account, now),
        lambda: budget.claim(account, draw.randrange(BODY), now),
        lambda: budget.progress(account, draw.randrange(SMALL_BYTES), now),
        lambda: budget.update(account, draw.randrange(SMALL_BYTES), draw.randrange(99), now),
        lambda: budget.settle(account, draw.randrange(BODY)),
        lambda: budget.release(account, now),
        lambda: budget.decide(now),
        lambda: budget.end(account, now),
        lambda: budget.close(accounts.pop(accounts.index(account))),
    )
    draw.choice(actions)()


@pytest.mark.parametrize("seed", range(5))
def test_the_counts_stay_right_under_random_calls(seed):
    """A count that drifts would leave less and less room."""
    draw = random.Random(seed)
    budget = ByteBudget(LIMIT, 50)
    accounts = []
    for number in range(3000):
        now = number * 0.01
        if draw.random() < 0.2:
            accounts.append(budget.open(number, now)[0])
        account = draw.choice(accounts) if accounts else None
        if account is None:
            continue
        act(draw, budget, accounts, account, now)
        assert budget.used == sum(each.total for each in accounts)
        assert budget.arrived == budget.used - sum(each.awaited for each in accounts)
        assert all(0 <= each.awaited <= each.claimed for each in accounts)
    for account in accounts:
        budget.close(account)
    assert (budget.used, budget.connections, budget.has_waiting) == (0, 0, False)
    assert budget.arrived == 0


@pytest.mark.parametrize(("memory", "descriptors"), [(88, 1638), (136, 1638), (552, 10250), (0, 0)])
def test_limits_leave_descriptors_and_memory_to_the_process(memory, descriptors):
    limits = process_limits(memory * MB, descriptors)
    assert limits.callers + 2 * limits.tunnels + limits.unopened_tunnels <= max(
        descriptors - 400, 60000 if not descriptors else 0
    )
    assert limits.budget_bytes <= (memory or 2048) * MB - 40 * MB
    assert limits.budget_bytes >= 16 * MB


def test_buffers_are_not_made_smaller_if_no_memory_is_stated():
    """Gateways without these settings got buffers of 64 KB, and answers of 16 KB, by an update."""
    limits = process_limits(0, 0)
    assert (limits.system_bytes, limits.answer_bytes) == (0, 64 * 1024)
    assert process_limits(2048 * MB, 0).system_bytes == 64 * 1024
    budget = ByteBudget(LIMIT, 100, limits.system_bytes)
    callers = [Caller(budget, BODY) for _ in range(20)]
    for caller in callers:
        caller.begin(0.0)
    assert {caller.outcome for caller in callers} == {ClaimOutcome.GRANTED, ClaimOutcome.WAITING}


def test_the_memory_of_the_process_itself_is_what_is_left_without_held_bytes():
    own = OwnMemory()
    for resident, held in ((60, 0), (90, 40), (120, 10)):
        own.add(resident * MB, held * MB)
    assert own.estimate == 50 * MB
    assert budget_bytes(136 * MB, own.estimate) == int(0.75 * 86 * MB)
